// Package estimator learns how much filler tasks press on services that run on
// the same VM. It is pure: it takes what workers measured and opens nothing.
//
// The tail latency of a service rises without bound as its load nears what its
// VM can bear, so its pressure is taken as one less the share of its lowest tail
// in its present one. In these terms what presses adds up: the service's own
// load, which swings, and for each filler the cores that it uses times a figure
// that belongs to the pair of images. Own load is kept for each service, the
// figures for all VMs together. Both are estimated by a Kalman filter that
// leaves out covariances (Kalman, A New Approach to Linear Filtering and
// Prediction Problems, 1960): each figure takes up the part of an error that its
// own uncertainty explains.
package estimator

import (
	"math"
	"time"
)

const (
	// ownDrift is the variance that a group's own pressure gains in a second,
	// measureNoise that of a measured pressure: the swing of loads, and the
	// roughness of the worker's figures.
	ownDrift     = 0.06 * 0.06
	measureNoise = 0.05 * 0.05
	// ownFirst and ownSpread are the mean and the standard deviation of an own
	// pressure of which nothing is known: a service at a third of its load.
	ownFirst  = 0.3
	ownSpread = 0.3
	// pressFirst and pressSpread are the mean and the standard deviation of the
	// pressure of a core of which nothing is known: half of the pairs that were
	// traced pressed next to nothing, and the others 0.02 to 0.045. pressDrift is
	// the variance that a known one gains between two observations.
	pressFirst  = 0.01
	pressSpread = 0.012
	pressDrift  = 0.0008 * 0.0008
	// pressureMost bounds pressures; closer to one a tail tells of a queue that
	// has built up and not of the load.
	pressureMost = 0.9
	// floorRise is the share by which the lowest tail rises with each
	// observation, so that an early low one is forgotten within minutes.
	floorRise = 0.0005
	// pairsMost, imagesMost and groupsMost bound what is kept, far above the sizes
	// of the two-year plan; what is beyond them is learned anew.
	pairsMost  = 16384
	imagesMost = 1024
	groupsMost = 4096
)

// Service is a serving task on a VM. Tails are in milliseconds. Services of one
// group share a load.
type Service struct {
	Group, Image string
	Tail, Target int
}

// pair names a service's image and a filler's.
type pair struct{ service, filler string }

// figure is an estimate and its variance.
type figure struct{ mean, variance float64 }

// load is the own pressure of a group of services.
type load struct {
	figure
	seen time.Time
}

// Estimator keeps what was learned.
type Estimator struct {
	// own is the pressure of services by themselves, by group.
	own map[string]load
	// floors are the lowest tails by image, in milliseconds.
	floors map[string]float64
	// presses is the pressure of one core by pair of images.
	presses map[pair]figure
}

// New returns an Estimator that has learned nothing.
func New() *Estimator {
	return &Estimator{own: map[string]load{}, floors: map[string]float64{}, presses: map[pair]figure{}}
}

// Observe takes what a worker measured on one VM: its services, and the cores
// that fillers used there by image.
func (e *Estimator) Observe(now time.Time, services []Service, cores map[string]float64) {
	for _, s := range services {
		if s.Tail > 0 {
			e.observe(now, s, cores)
		}
	}
}

func (e *Estimator) observe(now time.Time, s Service, cores map[string]float64) {
	pressure := e.measure(s)
	own, known := e.own[s.Group]
	if !known {
		own = load{figure: figure{mean: ownFirst, variance: ownSpread * ownSpread}, seen: now}
	}
	own.variance += ownDrift * max(now.Sub(own.seen).Seconds(), 0)
	own.seen = now
	expected, variance := own.mean, own.variance+measureNoise
	for image, used := range cores {
		press := e.press(s.Image, image)
		expected += used * press.mean
		variance += used * used * press.variance
	}
	missed := pressure - math.Min(expected, pressureMost)
	for image, used := range cores {
		if used > 0 {
			press := e.press(s.Image, image)
			e.setPress(pair{s.Image, image}, press.corrected(missed, used, variance, pressDrift))
		}
	}
	own.figure = own.corrected(missed, 1, variance, 0)
	own.mean = clamp(own.mean)
	e.setOwn(s.Group, own)
}

func (e *Estimator) setOwn(group string, own load) {
	if _, known := e.own[group]; !known && len(e.own) >= groupsMost {
		clear(e.own)
	}
	e.own[group] = own
}

// corrected returns the estimate after an error of what it was a part of.
func (f figure) corrected(missed, share, variance, drift float64) figure {
	gain := share * f.variance / variance
	return figure{mean: f.mean + gain*missed, variance: f.variance*(1-gain*share) + drift}
}

// measure returns a service's pressure and keeps its image's lowest tail.
func (e *Estimator) measure(s Service) float64 {
	tail := float64(s.Tail)
	floor, known := e.floors[s.Image]
	switch {
	case !known && len(e.floors) >= imagesMost:
		clear(e.floors)
		floor = tail
	case !known || tail < floor:
		floor = tail
	default:
		floor = math.Min(floor*(1+floorRise), tail)
	}
	e.floors[s.Image] = floor
	return math.Min(1-floor/tail, pressureMost)
}

func (e *Estimator) press(service, filler string) figure {
	if known, ok := e.presses[pair{service, filler}]; ok {
		return known
	}
	return figure{mean: pressFirst, variance: pressSpread * pressSpread}
}

func (e *Estimator) setPress(p pair, f figure) {
	if _, known := e.presses[p]; !known && len(e.presses) >= pairsMost {
		clear(e.presses)
	}
	f.mean = math.Max(f.mean, 0)
	f.variance = math.Min(f.variance, pressSpread*pressSpread)
	e.presses[p] = f
}

// Press returns the pressure of one core of a filler on a service, by their
// images.
func (e *Estimator) Press(service, filler string) float64 { return e.press(service, filler).mean }

// Pressed returns the pressure on a service of the image by fillers that use
// cores by image.
func (e *Estimator) Pressed(service string, cores map[string]float64) float64 {
	sum := 0.0
	for image, used := range cores {
		sum += used * e.press(service, image).mean
	}
	return sum
}

// Own returns the pressure of the services of a group by themselves.
func (e *Estimator) Own(group string) float64 { return e.own[group].mean }

// Bound returns the pressure at which a service is at its target.
func (e *Estimator) Bound(s Service) float64 {
	floor, known := e.floors[s.Image]
	if !known || s.Target <= 0 {
		return 1
	}
	return clamp(1 - floor/float64(s.Target))
}

func clamp(x float64) float64 { return math.Min(math.Max(x, 0), 1) }
