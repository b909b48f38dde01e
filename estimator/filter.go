package estimator

import (
	"math"
	"slices"
	"time"
)

const (
	// maxFilterPairs and maxFilterGroups bound the state of a filter. They are above the number of
	// filler images and of jobs with one service image at the planned size.
	maxFilterPairs  = 64
	maxFilterGroups = 64
	// groupRetention is how long a group is kept after its last measurement.
	groupRetention = 20 * time.Second
)

// filter estimates, for the services of one image, the load that a core of each filler image adds, and
// the own load of each group of services and its rate of change per second, by a Kalman filter
// (Kalman, A New Approach to Linear Filtering and Prediction Problems, 1960). The covariances tell what
// a measurement of several fillers says about each of them.
type filter struct {
	// mean is the estimated state and covariance its covariance matrix. The own load of a group is
	// followed by its rate.
	mean       []float64
	covariance [][]float64
	// pairs and groups hold the index in the state, by the filler's image and by group.
	pairs, groups map[string]int
	// peaks holds the highest estimate of each group's own load.
	peaks map[string]float64
	// usedAt is when a pair or group was last measured, by index; rates have the zero time.
	usedAt []time.Time
	// updatedAt is the time of the state.
	updatedAt time.Time
}

func newFilter(now time.Time) *filter {
	return &filter{pairs: map[string]int{}, groups: map[string]int{}, peaks: map[string]float64{}, updatedAt: now}
}

// grow adds an element to the state and returns its index.
func (f *filter) grow(mean, deviation float64) int {
	n := len(f.mean)
	f.mean, f.usedAt = append(f.mean, mean), append(f.usedAt, time.Time{})
	for i := range f.covariance {
		f.covariance[i] = append(f.covariance[i], 0)
	}
	f.covariance = append(f.covariance, make([]float64, n+1))
	f.covariance[n][n] = deviation * deviation
	return n
}

// shrink removes an element of the state.
func (f *filter) shrink(index int) {
	f.mean, f.usedAt = slices.Delete(f.mean, index, index+1), slices.Delete(f.usedAt, index, index+1)
	f.covariance = slices.Delete(f.covariance, index, index+1)
	for i := range f.covariance {
		f.covariance[i] = slices.Delete(f.covariance[i], index, index+1)
	}
	for _, m := range []map[string]int{f.pairs, f.groups} {
		for name, at := range m {
			if at > index {
				m[name] = at - 1
			}
		}
	}
}

// oldest returns the name in the map that was measured least recently, and when.
func (f *filter) oldest(m map[string]int) (name string, at time.Time) {
	for candidate, index := range m {
		if t := f.usedAt[index]; name == "" || t.Before(at) || t.Equal(at) && candidate < name {
			name, at = candidate, t
		}
	}
	return name, at
}

// pair returns the index of a filler's image.
func (f *filter) pair(image string, now time.Time) int {
	index, known := f.pairs[image]
	if !known {
		if len(f.pairs) >= maxFilterPairs {
			old, _ := f.oldest(f.pairs)
			f.forgetPair(old)
		}
		index = f.grow(initialInterference, initialInterferenceDeviation)
		f.pairs[image] = index
	}
	f.usedAt[index] = now
	return index
}

func (f *filter) forgetPair(image string) {
	index := f.pairs[image]
	delete(f.pairs, image)
	f.shrink(index)
}

// group returns the index of a group's own load.
func (f *filter) group(name string, now time.Time) int {
	if _, known := f.groups[name]; !known {
		for {
			old, at := f.oldest(f.groups)
			if old == "" || len(f.groups) < maxFilterGroups && now.Sub(at) < groupRetention {
				break
			}
			f.forgetGroup(old)
		}
		f.groups[name] = f.grow(initialOwnLoad, initialOwnLoadDeviation)
		f.grow(0, initialRateDeviation)
	}
	index := f.groups[name]
	f.usedAt[index] = now
	return index
}

func (f *filter) forgetGroup(name string) {
	index := f.groups[name]
	delete(f.groups, name)
	delete(f.peaks, name)
	f.shrink(index + 1)
	f.shrink(index)
}

// predict advances the state to the given time: own loads change by their rates, and the rates at
// random.
func (f *filter) predict(now time.Time) {
	t := now.Sub(f.updatedAt).Seconds()
	if t <= 0 {
		return
	}
	f.updatedAt = now
	for _, level := range f.groups {
		rate := level + 1
		f.mean[level] = clamp(f.mean[level] + t*f.mean[rate])
		for i := range f.covariance {
			f.covariance[level][i] += t * f.covariance[rate][i]
		}
		for i := range f.covariance {
			f.covariance[i][level] += t * f.covariance[i][rate]
		}
		f.covariance[level][level] += ownLoadDrift * t * t * t / 3
		f.covariance[level][rate] += ownLoadDrift * t * t / 2
		f.covariance[rate][level] += ownLoadDrift * t * t / 2
		f.covariance[rate][rate] += ownLoadDrift * t
	}
	for _, pair := range f.pairs {
		f.covariance[pair][pair] += interferenceDrift * t
	}
}

// term is an element of the state and its weight in a measured load.
type term struct {
	index  int
	weight float64
}

// observe corrects the state by a measured load, which is the weighted sum of the terms and has the given
// variance.
func (f *filter) observe(load, variance float64, terms []term) {
	expected := 0.0
	spread := make([]float64, len(f.mean))
	for _, t := range terms {
		expected += t.weight * f.mean[t.index]
		for i, c := range f.covariance[t.index] {
			spread[i] += t.weight * c
		}
	}
	for _, t := range terms {
		variance += t.weight * spread[t.index]
	}
	// The measured load is bounded by maxLoad, so the expected one is, too.
	residual := load - math.Min(expected, maxLoad)
	variance = math.Max(variance, residual*residual/(maxResidual*maxResidual))
	for i, s := range spread {
		gain := s / variance
		if gain == 0 {
			continue
		}
		f.mean[i] += gain * residual
		for j, c := range spread {
			f.covariance[i][j] -= gain * c
		}
	}
	for _, pair := range f.pairs {
		f.mean[pair] = math.Max(f.mean[pair], 0)
	}
	for _, level := range f.groups {
		f.mean[level] = clamp(f.mean[level])
	}
}
