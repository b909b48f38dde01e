// Package ranker decides what is delayed, stopped or refused when there is too little capacity, so
// that it costs callers least. It performs no I/O and takes the current time as an argument.
package ranker

import (
	"cmp"
	"time"
)

const (
	// expiryFactor is the number of objectives after which a late job has no value left. The
	// platform defines it.
	expiryFactor = 3
	// startShare is the share of a job's spare time within which it has to begin to go ahead of others. With
	// half of the time spent waiting, jobs end late where estimates are too low: in the model of
	// planner/overload_test.go 0.5 lost a fifth of the work in time at 4 times the capacity, and 0.1 nothing.
	startShare = 0.1
	// bandFactor is the ratio of two amounts of work that are distinguished, since estimates are
	// off by a factor of two.
	bandFactor = 2
)

// Work is a job, or one repetition of it, that waits for capacity.
type Work struct {
	// Priority is that of the queue; 0 is the highest.
	Priority int
	// Arrival is the position in the order of acceptance.
	Arrival int64
	// Since is when the work was accepted or, if that is later, due.
	Since time.Time
	// Objective is the time by which the work should end; zero if it has none.
	Objective time.Time
	// Chain is the estimated time that the work needs in all, and ChainLeft that part which remains,
	// however much capacity it gets.
	Chain, ChainLeft time.Duration
	// Left is the estimated work that remains, and Spent that which is done, in millicores times
	// milliseconds.
	Left, Spent float64
}

// Objective returns the time by which work should end that was accepted at since and whose longest
// chain is estimated to take the given time.
func Objective(since time.Time, chain time.Duration, stretchFactor float64, slack time.Duration) time.Time {
	return since.Add(duration(chain, stretchFactor, slack))
}

// duration returns the objective of work as a duration.
func duration(chain time.Duration, stretchFactor float64, slack time.Duration) time.Duration {
	return time.Duration(stretchFactor*float64(chain)) + slack
}

// Expiry returns the time from which the end of the work has no value; zero if it has no objective.
func (w Work) Expiry() time.Time {
	if w.Objective.IsZero() {
		return time.Time{}
	}
	return w.Since.Add(expiryFactor * w.Objective.Sub(w.Since))
}

// Class is what waiting can still cost the caller. Lower classes go first.
type Class int

const (
	// Started work can meet its objective, or has none, and has used capacity that would be lost.
	Started Class = iota
	// Ample work can meet its objective with time to spare, or has none.
	Ample
	// Tight work can just meet its objective.
	Tight
	// Late work cannot meet its objective.
	Late
	// Expired work has no value left.
	Expired
)

// Class returns the class of the work. Capacity is what it can use at most, in millicores; 0 if that
// is not known.
func (w Work) Class(capacity float64, now time.Time) Class {
	needed := w.ChainLeft
	if capacity > 0 {
		needed = max(needed, time.Duration(w.Left/capacity*float64(time.Millisecond)))
	}
	hasObjective := !w.Objective.IsZero()
	switch {
	case hasObjective && !now.Before(w.Expiry()):
		return Expired
	case hasObjective && now.Add(needed).After(w.Objective):
		return Late
	case w.Spent > 0:
		return Started
	case hasObjective && now.Sub(w.Since) > w.startWindow():
		return Tight
	}
	return Ample
}

// startWindow returns how long the work may wait before it counts as tight.
func (w Work) startWindow() time.Duration {
	return time.Duration(startShare * float64(max(w.Objective.Sub(w.Since)-w.Chain, 0)))
}

// Key orders work that competes for capacity which is too little for all of it.
type Key struct {
	priority int
	class    Class
	// band is the work that remains, in steps of bandFactor; it is set for late work only.
	band    int
	arrival int64
}

// Key returns the key of the work. Scarce means that there is too little capacity for all work of its
// priority; without that the order is by arrival.
func (w Work) Key(scarce bool, capacity float64, now time.Time) Key {
	k := Key{priority: w.Priority, arrival: w.Arrival}
	if !scarce {
		return k
	}
	if k.class = w.Class(capacity, now); k.class == Late {
		for left := w.Left; left > 0; left /= bandFactor {
			k.band++
		}
	}
	return k
}

// OverdueKey returns the key of work that has waited for as long as it may, whatever that costs others.
func (w Work) OverdueKey() Key { return Key{priority: w.Priority, class: Started, arrival: w.Arrival} }

// Compare returns a negative number if work with this key goes before work with the other one.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.priority, other.priority), cmp.Compare(k.class, other.class),
		cmp.Compare(k.band, other.band), cmp.Compare(k.arrival, other.arrival))
}
