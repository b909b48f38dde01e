// Package pacer decides when the filler tasks on a VM stand still for the sake
// of services with a target for their tail latency. It is pure: each step takes
// what was measured since the step before.
//
// Fillers are short, so most excesses end by themselves; slowing fillers down
// for each of them makes them pile up on the VMs where they do harm. Therefore
// fillers stand still only once a service has stayed over its target, all of
// them, and only until it has recovered. A service that stays over its target
// while all fillers stand still suffers from its own load and is passed over for
// a while.
package pacer

import "time"

// Paces of fillers, in percent.
const (
	Whole = 100
	Still = 0
)

const (
	// patience is how long a service may be over its target before fillers stand
	// still. With the lag of the worker's figures, up to 700 ms, and of a change
	// of pace, 100 ms, it stays below the four seconds that fillers may do harm.
	patience = 1900 * time.Millisecond
	// overShare and calmShare are the shares of its target from which on a
	// service counts as over it, and below which it has recovered. They lie below
	// one since the figures are rough.
	overShare = 0.95
	calmShare = 0.9
	// settled is how long fillers stand still before the worker's figures, which
	// look back half a second, show what that has brought.
	settled = 450 * time.Millisecond
	// fallingShare is the part of the tail of the step before below which a tail
	// falls. A tail that falls while fillers stand still has been theirs: the
	// service has recovered and the figure lags.
	fallingShare = 0.9
	// futileAfter is how long fillers stand still before a service whose tail
	// does not fall is held to be over its target by its own load.
	futileAfter = time.Second
	// passOver is how long a service is passed over that suffers from its own
	// load; with the patience after it, it stays below the four seconds as well.
	passOver = 1250 * time.Millisecond
)

// Service is a serving task, its tail latency and its target in milliseconds.
type Service struct {
	Name         string
	Tail, Target int
}

func (s Service) over() bool { return float64(s.Tail) >= overShare*float64(s.Target) }

func (s Service) calm() bool { return float64(s.Tail) < calmShare*float64(s.Target) }

// Pacer keeps the pace of one VM's fillers.
type Pacer struct {
	// stillSince is when fillers came to stand still; zero while they work.
	stillSince time.Time
	// overSince holds since when services are over their targets.
	overSince map[string]time.Time
	// passed holds until when services are passed over.
	passed map[string]time.Time
	// tails holds the tails of the step before.
	tails map[string]int
}

// New returns a Pacer that has seen nothing.
func New() *Pacer {
	return &Pacer{overSince: map[string]time.Time{}, passed: map[string]time.Time{}}
}

// Pace returns the pace of the fillers, in percent.
func (p *Pacer) Pace() int {
	if p.stillSince.IsZero() {
		return Whole
	}
	return Still
}

// Step takes the services at the instant and decides anew.
func (p *Pacer) Step(now time.Time, services []Service) {
	before := p.tails
	p.watch(now, services)
	if p.stillSince.IsZero() {
		for _, since := range p.overSince {
			if now.Sub(since) >= patience {
				p.stillSince = now
			}
		}
		return
	}
	still := now.Sub(p.stillSince)
	if still < settled {
		return
	}
	for name := range p.overSince {
		switch falling := float64(p.tails[name]) < fallingShare*float64(before[name]); {
		case falling:
			p.overSince[name] = now
		case still >= futileAfter:
			p.passed[name] = now.Add(passOver)
			delete(p.overSince, name)
		default:
			return
		}
	}
	p.stillSince = time.Time{}
}

// watch notes since when services are over their targets.
func (p *Pacer) watch(now time.Time, services []Service) {
	over, passed := map[string]time.Time{}, map[string]time.Time{}
	p.tails = map[string]int{}
	for _, s := range services {
		p.tails[s.Name] = s.Tail
		if until := p.passed[s.Name]; now.Before(until) {
			passed[s.Name] = until
			continue
		}
		since, known := p.overSince[s.Name]
		switch {
		case known && !s.calm():
			over[s.Name] = since
		case s.over():
			over[s.Name] = now
		}
	}
	p.overSince, p.passed = over, passed
}
