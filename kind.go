package plantainrail

import (
	"slices"
	"strings"
	"time"
)

// Class is the scheduling class of a kind: latency-critical or batch.
type Class string

// Classes of work.
const (
	ClassLatencyCritical Class = "latency-critical"
	ClassBatch           Class = "batch"
)

// Kind is one row of the table: a kind of work with its weight, limits, resource
// reservation and caps.
type Kind struct {
	// Name identifies the kind, for example "visit-match".
	Name string `json:"name"`
	// Path is the URL path prefix that selects the kind if a request has no X-Kind
	// header.
	Path string `json:"path,omitempty"`
	// Class is latency-critical or batch.
	Class Class `json:"class"`
	// Weight is the value of one completed request or task, from 1 to 1000.
	Weight int `json:"weight"`
	// MaxRunning is the maximum number of requests of this kind that one target runs
	// concurrently; 0 means that only the target's slots limit them.
	MaxRunning int `json:"limit"`
	// MaxQueued is the maximum number of requests of this kind that wait at one target.
	MaxQueued int `json:"queue"`
	// Idempotent allows hedged requests, and retries after a try that may have run. A try
	// that was certainly not run may be retried for any kind.
	Idempotent bool `json:"idempotent"`
	// Feed marks long-lived event streams, which use a connection of the target but no
	// slot.
	Feed bool `json:"feed,omitempty"`
	// DeadlineMS is the default deadline of a request, in milliseconds after its
	// arrival.
	DeadlineMS int `json:"deadline_ms"`
	// SLOMS is the latency objective in milliseconds; 0 means none.
	SLOMS int `json:"slo_ms,omitempty"`
	// Resources are what one task of the kind reserves on a VM.
	Resources Resources `json:"resources"`
	// Noise and Power are one task's contribution to the sums that QuietNoise and
	// QuietPower cap. Their units are chosen by the operators and are only compared
	// with those caps.
	Noise int `json:"noise,omitempty"`
	Power int `json:"power,omitempty"`
	// QuietFrom and QuietTo are the start (inclusive) and end (exclusive) of the
	// quiet hours, in minutes after midnight UTC. Equal values mean no quiet hours;
	// a start after the end means quiet hours that span midnight.
	QuietFrom int `json:"quiet_from,omitempty"`
	QuietTo   int `json:"quiet_to,omitempty"`
	// QuietNoise and QuietPower cap the total noise and power of the running tasks
	// of all kinds in an availability zone during the quiet hours of this row; -1
	// means no cap.
	QuietNoise int `json:"quiet_noise"`
	QuietPower int `json:"quiet_power"`
	// QuietTasks caps the running tasks of this kind in an availability zone during
	// the quiet hours; -1 means no cap.
	QuietTasks int `json:"quiet_tasks"`
	// Quotas cap the unfinished tasks of this kind by team.
	Quotas []Quota `json:"quotas,omitempty"`
}

// Quota caps the unfinished tasks of one team.
type Quota struct {
	Team  string `json:"team"`
	Tasks int    `json:"tasks"`
}

// Quota returns the team's cap on unfinished tasks and whether the row has one.
func (k Kind) Quota(team string) (int, bool) {
	for _, q := range k.Quotas {
		if q.Team == team {
			return q.Tasks, true
		}
	}
	return 0, false
}

// Deadline returns the default deadline of a request that arrived at the given
// time.
func (k Kind) Deadline(arrival time.Time) time.Time {
	return arrival.Add(time.Duration(k.DeadlineMS) * time.Millisecond)
}

// InQuietHours reports whether t is within the quiet hours of the kind.
func (k Kind) InQuietHours(t time.Time) bool {
	if k.QuietFrom == k.QuietTo {
		return false
	}
	t = t.UTC()
	minute := t.Hour()*60 + t.Minute()
	if k.QuietFrom < k.QuietTo {
		return minute >= k.QuietFrom && minute < k.QuietTo
	}
	return minute >= k.QuietFrom || minute < k.QuietTo
}

// Table is a published set of kinds. Each publication increments its revision by
// one.
type Table struct {
	Revision int64  `json:"revision"`
	Kinds    []Kind `json:"kinds"`
}

// Kind returns the row with the given name, or false if there is none.
func (t Table) Kind(name string) (Kind, bool) {
	i := slices.IndexFunc(t.Kinds, func(k Kind) bool { return k.Name == name })
	if i < 0 {
		return Kind{}, false
	}
	return t.Kinds[i], true
}

// KindForPath returns the row with the longest path that is a prefix of the given
// path, or false if there is none.
func (t Table) KindForPath(path string) (Kind, bool) {
	var best Kind
	for _, k := range t.Kinds {
		if k.Path != "" && strings.HasPrefix(path, k.Path) && len(k.Path) > len(best.Path) {
			best = k
		}
	}
	return best, best.Name != ""
}

// CapReached reports whether one more task of kind k would exceed a quiet-hour cap
// in an availability zone. TaskCounts is the zone's number of tasks by kind, including
// those that are assigned to a worker and have not started yet.
// A row's caps on noise and power apply to the tasks of all kinds. If several rows
// cap noise or power now, the lowest cap applies.
func (t Table) CapReached(now time.Time, taskCounts map[string]int, k Kind) bool {
	if k.QuietTasks >= 0 && k.InQuietHours(now) && taskCounts[k.Name] >= k.QuietTasks {
		return true
	}
	noise, power := k.Noise, k.Power
	noiseCap, powerCap := -1, -1
	for _, row := range t.Kinds {
		noise += row.Noise * taskCounts[row.Name]
		power += row.Power * taskCounts[row.Name]
		if row.InQuietHours(now) {
			noiseCap = lowerCap(noiseCap, row.QuietNoise)
			powerCap = lowerCap(powerCap, row.QuietPower)
		}
	}
	return exceeds(k.Noise, noise, noiseCap) || exceeds(k.Power, power, powerCap)
}

// lowerCap returns the lower of two caps. A negative cap means no cap.
func lowerCap(a, b int) int {
	if a < 0 || (b >= 0 && b < a) {
		return b
	}
	return a
}

// exceeds reports whether the sum, which includes the task's contribution, is
// above the limit. A task that contributes nothing never exceeds a limit. A
// negative limit means no limit.
func exceeds(contribution, sum, limit int) bool {
	return contribution > 0 && limit >= 0 && sum > limit
}

// WithRevision returns a copy of t with the given revision.
func (t Table) WithRevision(revision int64) Table {
	t.Revision = revision
	return t
}

// Resources is an amount of the resources of a VM.
type Resources struct {
	// Processors is in thousandths of a core; the table's column processors gives cores.
	Processors int `json:"processors" cbor:"0,keyasint,omitempty"`
	// Memory is in mebibytes.
	Memory int `json:"memory" cbor:"1,keyasint,omitempty"`
	// Accelerators is a number of devices.
	Accelerators int `json:"accelerators" cbor:"2,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits reports whether r is at most o in every resource.
func (r Resources) Fits(o Resources) bool {
	return r.Processors <= o.Processors && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}
