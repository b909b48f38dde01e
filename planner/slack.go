package planner

import (
	"math"
	"time"
)

const (
	// urgentTime is the spare time before its objective below which a job hurries.
	urgentTime = time.Second
	// lateTime is how far an estimate has to be behind the objective until the job counts as late.
	// The longest task of a wide step takes longer than the estimate, and so does the objective.
	lateTime = 4 * time.Second
	// expiryFactor is the number of objectives after which the end of a job has no value any more.
	expiryFactor = 3
	// maxFillerWait bounds how long a job of which nothing runs waits for a VM that tolerates its
	// fillers. It is below the three seconds after which such a job counts as starved.
	maxFillerWait = 2500 * time.Millisecond
)

// spareTime returns how much longer than estimated an occurrence of the job may take to meet its
// objective, and to end before its end has no value. Either is negative once that cannot be met.
func (j *Job) spareTime(k int, now time.Time) (objective, expiry time.Duration) {
	since := j.acceptedAt
	if due := j.NotBefore(k); due.After(since) {
		since = due
	}
	all, left := j.estimatedChains(k)
	duration := time.Duration(j.Queue.StretchFactor*float64(all)) + time.Duration(j.Queue.SlackMS)*time.Millisecond
	if duration <= 0 {
		// The queue has no objective.
		return math.MaxInt64, math.MaxInt64
	}
	needed := now.Sub(since) + left
	return duration - needed, expiryFactor*duration - needed
}

// estimatedChains returns the estimated time of the longest chain of steps, and that of the longest one
// of those that are not done.
func (j *Job) estimatedChains(k int) (all, left time.Duration) {
	o := j.openOccurrence(k)
	ends, endsLeft := make([]time.Duration, len(j.Steps)), make([]time.Duration, len(j.Steps))
	for s, step := range j.Steps {
		for _, dependency := range step.DependsOn {
			ends[s], endsLeft[s] = max(ends[s], ends[dependency]), max(endsLeft[s], endsLeft[dependency])
		}
		estimate := time.Duration(step.Estimate) * time.Millisecond
		ends[s] += estimate
		if s < len(o) && o[s].done < len(o[s].tasks) {
			endsLeft[s] += estimate
		}
		all, left = max(all, ends[s]), max(left, endsLeft[s])
	}
	return all, left
}

// hurries reports whether an occurrence of the job is about to miss its objective. One that is late
// does not: its value hardly depends on when it ends.
func (j *Job) hurries(k int, now time.Time) bool {
	spare, _ := j.spareTime(k, now)
	return spare < urgentTime && spare > -lateTime
}

// fillersMayWait reports whether fillers of the job may still wait for a VM whose services tolerate
// them. Otherwise they are placed where they do least harm.
func (j *Job) fillersMayWait(k int, now time.Time) bool {
	if !j.idleSince.IsZero() && now.Sub(j.idleSince) >= maxFillerWait {
		return false
	}
	_, expiry := j.spareTime(k, now)
	return expiry > 0 && !j.hurries(k, now)
}
