// Package pacer decides when the filler tasks on a VM are paused to protect
// services with a latency objective. It performs no I/O: package
// minder passes in the measurements of each step and applies the pace.
//
// Fillers are short, so most periods over a latency objective end by themselves, and
// slowing fillers down for each of them makes them pile up on the VMs where they
// interfere. Therefore fillers are paused only once a service has stayed over its
// latency objective for a while, all of them at once, and only until it has
// recovered. A service that stays over its latency objective while all fillers are
// paused is overloaded by its own load and is ignored for a while.
package pacer

import "time"

// Paces of fillers, in percent of full speed.
const (
	FullPace = 100
	ZeroPace = 0
)

const (
	// maxTimeOverObjective is how long a service may be over its latency
	// objective before fillers are paused. Together with the lag of the worker's
	// measurements, up to 700 ms, and of a change of pace, 100 ms, it stays below
	// the four seconds for which fillers may keep a service over its latency
	// objective.
	maxTimeOverObjective = 1900 * time.Millisecond
	// overThreshold and recoveredThreshold are shares of the latency objective. At or
	// above the first a service counts as over its latency objective, and below the
	// second as recovered. Both are below 1 since the measurements are imprecise.
	overThreshold      = 0.95
	recoveredThreshold = 0.9
	// settleTime is how long fillers are paused before their pause shows in the
	// worker's measurements, which cover the last half second.
	settleTime = 450 * time.Millisecond
	// fallingThreshold is a share of the tail latency in the previous step. A
	// tail latency below it counts as falling. One that falls while fillers are
	// paused was caused by them: the service has recovered and its measurement
	// lags.
	fallingThreshold = 0.9
	// ineffectiveAfter is how long fillers are paused before a service whose
	// tail latency does not fall counts as overloaded by its own load.
	ineffectiveAfter = time.Second
	// ignoreTime is how long a service that is overloaded by its own load is
	// ignored. Its own load may fall meanwhile and fillers slow it instead, so
	// this time and maxTimeOverObjective, which applies again afterwards, stay below
	// the four seconds together.
	ignoreTime = 1250 * time.Millisecond
)

// Service is a service task. Tail is its tail latency and Target its latency
// objective, both in milliseconds. Package minder logs the value, so the field Target
// keeps its name, although a target is elsewhere a process that serves requests.
type Service struct {
	Name         string
	Tail, Target int
}

func (s Service) overObjective() bool { return float64(s.Tail) >= overThreshold*float64(s.Target) }

func (s Service) recovered() bool { return float64(s.Tail) < recoveredThreshold*float64(s.Target) }

// Pacer decides the pace of the fillers on one VM.
type Pacer struct {
	// pausedSince is when fillers were paused; zero while they run.
	pausedSince time.Time
	// overObjectiveSince is when services went over their latency objectives, by name.
	// It holds only services that have not recovered and are not ignored.
	overObjectiveSince map[string]time.Time
	// ignoredUntil is when services stop being ignored, by name.
	ignoredUntil map[string]time.Time
	// lastTails are the tail latencies of the last step, by name, in milliseconds.
	lastTails map[string]int
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

// Update takes the services as measured at the given time and updates the pace.
func (p *Pacer) Update(now time.Time, services []Service) {
	previousTails := p.lastTails
	p.trackServices(now, services)
	if p.pausedSince.IsZero() {
		for _, since := range p.overObjectiveSince {
			if now.Sub(since) >= maxTimeOverObjective {
				p.pausedSince = now
			}
		}
		return
	}
	pausedFor := now.Sub(p.pausedSince)
	if pausedFor < settleTime {
		return
	}
	// Fillers continue once each service that is still over its latency objective
	// either has a falling tail latency or counts as overloaded by its own load.
	for name := range p.overObjectiveSince {
		switch falling := float64(p.lastTails[name]) < fallingThreshold*float64(previousTails[name]); {
		case falling:
			// The service gets maxTimeOverObjective again before the next pause.
			p.overObjectiveSince[name] = now
		case pausedFor >= ineffectiveAfter:
			p.ignoredUntil[name] = now.Add(ignoreTime)
			delete(p.overObjectiveSince, name)
		default:
			return
		}
	}
	p.pausedSince = time.Time{}
}

// trackServices records the tail latencies of the services and when they went over
// their latency objectives. It drops the data of services that are no longer
// measured.
func (p *Pacer) trackServices(now time.Time, services []Service) {
	overObjectiveSince, ignoredUntil := map[string]time.Time{}, map[string]time.Time{}
	p.lastTails = map[string]int{}
	for _, s := range services {
		p.lastTails[s.Name] = s.Tail
		if until := p.ignoredUntil[s.Name]; now.Before(until) {
			ignoredUntil[s.Name] = until
			continue
		}
		since, known := p.overObjectiveSince[s.Name]
		switch {
		case known && !s.recovered():
			overObjectiveSince[s.Name] = since
		case s.overObjective():
			overObjectiveSince[s.Name] = now
		}
	}
	p.overObjectiveSince, p.ignoredUntil = overObjectiveSince, ignoredUntil
}
