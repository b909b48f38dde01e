package planner

import (
	"slices"
	"strings"
	"time"

	"github.com/plantainrail/plantainrail"
)

// A cancellation may be stored before the submission of its job: a client cancels what it has not seen accepted, and
// the submission may still be on its way to the store. The order in the log decides: the cancellation holds for each
// submission that is stored after it, for as long as it is stored itself.

// IsCancellation reports whether a record of the jobs topic cancels a job.
func IsCancellation(r plantainrail.KeyedRecord) bool {
	return strings.HasPrefix(r.Key, cancelKeyPrefix) && len(r.Value) > 0
}

// updateLoneCancel notes whether the cancellation of a job is stored without its submission, or stored anew.
func (c *Catalog) updateLoneCancel(id string) {
	if j := c.jobs[id]; j == nil || j.submitted || !j.cancelRequested {
		delete(c.loneCancels, id)
		return
	}
	c.loneCancels[id] = time.Time{}
	c.unnotedCancels = append(c.unnotedCancels, id)
}

// LoneCancels returns the number of cancellations whose jobs are not known.
func (c *Catalog) LoneCancels() int { return len(c.loneCancels) }

// noteLoneCancels notes the time as that of the cancellations that were applied since the last call.
func (c *Catalog) noteLoneCancels(now time.Time) {
	for _, id := range c.unnotedCancels {
		if _, lone := c.loneCancels[id]; lone {
			c.loneCancels[id] = now
		}
	}
	c.unnotedCancels = nil
}

// NeedsRoom reports whether a cancellation of the job would add to LoneCancels.
func (c *Catalog) NeedsRoom(id string) bool {
	_, stored := c.loneCancels[id]
	j := c.jobs[id]
	return !stored && (j == nil || !j.submitted)
}

// CancelDeletions returns the records of the jobs topic that delete the cancellations of unknown jobs that were noted at
// the given time or before, at most the given number.
func (c *Catalog) CancelDeletions(until time.Time, limit int) []plantainrail.KeyedRecord {
	var due []string
	for id, notedAt := range c.loneCancels {
		if !notedAt.IsZero() && !notedAt.After(until) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(x, y string) int { return c.loneCancels[x].Compare(c.loneCancels[y]) })
	var out []plantainrail.KeyedRecord
	for _, id := range due[:min(limit, len(due))] {
		out = append(out, plantainrail.KeyedRecord{Key: cancelKeyPrefix + id})
	}
	return out
}
