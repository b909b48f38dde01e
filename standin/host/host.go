// Package host simulates one worker in virtual time: services with a latency objective, and
// fillers that slow them. As on the users' workers, the interference depends on the pair of
// images and changes within seconds, the own load of a service swings, measurements lag and
// are imprecise, and a change of pace takes effect late. Package pacer is tested with it. It
// needs no network, and equal configurations give equal results.
package host

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/plantainrail/plantainrail/pacer"
)

const (
	// tick is the time between two steps of the simulation.
	tick = 25 * time.Millisecond
	// checkInterval is the time between two checks of the rule: a service counts as over its latency
	// objective from one check to the next.
	checkInterval = 500 * time.Millisecond
	// serviceCount and imageCount are the numbers of services and of the images of fillers.
	serviceCount = 3
	imageCount   = 5
	// cores is the number of processors that fillers may request together.
	cores = 12
	// maxLoad bounds the load of a service, and with it its tail latency.
	maxLoad = 0.985
	// measurementNoise is the largest relative error of a measured tail latency.
	measurementNoise = 0.06
)

// Config describes a simulated worker.
type Config struct {
	Seed uint64
	// TimeConstant is the time constant of the measured tail latencies, PollInterval the time between two
	// measurements, and PaceDelay the time until a change of pace takes effect.
	TimeConstant, PollInterval, PaceDelay time.Duration
	// HoldsStarts means that no filler starts while fillers are paused. One that does works at
	// full speed for PaceDelay.
	HoldsStarts bool
	// OverloadShare is the share of time for which the own load of a service alone exceeds its
	// latency objective.
	OverloadShare float64
}

// Result is the outcome of a simulation.
type Result struct {
	// LongestOver is the longest time for which fillers kept a service over its latency objective
	// without a break. Over is the sum of such times over all services.
	LongestOver, Over time.Duration
	// Pauses counts the times at which the pace fell to zero.
	Pauses int
	// Paused is the time for which the pace was zero.
	Paused time.Duration
	// Completed is the work of fillers that was carried out, in core-seconds, and Backlog the work
	// that was left.
	Completed, Backlog float64
}

// Decide returns the pace of the fillers in percent, given the services as measured.
type Decide func(now time.Time, services []pacer.Service) int

// service is a service task. Its tail latency without load is floor, in milliseconds, and tail is the
// moving average that the worker measures.
type service struct {
	name                string
	floor, objective    float64
	ownLoad, meanLoad   float64
	overloadedUntil     time.Time
	interference        [imageCount]float64
	fluctuation         [imageCount]float64
	fluctuatesAt        time.Time
	checkAt             time.Time
	tail                float64
	overByFillersSince  time.Time
	isOverByFillersOnly bool
}

// filler is a filler task that has the given core-seconds left.
type filler struct {
	image       int
	cores, work float64
	// startedAt is when it began to work.
	startedAt time.Time
}

// host is the state of a simulation.
type host struct {
	Config
	random   *rand.Rand
	now      time.Time
	services []*service
	running  []filler
	waiting  []filler
	result   Result
	// paused is whether the pace that was ordered last is zero. share is the pace in effect, from
	// 0 to 1.
	paused bool
	share  float64
}

// Run simulates a worker for the given time.
func Run(c Config, duration time.Duration, decide Decide) Result {
	h := &host{Config: c, random: rand.New(rand.NewPCG(c.Seed, 0)), now: time.Unix(1_700_000_000, 0)}
	for i := range serviceCount {
		h.services = append(h.services, h.newService("service-"+strconv.Itoa(i)))
	}
	begin, wanted, pace, paceAt, pollAt := h.now, pacer.FullPace, pacer.FullPace, h.now, h.now
	for ; h.now.Before(begin.Add(duration)); h.now = h.now.Add(tick) {
		if !h.now.Before(paceAt) {
			pace = wanted
		}
		h.paused, h.share = wanted == pacer.ZeroPace, float64(pace)/pacer.FullPace
		h.advanceFillers()
		for _, s := range h.services {
			h.advanceService(s)
		}
		if h.paused {
			h.result.Paused += tick
		}
		if h.now.Before(pollAt) {
			continue
		}
		pollAt = h.now.Add(c.PollInterval)
		if next := decide(h.now, h.measure()); next != wanted {
			if next == pacer.ZeroPace {
				h.result.Pauses++
			}
			wanted, paceAt = next, h.now.Add(c.PaceDelay)
		}
	}
	for _, f := range append(h.running, h.waiting...) {
		h.result.Backlog += f.work
	}
	return h.result
}

// between returns a random number between two bounds.
func (h *host) between(low, high float64) float64 { return low + (high-low)*h.random.Float64() }

// newService returns a service with which about half of the images interfere.
func (h *host) newService(name string) *service {
	s := &service{name: name, floor: h.between(5, 40), meanLoad: h.between(0.2, 0.5)}
	s.objective = math.Round(s.floor * h.between(2.5, 4))
	s.ownLoad, s.tail = s.meanLoad, s.floor
	for i := range s.interference {
		s.interference[i] = h.between(0, 0.005)
		if h.random.Float64() < 0.5 {
			s.interference[i] = h.between(0.02, 0.045)
		}
	}
	return s
}

// shareOf returns the share of full speed at which a filler works.
func (h *host) shareOf(f filler) float64 {
	if h.now.Sub(f.startedAt) < h.PaceDelay {
		return 1
	}
	return h.share
}

// advanceFillers lets fillers arrive, work and end.
func (h *host) advanceFillers() {
	if h.random.Float64() < tick.Seconds()*1.8 {
		f := filler{image: h.random.IntN(imageCount), cores: h.between(1, 4)}
		f.work = f.cores * h.between(0.5, 4)
		h.waiting = append(h.waiting, f)
	}
	requested := 0.0
	working := h.running[:0]
	for _, f := range h.running {
		done := min(f.work, f.cores*h.shareOf(f)*tick.Seconds())
		h.result.Completed += done
		if f.work -= done; f.work > 0 {
			requested += f.cores
			working = append(working, f)
		}
	}
	h.running = working
	for len(h.waiting) > 0 && requested+h.waiting[0].cores <= cores && !(h.HoldsStarts && h.paused) {
		h.waiting[0].startedAt = h.now
		requested += h.waiting[0].cores
		h.running, h.waiting = append(h.running, h.waiting[0]), h.waiting[1:]
	}
}

// advanceService updates the load and the measured tail latency of a service, and the time for which
// fillers alone have kept it over its latency objective.
func (h *host) advanceService(s *service) {
	if !h.now.Before(s.fluctuatesAt) {
		s.fluctuatesAt = h.now.Add(time.Duration(h.between(0.5, 4) * float64(time.Second)))
		for i := range s.fluctuation {
			s.fluctuation[i] = h.between(0.3, 1.7)
		}
		if h.random.Float64() < h.OverloadShare {
			s.overloadedUntil = s.fluctuatesAt
		}
		s.meanLoad = h.between(0.2, 0.5)
	}
	mean := s.meanLoad
	if h.now.Before(s.overloadedUntil) {
		mean = 0.9
	}
	s.ownLoad += (mean-s.ownLoad)*tick.Seconds()/0.5 + h.random.NormFloat64()*0.01
	load := s.ownLoad
	for _, f := range h.running {
		load += s.interference[f.image] * s.fluctuation[f.image] * f.cores * h.shareOf(f)
	}
	tail := s.tailAt(load)
	s.tail += (1 - math.Exp(-tick.Seconds()/h.TimeConstant.Seconds())) * (tail - s.tail)
	if h.now.Before(s.checkAt) {
		return
	}
	s.checkAt = h.now.Add(checkInterval)
	if tail <= s.objective || s.tailAt(s.ownLoad) > s.objective {
		s.isOverByFillersOnly = false
		return
	}
	if !s.isOverByFillersOnly {
		s.isOverByFillersOnly, s.overByFillersSince = true, h.now
	}
	h.result.Over += checkInterval
	h.result.LongestOver = max(h.result.LongestOver, h.now.Sub(s.overByFillersSince))
}

// tailAt returns the tail latency at a load.
func (s *service) tailAt(load float64) float64 { return s.floor / (1 - max(0, min(load, maxLoad))) }

// measure returns the services as the worker reports them.
func (h *host) measure() []pacer.Service {
	var services []pacer.Service
	for _, s := range h.services {
		measured := s.tail * (1 + h.between(-measurementNoise, measurementNoise))
		services = append(services, pacer.Service{Name: s.name, Tail: int(measured), Target: int(s.objective)})
	}
	return services
}
