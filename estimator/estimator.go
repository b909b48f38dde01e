// Package estimator learns how much filler tasks interfere with services that
// run on the same VM. It performs no I/O: package planner passes in what workers
// measured and asks for the estimates when it places fillers.
//
// The tail latency of a service rises without bound as its load approaches the
// capacity of its VM. The load of a service is therefore derived from its tail
// latency, as 1 minus the ratio of its lowest tail latency to its present one. On
// this scale loads add up: the service's own load, which varies, and for each
// filler the cores that it uses times the interference per core, which depends on
// the pair of images. Own load and its rate of change are estimated for each group of
// services, and interference for all VMs together, by a Kalman filter for each image of
// services.
package estimator

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// ownLoadDrift is the variance that the rate of change of an own load gains in a second, since loads
	// vary. measurementNoise is the least variance of a measured load.
	ownLoadDrift     = 0.06 * 0.06
	measurementNoise = 0.03 * 0.03
	// useNoise is the variance of a measured load for each square of a core that fillers use, since the
	// measured use lags behind.
	useNoise = 0.004 * 0.004
	// maxResidual bounds by how many standard deviations a measured load counts as different from the
	// expected one: a few measurements are off by a third.
	maxResidual = 2.5
	// initialOwnLoad and initialOwnLoadDeviation are the mean and the standard
	// deviation of an own load that has not been measured yet, which is assumed
	// to be about a third of the VM's capacity. initialRateDeviation is the standard deviation of its
	// rate of change, per second.
	initialOwnLoad          = 0.3
	initialOwnLoadDeviation = 0.3
	initialRateDeviation    = 0.1
	// initialInterference and initialInterferenceDeviation are the mean and the
	// standard deviation of the interference per core of an unknown pair of
	// images: half of the pairs that were measured showed next to none, and the
	// others 0.04 to 0.08 for a core of a VM with 32. interferenceDrift is the variance that the
	// estimate gains in a second.
	initialInterference          = 0.03
	initialInterferenceDeviation = 0.03
	interferenceDrift            = 0.001 * 0.001
	// caution is the number of standard deviations that a cautious estimate adds.
	caution = 0.5
	// maxPeakGrowth is by how much an own load is expected to exceed the highest one so far.
	maxPeakGrowth = 0.1
	// maxLoad bounds measured loads. Closer to 1 a tail latency reflects a queue
	// that has built up and not the load.
	maxLoad = 0.95
	// maxImages and maxGroups bound the images and groups of services. They are far above their numbers
	// at the planned size of 660 VMs and about 12,000 running tasks. A map that
	// would exceed its bound is cleared and learned again.
	maxImages = 1024
	maxGroups = 4096
)

// Service is a service task on a VM, with its tail latency and latency objective
// in milliseconds. Services of one group are assumed to have the same own load.
type Service struct {
	Group, Image string
	// TailLatency is the tail latency since the measurement before. Noise is its relative error.
	TailLatency, Noise float64
	// ReportedTail is the moving average of it that the worker reports; 0 means that it is the same.
	ReportedTail  float64
	TailObjective int
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

// Estimator holds the learned estimates.
type Estimator struct {
	// filters hold the estimates by the image of the services.
	filters map[string]*filter
	// images hold the image of each group's services.
	images map[string]string
	// lowestTails are the lowest tail latencies by image, in milliseconds.
	lowestTails map[string]float64
}

// New returns an Estimator that has learned nothing yet.
func New() *Estimator {
	return &Estimator{filters: map[string]*filter{}, images: map[string]string{}, lowestTails: map[string]float64{}}
}

// Observe records what a worker measured on one VM: its services, and the cores
// that fillers used there, with one Use for each image. Services without a tail
// latency are skipped. The services of one group count as one measurement, their median.
func (e *Estimator) Observe(now time.Time, services []Service, uses []Use) {
	type member struct{ group, image string }
	loads, noises := map[member][]float64{}, map[member]float64{}
	var members []member
	for _, s := range services {
		if s.TailLatency <= 0 {
			continue
		}
		m := member{s.Group, s.Image}
		if loads[m] == nil {
			members = append(members, m)
		}
		load := e.measureLoad(s)
		loads[m] = append(loads[m], load)
		noises[m] += (1 - load) * s.Noise
	}
	for _, m := range members {
		sorted := loads[m]
		slices.Sort(sorted)
		e.observeGroup(now, m.group, m.image, (sorted[(len(sorted)-1)/2]+sorted[len(sorted)/2])/2, noises[m]/float64(len(sorted)), uses)
	}
}

// filter returns the filter of a service's image.
func (e *Estimator) filter(image string, now time.Time) *filter {
	f := e.filters[image]
	if f == nil {
		if len(e.filters) >= maxImages {
			clear(e.filters)
		}
		f = newFilter(now)
		e.filters[image] = f
	}
	return f
}

// observeGroup corrects the estimates by the measured load of a group's services on one VM, which has the
// given standard deviation.
func (e *Estimator) observeGroup(now time.Time, group, image string, load, noise float64, uses []Use) {
	f := e.filter(image, now)
	if len(e.images) >= maxGroups {
		clear(e.images)
	}
	e.images[group] = image
	f.predict(now)
	// New elements may move others, so all exist before their indexes are used.
	f.group(group, now)
	for _, u := range uses {
		f.pair(u.Image, now)
	}
	cores, terms := 0.0, []term{{f.groups[group], 1}}
	for _, u := range uses {
		if index, known := f.pairs[u.Image]; known && u.Cores > 0 {
			cores += u.Cores
			terms = append(terms, term{index, u.Cores})
		}
	}
	f.observe(load, measurementNoise+noise*noise+useNoise*cores*cores, terms)
	f.peaks[group] = math.Max(f.peaks[group], f.mean[f.groups[group]])
}

// measureLoad updates the lowest tail latency of a service's image and returns
// the service's load, from 0 to maxLoad.
func (e *Estimator) measureLoad(s Service) float64 {
	tail, reported := s.TailLatency, cmp.Or(s.ReportedTail, s.TailLatency)
	lowest, known := e.lowestTails[s.Image]
	switch {
	case !known && len(e.lowestTails) >= maxImages:
		clear(e.lowestTails)
		lowest = reported
	case !known, reported < lowest:
		lowest = reported
	}
	e.lowestTails[s.Image] = lowest
	return math.Min(math.Max(1-lowest/tail, 0), maxLoad)
}

// perCore returns the mean and the standard deviation of the load that one core of a filler adds to a
// service, by their images: the initial ones for a pair that was never observed.
func (e *Estimator) perCore(image, filler string) (mean, deviation float64) {
	if f := e.filters[image]; f != nil {
		if index, known := f.pairs[filler]; known {
			return f.mean[index], math.Sqrt(math.Max(f.covariance[index][index], 0))
		}
	}
	return initialInterference, initialInterferenceDeviation
}

// LoadPerCore returns the load that one core of a filler is expected to add to a service. The
// parameter image is the service's image, and filler is the filler's image.
func (e *Estimator) LoadPerCore(image, filler string) float64 {
	mean, _ := e.perCore(image, filler)
	return mean
}

// CautiousLoadPerCore returns a load that one core of a filler adds to a service at most in two of three
// cases. It is high for a pair of images that is not known well, so that few such fillers share a VM
// until they were measured.
func (e *Estimator) CautiousLoadPerCore(image, filler string) float64 {
	mean, deviation := e.perCore(image, filler)
	return mean + caution*deviation
}

// FillerLoad returns the load that fillers add to a service with the given image, by the cautious estimate.
func (e *Estimator) FillerLoad(serviceImage string, uses []Use) float64 {
	sum := 0.0
	for _, u := range uses {
		sum += u.Cores * e.CautiousLoadPerCore(serviceImage, u.Image)
	}
	return sum
}

// OwnLoad returns the load that a service of the group has without fillers. It
// returns 0 for an unknown group.
func (e *Estimator) OwnLoad(group string) float64 { return e.PredictOwnLoad(group, time.Time{}) }

// PredictOwnLoad returns the own load of the group that is expected at the given time. It returns 0 for
// an unknown group.
func (e *Estimator) PredictOwnLoad(group string, at time.Time) float64 {
	f := e.filters[e.images[group]]
	if f == nil {
		return 0
	}
	index, known := f.groups[group]
	if !known {
		return 0
	}
	return clamp(f.mean[index] + f.mean[index+1]*max(at.Sub(f.updatedAt).Seconds(), 0))
}

// PeakOwnLoad returns the highest own load of the group that is expected until the given time. It is at
// most a little higher than the highest one so far, since loads vary in a range.
func (e *Estimator) PeakOwnLoad(group string, until time.Time) float64 {
	now, later := e.OwnLoad(group), e.PredictOwnLoad(group, until)
	if f := e.filters[e.images[group]]; f != nil {
		later = math.Min(later, f.peaks[group]+maxPeakGrowth)
	}
	return math.Max(now, later)
}

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
