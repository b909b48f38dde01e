// Package pacer decides when the filler tasks on a VM are paused to protect
// services with a latency objective. It performs no I/O: package
// minder passes in the measurements of each step and applies the pace.
//
// Fillers are short, so most periods over a latency objective end by themselves, and
// slowing fillers down for each of them makes them pile up on the VMs where they
// interfere. Therefore fillers are paused only once a service has stayed over its
// latency objective for a while, all of them at once, and until it has recovered: a
// tail latency that is falling is still over the objective. The higher the tail latency,
// the longer it takes to fall, so the earlier the pause begins. A service whose tail latency
// no longer falls while all fillers are paused is overloaded by its own load; fillers
// then continue, and the service counts as over its latency objective anew.
package pacer

import (
	"math"
	"time"
)

// Paces of fillers, in percent of full speed.
const (
	FullPace = 100
	ZeroPace = 0
)

const (
	// maxTimeOverObjective is how long a service may be over its latency objective before
	// fillers are paused, less the time that its tail latency is expected to take to fall
	// below the objective afterwards. Together with the time between two measurements, up to
	// 450 ms, and the delay of a change of pace, up to 300 ms, it stays below the four seconds for
	// which fillers may keep a service over its latency objective.
	maxTimeOverObjective = 2200 * time.Millisecond
	// minTimeOverObjective bounds from below how long a service is over its latency objective
	// before fillers are paused.
	minTimeOverObjective = 1300 * time.Millisecond
	// recoveryTimeConstant is the time in which a tail latency falls to 1/e once fillers are
	// paused. The worker's tail latencies, which cover the last half second, have one of
	// about 240 ms.
	recoveryTimeConstant = 300 * time.Millisecond
	// overThreshold and recoveredThreshold are shares of the latency objective. At or
	// above the first a service counts as over its latency objective, and below the
	// second as recovered. Both are below 1 since the measurements are imprecise.
	overThreshold      = 0.95
	recoveredThreshold = 0.9
	// settleTime is how long fillers are paused before their pause shows in the
	// worker's measurements, which cover the last half second.
	settleTime = 450 * time.Millisecond
	// fallingThreshold is a share of the tail latency in the previous step. A
	// tail latency below it counts as falling.
	fallingThreshold = 0.9
	// ineffectiveAfter is how long fillers are paused before a service whose
	// tail latency does not fall counts as overloaded by its own load.
	ineffectiveAfter = time.Second
)

// Cause tells why the pace of fillers has changed.
type Cause string

const (
	// OverObjective means that a service has been over its latency objective for too long.
	OverObjective Cause = "over objective"
	// Recovered means that no service is over its latency objective any longer.
	Recovered Cause = "recovered"
	// OwnLoad means that a service stays over its latency objective by its own load, and that
	// all others have recovered.
	OwnLoad Cause = "own load"
)

// Change is a change of the pace.
type Change struct {
	Cause Cause
	// Service is the name of the service that caused the change; empty if it is no longer
	// measured.
	Service string
	// Over is how long that service had been over its latency objective. Paused is how long the
	// fillers were paused; zero when a pause begins.
	Over, Paused time.Duration
}

// Service is a service task. Tail is its tail latency and Target its latency
// objective, both in milliseconds. Package minder logs the value, so the field Target
// keeps its name, although a target is elsewhere a process that serves requests.
type Service struct {
	Name         string
	Tail, Target int
	// RanBefore means that the service may have run before its tail latency was first passed to
	// Update, beside fillers.
	RanBefore bool
}

// OverObjective reports whether the measured tail latency exceeds the latency objective.
func (s Service) OverObjective() bool { return s.Tail > s.Target }

// nearObjective reports whether the service may be over its latency objective, given that the
// measurement is imprecise.
func (s Service) nearObjective() bool { return float64(s.Tail) >= overThreshold*float64(s.Target) }

// recovered reports whether the service has recovered, given the tail latencies of the step
// before. One that is falling is lower than measured by now.
func (s Service) recovered(previousTails map[string]int) bool {
	return float64(s.Tail) < recoveredThreshold*float64(s.Target) || !s.nearObjective() && s.falling(previousTails)
}

// falling reports whether the tail latency falls, given those of the step before.
func (s Service) falling(previousTails map[string]int) bool {
	return float64(s.Tail) < fallingThreshold*float64(previousTails[s.Name])
}

// allowedTime returns how long the service may be over its latency objective before
// fillers are paused.
func (s Service) allowedTime() time.Duration {
	excess := float64(s.Tail) / (recoveredThreshold * float64(s.Target))
	recovery := time.Duration(math.Log(max(excess, 1)) * float64(recoveryTimeConstant))
	return max(maxTimeOverObjective-recovery, minTimeOverObjective)
}

// Pacer decides the pace of the fillers on one VM.
type Pacer struct {
	// pausedSince is when fillers were paused; zero while they run.
	pausedSince time.Time
	// overObjectiveSince is when services went over their latency objectives, by name. It
	// holds only services that have not recovered.
	overObjectiveSince map[string]time.Time
	// overloaded holds the services that the present pause has not helped.
	overloaded map[string]bool
	// lastTails are the tail latencies of the last step, by name, in milliseconds.
	lastTails map[string]int
}

// New returns a Pacer whose fillers run at full pace.
func New() *Pacer {
	return &Pacer{overObjectiveSince: map[string]time.Time{}, overloaded: map[string]bool{}}
}

// Pace returns the pace of the fillers: FullPace or ZeroPace.
func (p *Pacer) Pace() int {
	if p.pausedSince.IsZero() {
		return FullPace
	}
	return ZeroPace
}

// Update takes the services as measured at the given time and updates the pace. It returns
// how the pace has changed, if it has.
func (p *Pacer) Update(now time.Time, services []Service) (change Change, changed bool) {
	previousTails := p.lastTails
	p.trackServices(now, services)
	if p.pausedSince.IsZero() {
		return p.pauseIfDue(now, services, previousTails)
	}
	return p.resumeIfDue(now, services, previousTails)
}

// pauseIfDue pauses the fillers if a service has been over its latency objective for longer
// than allowed. The service with the greatest excess is the cause.
func (p *Pacer) pauseIfDue(now time.Time, services []Service, previousTails map[string]int) (change Change, changed bool) {
	var greatest time.Duration
	for _, s := range services {
		since, over := p.overObjectiveSince[s.Name]
		if !over {
			continue
		}
		allowed := s.allowedTime()
		if s.falling(previousTails) {
			// It recovers by itself.
			allowed = maxTimeOverObjective
		}
		excess := now.Sub(since) - allowed
		if excess < 0 || changed && excess <= greatest {
			continue
		}
		greatest, changed = excess, true
		change = Change{Cause: OverObjective, Service: s.Name, Over: now.Sub(since)}
	}
	if changed {
		p.pausedSince = now
	}
	return change, changed
}

// resumeIfDue lets the fillers continue once each service has recovered or has been found
// overloaded by its own load.
func (p *Pacer) resumeIfDue(now time.Time, services []Service, previousTails map[string]int) (change Change, changed bool) {
	pausedFor := now.Sub(p.pausedSince)
	if pausedFor < settleTime {
		return Change{}, false
	}
	change = Change{Cause: Recovered, Paused: pausedFor}
	for _, s := range services {
		since, over := p.overObjectiveSince[s.Name]
		if !over {
			continue
		}
		if pausedFor >= ineffectiveAfter && !s.falling(previousTails) {
			p.overloaded[s.Name] = true
		}
		if !p.overloaded[s.Name] {
			return Change{}, false
		}
		change.Cause, change.Service, change.Over = OwnLoad, s.Name, now.Sub(since)
	}
	for name := range p.overloaded {
		// Its own load may fall from now on, so that fillers are the cause.
		p.overObjectiveSince[name] = now
	}
	p.pausedSince = time.Time{}
	clear(p.overloaded)
	return change, true
}

// trackServices records the tail latencies of the services and when they went over
// their latency objectives. It drops the data of services that are no longer
// measured. A service that ran before it was first measured may have been over its latency
// objective for long.
func (p *Pacer) trackServices(now time.Time, services []Service) {
	overObjectiveSince, lastTails := map[string]time.Time{}, map[string]int{}
	for _, s := range services {
		lastTails[s.Name] = s.Tail
		since, over := p.overObjectiveSince[s.Name]
		_, measured := p.lastTails[s.Name]
		switch {
		case over && !s.recovered(p.lastTails):
			overObjectiveSince[s.Name] = since
		case s.nearObjective() && !measured && s.RanBefore:
			overObjectiveSince[s.Name] = now.Add(-maxTimeOverObjective)
		case s.nearObjective():
			overObjectiveSince[s.Name] = now
		}
	}
	for name := range p.overloaded {
		if _, over := overObjectiveSince[name]; !over {
			delete(p.overloaded, name)
		}
	}
	p.overObjectiveSince, p.lastTails = overObjectiveSince, lastTails
}
