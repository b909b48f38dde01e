package plantainrail

import (
	"slices"
	"strings"
	"time"
)

// Class tells latency-critical kinds from batch kinds.
type Class string

// Classes of work.
const (
	ClassLatencyCritical Class = "latency-critical"
	ClassBatch           Class = "batch"
)

// Kind is one row of the table: a kind of work with its weight, limits and caps.
type Kind struct {
	// Name identifies the kind, for example "visit-match".
	Name string `json:"name"`
	// Path is a URL path prefix that selects the kind when X-Kind is absent.
	Path string `json:"path,omitempty"`
	// Class is latency-critical or batch.
	Class Class `json:"class"`
	// Weight is the worth of one completed request or task, 1 to 1000.
	Weight int `json:"weight"`
	// Limit is the number of requests of this kind that one target runs at
	// once; 0 leaves only the target's slots.
	Limit int `json:"limit"`
	// Queue is the number of requests of this kind that wait at one target.
	Queue int `json:"queue"`
	// Idempotent allows retries and hedges.
	Idempotent bool `json:"idempotent"`
	// Feed marks long-lived event streams, which hold a connection and no slot.
	Feed bool `json:"feed,omitempty"`
	// DeadlineMS is the time in milliseconds from arrival to the deadline of a
	// request that names none.
	DeadlineMS int `json:"deadline_ms"`
	// SLOMS is the latency objective in milliseconds; 0 means none.
	SLOMS int `json:"slo_ms,omitempty"`
	// Resources is what one task of the kind reserves on a VM.
	Resources Resources `json:"resources"`
	// Noise and Power are one task's share of a zone's caps, in the operators' units.
	Noise int `json:"noise,omitempty"`
	Power int `json:"power,omitempty"`
	// QuietFrom and QuietTo bound the quiet hours as minutes after midnight UTC.
	QuietFrom int `json:"quiet_from,omitempty"`
	QuietTo   int `json:"quiet_to,omitempty"`
	// QuietNoise and QuietPower cap the summed noise and power of a zone's tasks,
	// of every kind, during the quiet hours of this row; -1 means no cap.
	QuietNoise int `json:"quiet_noise"`
	QuietPower int `json:"quiet_power"`
	// QuietTasks is the cap on running tasks of this kind in a zone during the
	// quiet hours; -1 means no cap.
	QuietTasks int `json:"quiet_tasks"`
	// Quotas caps a team's unfinished tasks of this kind.
	Quotas []Quota `json:"quotas,omitempty"`
}

// Quota caps the unfinished tasks of one team.
type Quota struct {
	Team  string `json:"team"`
	Tasks int    `json:"tasks"`
}

// Quota returns the team's cap on unfinished tasks, if the row names one.
func (k Kind) Quota(team string) (int, bool) {
	for _, q := range k.Quotas {
		if q.Team == team {
			return q.Tasks, true
		}
	}
	return 0, false
}

// Deadline returns the deadline of a request that arrived at the given instant.
func (k Kind) Deadline(arrival time.Time) time.Time {
	return arrival.Add(time.Duration(k.DeadlineMS) * time.Millisecond)
}

// Quiet tells whether t falls in the kind's quiet hours.
func (k Kind) Quiet(t time.Time) bool {
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

// Table is a published set of kinds. Its revision grows by one with each publish.
type Table struct {
	Revision int64  `json:"revision"`
	Kinds    []Kind `json:"kinds"`
}

// Kind returns the row with the given name.
func (t Table) Kind(name string) (Kind, bool) {
	i := slices.IndexFunc(t.Kinds, func(k Kind) bool { return k.Name == name })
	if i < 0 {
		return Kind{}, false
	}
	return t.Kinds[i], true
}

// KindForPath returns the row whose path is the longest prefix of path.
func (t Table) KindForPath(path string) (Kind, bool) {
	var best Kind
	for _, k := range t.Kinds {
		if k.Path != "" && strings.HasPrefix(path, k.Path) && len(k.Path) > len(best.Path) {
			best = k
		}
	}
	return best, best.Name != ""
}

// CapReached tells whether one more task of the kind would exceed a cap of the
// quiet hours in a zone that runs the given numbers of tasks by kind. The lowest
// of the rows' caps on noise and on power holds for the whole zone.
func (t Table) CapReached(now time.Time, running map[string]int, k Kind) bool {
	if k.QuietTasks >= 0 && k.Quiet(now) && running[k.Name] >= k.QuietTasks {
		return true
	}
	noise, power := k.Noise, k.Power
	noiseCap, powerCap := -1, -1
	for _, row := range t.Kinds {
		noise += row.Noise * running[row.Name]
		power += row.Power * running[row.Name]
		if row.Quiet(now) {
			noiseCap = lowerCap(noiseCap, row.QuietNoise)
			powerCap = lowerCap(powerCap, row.QuietPower)
		}
	}
	return exceeds(k.Noise, noise, noiseCap) || exceeds(k.Power, power, powerCap)
}

// lowerCap returns the lower of two caps, of which -1 is none.
func lowerCap(a, b int) int {
	if a < 0 || (b >= 0 && b < a) {
		return b
	}
	return a
}

// exceeds tells whether a task's part takes the sum above the cap. A task that
// adds nothing exceeds no cap.
func exceeds(part, sum, limit int) bool {
	return part > 0 && limit >= 0 && sum > limit
}

// WithRevision returns a copy of t that carries the given revision.
func (t Table) WithRevision(revision int64) Table {
	t.Revision = revision
	return t
}

// Resources is an amount of a VM.
type Resources struct {
	// Processors in thousandths of a core.
	Processors int `json:"processors" cbor:"0,keyasint,omitempty"`
	// Memory in mebibytes.
	Memory int `json:"memory" cbor:"1,keyasint,omitempty"`
	// Accelerators as a count of devices.
	Accelerators int `json:"accelerators" cbor:"2,keyasint,omitempty"`
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.Processors + o.Processors, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.Processors - o.Processors, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Fits tells whether r is within o in every part.
func (r Resources) Fits(o Resources) bool {
	return r.Processors <= o.Processors && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}
