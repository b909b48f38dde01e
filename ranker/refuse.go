package ranker

import "time"

const (
	// estimateMargin is the factor by which a computed end may be off: two for the estimates of tasks, and two for the
	// capacity, of which fillers get what services and other tasks leave.
	estimateMargin = 4
	// maxDrain bounds the part of a Retry-After that is computed, since load changes faster than that.
	maxDrain = 30 * time.Second
	// minSpread is the least time over which the retries of refused clients are spread.
	minSpread = 4 * time.Second
)

// Backlog is the time for which the accepted work ahead of a new job of a queue keeps the capacity busy by its
// estimates, in milliseconds: for tasks, and for fillers, which also wait for processors that tasks use.
type Backlog struct {
	_                struct{} `cbor:",toarray"`
	TaskMS, FillerMS int64
}

// Offer is a job that a client submits.
type Offer struct {
	Priority int
	// Chain is the estimated time of its longest chain; 0 if it is not known.
	Chain time.Duration
	// StretchFactor and Slack are those of the queue.
	StretchFactor float64
	Slack         time.Duration
	// Filler means that all its steps are fillers.
	Filler bool
}

// Refuse reports whether the offer is refused, and after which time the client should try again. An offer that can be
// computed to end after three times its objective is refused with the probability by which the backlog is too long. All of
// them would leave the capacity without work that can be in time until the next figure. The client returns after the time in
// which the backlog drains as far as needed, and up to as much again so that clients do not return together. Draw is a random
// number from [0, 1) that decides on both.
func (b Backlog) Refuse(o Offer, draw float64) (retryAfter time.Duration, refused bool) {
	objective := duration(o.Chain, o.StretchFactor, o.Slack)
	if o.Priority <= PreemptingPriority || o.Chain <= 0 || objective <= 0 {
		return 0, false
	}
	wait := time.Duration(b.TaskMS) * time.Millisecond
	if o.Filler {
		wait = time.Duration(b.FillerMS) * time.Millisecond
	}
	drain := wait + o.Chain - estimateMargin*expiryFactor*objective
	if drain <= 0 {
		return 0, false
	}
	excess := float64(drain) / float64(wait+o.Chain)
	if draw >= excess {
		return 0, false
	}
	drain = min(drain, maxDrain)
	return max(drain, time.Second) + time.Duration(draw/excess*float64(max(drain, minSpread))), true
}
