// Package pacer decides how fast the filler tasks on a VM may work beside
// services with a target for their tail latency. It is pure: each step takes
// what was measured since the step before.
//
// A service over its target halves the pace of the images that slow it most,
// until it recovers or they stand still; the pace comes back by fixed amounts
// (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for
// Congestion Avoidance in Computer Networks", 1989). A service that stays over
// its target while all fillers stand still suffers from its own load and is
// passed over for a while.
package pacer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Whole is the pace of a task that is not slowed down, in percent.
	Whole = 100
	// restore is what a calm step gives back, in percent; probe is what it gives
	// back against the model's advice.
	restore = 100
	probe   = 25
	// standstill is the pace below which fillers are stopped altogether, in
	// percent.
	standstill = 20
	// calmSlownessMost is the slowness below which a service is calm.
	calmSlownessMost = 0.9
	// patience is how long a service may be over its target before fillers are
	// slowed down: most fillers end sooner than that. It is below half of the four
	// seconds that fillers may do harm.
	patience = 2500 * time.Millisecond
	// futileAfter is how long fillers stand still before a service that is over
	// its target is held to be so by its own load: twice the time that the
	// worker's figures look back.
	futileAfter = time.Second
	// passOver is how long such a service is passed over; with the time to look
	// again it stays below the four seconds that fillers may do harm.
	passOver = 2 * time.Second
)

// Service is a serving task and its tail latency, both in milliseconds.
type Service struct {
	Name, Image  string
	Tail, Target int
}

// Slowness returns the tail latency as a share of the target.
func (s Service) Slowness() float64 { return float64(s.Tail) / float64(max(s.Target, 1)) }

// Filler is a filler task; Used and Asked are in thousandths of a core.
type Filler struct {
	Image       string
	Used, Asked int
}

// Pacer keeps the pace of one VM's fillers by image.
type Pacer struct {
	model *Model
	pace  map[string]int
	// stillSince is when all fillers had come to stand still; zero while some
	// work.
	stillSince time.Time
	// passed holds until when services are passed over.
	passed map[string]time.Time
	// overSince holds since when services are over their targets.
	overSince map[string]time.Time
}

// New returns a Pacer that has seen nothing.
func New() *Pacer {
	return &Pacer{model: NewModel(), pace: map[string]int{}, passed: map[string]time.Time{}, overSince: map[string]time.Time{}}
}

// Pace returns the pace of an image's fillers, in percent.
func (p *Pacer) Pace(image string) int {
	if pace, ok := p.pace[image]; ok {
		return pace
	}
	return Whole
}

// Step takes what runs at the instant and sets the paces anew.
func (p *Pacer) Step(now time.Time, services []Service, fillers []Filler) {
	used, asked := cores(fillers)
	for _, s := range services {
		if s.Tail > 0 {
			p.model.Learn(s.Image, s.Slowness(), used)
		}
	}
	still := true
	for image := range asked {
		still = still && p.Pace(image) == 0
	}
	if !still {
		p.stillSince = time.Time{}
	} else if p.stillSince.IsZero() {
		p.stillSince = now
	}
	p.pass(now, services)
	p.watch(now, services)
	guilty := map[string]bool{}
	for _, s := range services {
		since, over := p.overSince[s.Name]
		if over && now.Sub(since) >= patience && now.After(p.passed[s.Name]) {
			p.blame(s, used, guilty)
		}
	}
	for image := range asked {
		p.adjust(now, image, guilty, services, asked[image]-used[image])
	}
	for image, pace := range p.pace {
		if _, here := asked[image]; !here && pace == Whole {
			delete(p.pace, image)
		}
	}
}

// cores sums the fillers by image, in cores.
func cores(fillers []Filler) (used, asked map[string]float64) {
	used, asked = map[string]float64{}, map[string]float64{}
	for _, f := range fillers {
		used[f.Image] += float64(f.Used) / 1000
		asked[f.Image] += float64(f.Asked) / 1000
	}
	return used, asked
}

// pass notes the services that are over their target by their own load.
func (p *Pacer) pass(now time.Time, services []Service) {
	futile := !p.stillSince.IsZero() && now.Sub(p.stillSince) >= futileAfter
	kept := map[string]time.Time{}
	for _, s := range services {
		if until := p.passed[s.Name]; now.Before(until) {
			kept[s.Name] = until
		} else if futile && s.Slowness() >= 1 {
			kept[s.Name] = now.Add(passOver)
		}
	}
	p.passed = kept
}

// watch notes since when services are over their targets. The figures are
// rough, so only a calm service counts as below again.
func (p *Pacer) watch(now time.Time, services []Service) {
	kept := map[string]time.Time{}
	for _, s := range services {
		since, over := p.overSince[s.Name]
		switch {
		case over && s.Slowness() >= calmSlownessMost:
			kept[s.Name] = since
		case s.Slowness() >= 1:
			kept[s.Name] = now
		}
	}
	p.overSince = kept
}

// blame adds the images that slow a service most, until they explain what is
// too much; while the model explains less, all that work are guilty.
func (p *Pacer) blame(s Service, used map[string]float64, guilty map[string]bool) {
	var images []string
	for image := range used {
		if p.Pace(image) > 0 {
			images = append(images, image)
		}
	}
	part := func(image string) float64 { return p.model.Press(s.Image, image) * used[image] }
	slices.SortFunc(images, func(a, b string) int {
		return cmp.Or(cmp.Compare(part(b), part(a)), cmp.Compare(a, b))
	})
	excess := min(s.Slowness(), slownessMost) - calmSlownessMost
	for _, image := range images {
		if excess <= 0 {
			return
		}
		guilty[image] = true
		excess -= part(image)
	}
}

// adjust sets the pace of an image whose fillers would use more cores at their
// whole pace.
func (p *Pacer) adjust(now time.Time, image string, guilty map[string]bool, services []Service, more float64) {
	pace := p.Pace(image)
	if guilty[image] {
		p.pace[image] = 0
		return
	}
	if pace == Whole {
		return
	}
	calm, safe := true, true
	for _, s := range services {
		since, over := p.overSince[s.Name]
		if now.Before(p.passed[s.Name]) || over && now.Sub(since) < patience {
			continue
		}
		calm = calm && s.Slowness() < 1
		safe = safe && s.Slowness()+p.model.Press(s.Image, image)*max(more, 0) < 1
	}
	switch {
	case calm && safe:
		p.pace[image] = min(Whole, pace+restore)
	case calm:
		p.pace[image] = min(Whole, pace+probe)
	}
}
