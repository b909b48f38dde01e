// Package pacer decides when the filler tasks on a VM are paused to protect
// services with a latency objective. It performs no I/O: package
// minder passes in the measurements of each step and applies the pace.
//
// Fillers are short, so most periods over a latency objective end by themselves, and
// slowing fillers down for each of them makes them pile up on the VMs where they
// interfere. Therefore fillers are paused only once a service has stayed over its
// latency objective for a while, all of them at once, and only until it has
// recovered. The measured tail latency is a moving average, which may exceed the objective
// long after the service has recovered, so recovery shows in how fast it falls.
// A service that stays over its latency objective while all fillers are
// paused is overloaded by its own load and is ignored for a while.
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
	// maxTimeOverObjective is how long a service may be over its latency
	// objective before fillers are paused. It stays below the four seconds for which
	// fillers may keep a service over its latency objective, together with the lag of the
	// worker's measurements, which are taken each 450 ms at the latest, and with the delay of a
	// change of pace, at most 300 ms.
	maxTimeOverObjective = 1900 * time.Millisecond
	// overThreshold and recoveredThreshold are shares of the latency objective. At or
	// above the first a service counts as over its latency objective, and below the
	// second as recovered. Both are below 1 since the measurements are imprecise.
	overThreshold      = 0.95
	recoveredThreshold = 0.9
	// settleTime is how long fillers are paused at least. A shorter pause does not show in the
	// worker's measurements, which cover the last half second.
	settleTime = 500 * time.Millisecond
	// tailTimeConstant is the time constant of the worker's tail latencies, which are moving
	// averages, and tailTolerance bounds the ratio of a measured one to the exact one.
	tailTimeConstant = 420 * time.Millisecond
	tailTolerance    = 1.1
	// ineffectiveAfter is how long fillers are paused before a service that has
	// not recovered counts as overloaded by its own load.
	ineffectiveAfter = time.Second
	// ignoreTime is how long a service that is overloaded by its own load is
	// ignored. Its own load may fall meanwhile and fillers slow it instead, so
	// this time and maxTimeOverObjective, which applies again afterwards, stay below
	// the four seconds together.
	ignoreTime = 1250 * time.Millisecond
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

func (s Service) recovered() bool { return float64(s.Tail) < recoveredThreshold*float64(s.Target) }

// recovering reports whether the measured tail latency falls as fast as that of a service that is
// back at its latency objective, given the tail latency in the previous step and the time since.
func (s Service) recovering(previousTail int, elapsed time.Duration) bool {
	excess := float64(previousTail - s.Target)
	expected := float64(s.Target) + excess*math.Exp(-elapsed.Seconds()/tailTimeConstant.Seconds())
	return excess > 0 && float64(s.Tail) <= tailTolerance*expected
}

// Pacer decides the pace of the fillers on one VM.
type Pacer struct {
	// pausedSince is when fillers were paused; zero while they run.
	pausedSince time.Time
	// overObjectiveSince is when services went over their latency objectives, by name. It
	// holds only services that have not recovered and are not ignored.
	overObjectiveSince map[string]time.Time
	// ignoredUntil is when services stop being ignored, by name.
	ignoredUntil map[string]time.Time
	// lastTails are the tail latencies of the last step, by name, in milliseconds, and
	// updatedAt is its time.
	lastTails map[string]int
	updatedAt time.Time
}

// New returns a Pacer whose fillers run at full pace.
func New() *Pacer {
	return &Pacer{overObjectiveSince: map[string]time.Time{}, ignoredUntil: map[string]time.Time{}}
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
	previousTails, elapsed := p.lastTails, now.Sub(p.updatedAt)
	p.trackServices(now, services)
	p.updatedAt = now
	if p.pausedSince.IsZero() {
		return p.pauseIfDue(now, services)
	}
	return p.resumeIfDue(now, services, previousTails, elapsed)
}

// pauseIfDue pauses the fillers if a service has been over its latency objective for too long.
// The one that has been so for longest is the cause.
func (p *Pacer) pauseIfDue(now time.Time, services []Service) (change Change, changed bool) {
	for _, s := range services {
		since, over := p.overObjectiveSince[s.Name]
		if timeOver := now.Sub(since); over && timeOver >= maxTimeOverObjective && timeOver > change.Over {
			change, changed = Change{Cause: OverObjective, Service: s.Name, Over: timeOver}, true
		}
	}
	if changed {
		p.pausedSince = now
	}
	return change, changed
}

// resumeIfDue lets fillers continue once each service that is still measured over its latency
// objective either recovers or counts as overloaded by its own load.
func (p *Pacer) resumeIfDue(now time.Time, services []Service, previousTails map[string]int, elapsed time.Duration) (change Change, changed bool) {
	pausedFor := now.Sub(p.pausedSince)
	if pausedFor < settleTime {
		return Change{}, false
	}
	change = Change{Cause: Recovered, Paused: pausedFor}
	for _, s := range services {
		since, over := p.overObjectiveSince[s.Name]
		switch {
		case !over:
		case s.recovering(previousTails[s.Name], elapsed):
			// The service gets maxTimeOverObjective again before the next pause.
			p.overObjectiveSince[s.Name] = now
		case pausedFor >= ineffectiveAfter:
			p.ignoredUntil[s.Name] = now.Add(ignoreTime)
			delete(p.overObjectiveSince, s.Name)
			change.Cause, change.Service, change.Over = OwnLoad, s.Name, now.Sub(since)
		default:
			return Change{}, false
		}
	}
	p.pausedSince = time.Time{}
	return change, true
}

// trackServices records the tail latencies of the services and when they went over
// their latency objectives. It drops the data of services that are no longer
// measured. A service that ran before it was first measured may have been over its latency
// objective for long.
func (p *Pacer) trackServices(now time.Time, services []Service) {
	overObjectiveSince, ignoredUntil, lastTails := map[string]time.Time{}, map[string]time.Time{}, map[string]int{}
	for _, s := range services {
		lastTails[s.Name] = s.Tail
		if until := p.ignoredUntil[s.Name]; now.Before(until) {
			ignoredUntil[s.Name] = until
			continue
		}
		since, over := p.overObjectiveSince[s.Name]
		_, measured := p.lastTails[s.Name]
		switch {
		case over && !s.recovered():
			overObjectiveSince[s.Name] = since
		case s.nearObjective() && !measured && s.RanBefore:
			overObjectiveSince[s.Name] = now.Add(-maxTimeOverObjective)
		case s.nearObjective():
			overObjectiveSince[s.Name] = now
		}
	}
	p.overObjectiveSince, p.ignoredUntil, p.lastTails = overObjectiveSince, ignoredUntil, lastTails
}
