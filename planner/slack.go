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
	// maxFillerWait bounds how long a job of which nothing runs waits for a VM that tolerates its
	// fillers. It is below the three seconds after which such a job counts as starved.
	maxFillerWait = 2500 * time.Millisecond
)

// spareTime returns how much longer than estimated an occurrence of the job may take to meet its
// objective, and to end before its end has no value. Either is negative once that cannot be met.
func (j *Job) spareTime(k int, now time.Time) (objective, expiry time.Duration) {
	w := j.work(k)
	if w.Objective.IsZero() {
		return math.MaxInt64, math.MaxInt64
	}
	end := now.Add(w.ChainLeft)
	return w.Objective.Sub(end), w.Expiry().Sub(end)
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
