// Package estimator learns how much filler tasks interfere with services that
// run on the same VM. It performs no I/O: package planner passes in what workers
// measured and asks for the estimates when it places fillers.
//
// The tail latency of a service rises without bound as its load approaches the
// capacity of its VM. The load of a service is therefore derived from its tail
// latency, as 1 minus the ratio of its lowest tail latency to its present one. On
// this scale loads add up: the service's own load, which varies, and for each
// filler the cores that it uses times the interference per core, which depends on
// the pair of images. Own load is estimated for each group of services, and
// interference for all VMs together. Both are estimated by a Kalman filter that
// leaves out covariances (Kalman, A New Approach to Linear Filtering and
// Prediction Problems, 1960): when a measured load differs from the expected one,
// each estimate is corrected so that its term's share of the difference equals
// the term's share of the total variance.
package estimator

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// ownLoadDrift is the variance that the estimate of a group's own load gains
	// in a second, since loads vary. measurementNoise is the variance of a
	// measured load, since the worker's measurements are imprecise.
	ownLoadDrift     = 0.06 * 0.06
	measurementNoise = 0.05 * 0.05
	// initialOwnLoad and initialOwnLoadDeviation are the mean and the standard
	// deviation of an own load that has not been measured yet, which is assumed
	// to be about a third of the VM's capacity.
	initialOwnLoad          = 0.3
	initialOwnLoadDeviation = 0.3
	// initialInterference and initialInterferenceDeviation are the mean and the
	// standard deviation of the interference per core of an unknown pair of
	// images: half of the pairs that were measured showed next to none, and the
	// others 0.02 to 0.045. interferenceDrift is the variance that the estimate
	// of a known pair gains with each observation.
	initialInterference          = 0.01
	initialInterferenceDeviation = 0.012
	interferenceDrift            = 0.0008 * 0.0008
	// maxLoad bounds measured loads. Closer to 1 a tail latency reflects a queue
	// that has built up and not the load.
	maxLoad = 0.9
	// lowestTailGrowth is the share by which the lowest tail latency of an image
	// is raised with each observation, so that an early low one loses its
	// effect within minutes.
	lowestTailGrowth = 0.0005
	// maxPairs, maxImages and maxGroups bound the number of entries in the
	// Estimator's maps. They are far above the numbers of pairs, images and groups
	// at the planned size of 660 VMs and about 12,000 running tasks. A map that
	// would exceed its bound is cleared and learned again.
	maxPairs  = 16384
	maxImages = 1024
	maxGroups = 4096
)

// Service is a service task on a VM, with its tail latency and latency objective
// in milliseconds. Services of one group are assumed to have the same own load.
type Service struct {
	Group, Image               string
	TailLatency, TailObjective int
}

// Use is the number of cores that the fillers of an image use on a VM.
type Use struct {
	Image string
	Cores float64
}

// NewUses returns the uses of a VM's fillers, given by image, in the order of the
// images: sums of floating-point numbers depend on their order.
func NewUses(cores map[string]float64) []Use {
	uses := make([]Use, 0, len(cores))
	for image, used := range cores {
		uses = append(uses, Use{image, used})
	}
	slices.SortFunc(uses, func(a, b Use) int { return strings.Compare(a.Image, b.Image) })
	return uses
}

// imagePair is a service's image and a filler's image.
type imagePair struct{ service, filler string }

// estimate is an estimated mean and its variance.
type estimate struct{ mean, variance float64 }

// ownLoad is the estimated own load of a group of services.
type ownLoad struct {
	estimate
	updatedAt time.Time
}

// Estimator holds the learned estimates.
type Estimator struct {
	// ownLoads is the load of services without fillers, by group.
	ownLoads map[string]ownLoad
	// lowestTails are the lowest tail latencies by image, in milliseconds.
	lowestTails map[string]float64
	// interference is the load that one core of a filler adds, by pair of
	// images.
	interference map[imagePair]estimate
}

// New returns an Estimator that has learned nothing yet.
func New() *Estimator {
	return &Estimator{ownLoads: map[string]ownLoad{}, lowestTails: map[string]float64{}, interference: map[imagePair]estimate{}}
}

// Observe records what a worker measured on one VM: its services, and the cores
// that fillers used there, with one Use for each image. Services without a tail
// latency are skipped.
func (e *Estimator) Observe(now time.Time, services []Service, uses []Use) {
	for _, s := range services {
		if s.TailLatency > 0 {
			e.observeService(now, s, uses)
		}
	}
}

// observeService compares a service's measured load with the one expected from
// the estimates, and corrects them by the difference.
func (e *Estimator) observeService(now time.Time, s Service, uses []Use) {
	load := e.measureLoad(s)
	own, known := e.ownLoads[s.Group]
	if !known {
		own = ownLoad{estimate: estimate{mean: initialOwnLoad, variance: initialOwnLoadDeviation * initialOwnLoadDeviation}, updatedAt: now}
	}
	own.variance += ownLoadDrift * max(now.Sub(own.updatedAt).Seconds(), 0)
	own.updatedAt = now
	expected, variance := own.mean, own.variance+measurementNoise
	for _, u := range uses {
		perCore := e.perCore(s.Image, u.Image)
		expected += u.Cores * perCore.mean
		variance += u.Cores * u.Cores * perCore.variance
	}
	// The measured load is bounded by maxLoad, so the expected one is, too.
	residual := load - math.Min(expected, maxLoad)
	for _, u := range uses {
		if u.Cores > 0 {
			perCore := e.perCore(s.Image, u.Image)
			e.setInterference(imagePair{s.Image, u.Image}, perCore.updated(residual, u.Cores, variance, interferenceDrift))
		}
	}
	// The drift of the own load, which depends on time, was added above.
	own.estimate = own.updated(residual, 1, variance, 0)
	own.mean = clamp(own.mean)
	e.setOwnLoad(s.Group, own)
}

// setOwnLoad stores the estimate of a group.
func (e *Estimator) setOwnLoad(group string, own ownLoad) {
	if _, known := e.ownLoads[group]; !known && len(e.ownLoads) >= maxGroups {
		clear(e.ownLoads)
	}
	e.ownLoads[group] = own
}

// updated returns the estimate after one update of the filter. The residual is
// the error of a sum in which the estimate has the given weight; variance is the
// variance of that sum, and drift is added to the variance of the result.
func (f estimate) updated(residual, weight, variance, drift float64) estimate {
	gain := weight * f.variance / variance
	return estimate{mean: f.mean + gain*residual, variance: f.variance*(1-gain*weight) + drift}
}

// measureLoad updates the lowest tail latency of a service's image and returns
// the service's load, from 0 to maxLoad.
func (e *Estimator) measureLoad(s Service) float64 {
	tail := float64(s.TailLatency)
	lowest, known := e.lowestTails[s.Image]
	switch {
	case !known && len(e.lowestTails) >= maxImages:
		clear(e.lowestTails)
		lowest = tail
	case !known || tail < lowest:
		lowest = tail
	default:
		lowest = math.Min(lowest*(1+lowestTailGrowth), tail)
	}
	e.lowestTails[s.Image] = lowest
	return math.Min(1-lowest/tail, maxLoad)
}

// perCore returns the estimate of the load that one core of a filler adds to a
// service, by their images. It returns the initial estimate for a pair of images
// that was never observed.
func (e *Estimator) perCore(serviceImage, fillerImage string) estimate {
	if known, ok := e.interference[imagePair{serviceImage, fillerImage}]; ok {
		return known
	}
	return estimate{mean: initialInterference, variance: initialInterferenceDeviation * initialInterferenceDeviation}
}

// setInterference stores the estimate of a pair of images. The stored mean is
// never negative, since fillers do not speed services up, and the stored variance
// never exceeds the initial one.
func (e *Estimator) setInterference(p imagePair, f estimate) {
	if _, known := e.interference[p]; !known && len(e.interference) >= maxPairs {
		clear(e.interference)
	}
	f.mean = math.Max(f.mean, 0)
	f.variance = math.Min(f.variance, initialInterferenceDeviation*initialInterferenceDeviation)
	e.interference[p] = f
}

// LoadPerCore returns the load that one core of a filler adds to a service. The
// parameter image is the service's image, and filler is the filler's image.
func (e *Estimator) LoadPerCore(image, filler string) float64 { return e.perCore(image, filler).mean }

// FillerLoad returns the load that fillers add to a service with the given image.
func (e *Estimator) FillerLoad(serviceImage string, uses []Use) float64 {
	sum := 0.0
	for _, u := range uses {
		sum += u.Cores * e.perCore(serviceImage, u.Image).mean
	}
	return sum
}

// OwnLoad returns the load that a service of the group has without fillers. It
// returns 0 for an unknown group.
func (e *Estimator) OwnLoad(group string) float64 { return e.ownLoads[group].mean }

// LoadAtTailObjective returns the load at which the tail latency of a service reaches
// its latency objective. It returns 1 if no service of the image was observed or the
// service has no latency objective.
func (e *Estimator) LoadAtTailObjective(s Service) float64 {
	lowest, known := e.lowestTails[s.Image]
	if !known || s.TailObjective <= 0 {
		return 1
	}
	return clamp(1 - lowest/float64(s.TailObjective))
}

// clamp limits x to the range from 0 to 1.
func clamp(x float64) float64 { return math.Min(math.Max(x, 0), 1) }
