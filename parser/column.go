package parser

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/plantainrail/plantainrail"
)

// column parses and formats one column of the table.
type column struct {
	name string
	// allowed describes the valid cells in error messages.
	allowed string
	// set stores a cell in the row and returns true. It returns false if the cell is
	// invalid; the row must then not be used.
	set func(*plantainrail.Kind, string) bool
	// get formats the cell of a parsed row so that the parser reads the same value from
	// it. It returns an empty text only in columns where an empty cell means the zero value,
	// such as quiet_hours and quotas. The columns of numbers return "0", since an empty
	// cell there may mean another default.
	get func(plantainrail.Kind) string
}

const (
	maxWeight = 1000
	// maxDeadlineMS bounds deadlines and latency objectives: 24 hours, in
	// milliseconds.
	maxDeadlineMS = 24 * 60 * 60 * 1000
	// maxCount bounds every other number of tasks, requests or units of noise and
	// power.
	maxCount = 1_000_000
	// millicoresPerCore converts a cell of the column processors, which is in cores, to
	// Resources.Processors, which is in thousandths of a core.
	millicoresPerCore = 1000
	minutesPerHour    = 60
)

var (
	namePattern  = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	teamPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	hoursPattern = regexp.MustCompile(`^([01][0-9]|2[0-3]):([0-5][0-9])-([01][0-9]|2[0-3]):([0-5][0-9])$`)
)

// columns holds the columns in the order in which Format writes them. The limits of
// memory_mb, in mebibytes, and of accelerators are those of the settings keys
// capacity.memory_mb and capacity.accelerators. -1 means no cap in quiet_noise,
// quiet_power and quiet_tasks.
var columns = []column{
	{"kind", "a name of small letters, digits and hyphens that begins with a letter", setName, func(k plantainrail.Kind) string { return k.Name }},
	{"path", "a URL path that begins with /", setPath, func(k plantainrail.Kind) string { return k.Path }},
	{"class", "latency-critical or batch", setClass, func(k plantainrail.Kind) string { return string(k.Class) }},
	intColumn("weight", 1, maxWeight, func(k *plantainrail.Kind) *int { return &k.Weight }),
	intColumn("limit", 0, maxCount, func(k *plantainrail.Kind) *int { return &k.MaxRunning }),
	intColumn("queue", 0, maxCount, func(k *plantainrail.Kind) *int { return &k.MaxQueued }),
	boolColumn("idempotent", func(k *plantainrail.Kind) *bool { return &k.Idempotent }),
	boolColumn("feed", func(k *plantainrail.Kind) *bool { return &k.Feed }),
	intColumn("deadline_ms", 1, maxDeadlineMS, func(k *plantainrail.Kind) *int { return &k.DeadlineMS }),
	intColumn("slo_ms", 0, maxDeadlineMS, func(k *plantainrail.Kind) *int { return &k.SLOMS }),
	{"processors", "cores from 0 to 1024, for example 0.5", setProcessors, getProcessors},
	intColumn("memory_mb", 0, 1<<24, func(k *plantainrail.Kind) *int { return &k.Resources.Memory }),
	intColumn("accelerators", 0, 64, func(k *plantainrail.Kind) *int { return &k.Resources.Accelerators }),
	intColumn("noise", 0, maxCount, func(k *plantainrail.Kind) *int { return &k.Noise }),
	intColumn("power", 0, maxCount, func(k *plantainrail.Kind) *int { return &k.Power }),
	{"quiet_hours", "hours in UTC as HH:MM-HH:MM", setQuietHours, getQuietHours},
	intColumn("quiet_noise", -1, maxCount, func(k *plantainrail.Kind) *int { return &k.QuietNoise }),
	intColumn("quiet_power", -1, maxCount, func(k *plantainrail.Kind) *int { return &k.QuietPower }),
	intColumn("quiet_tasks", -1, maxCount, func(k *plantainrail.Kind) *int { return &k.QuietTasks }),
	{"quotas", "team=tasks pairs split by spaces, for example parks=10 rota=4", setQuotas, getQuotas},
}

// ColumnNames returns the names of the table's columns in order.
func ColumnNames() []string {
	names := make([]string, 0, len(columns))
	for _, c := range columns {
		names = append(names, c.name)
	}
	return names
}

// lookUpColumn returns the column with a name, or false if there is none.
func lookUpColumn(name string) (column, bool) {
	i := slices.IndexFunc(columns, func(c column) bool { return c.name == name })
	if i < 0 {
		return column{}, false
	}
	return columns[i], true
}

// columnByName returns a column that is known to exist.
func columnByName(name string) column {
	c, _ := lookUpColumn(name)
	return c
}

// intColumn returns a column of whole numbers from low to high.
func intColumn(name string, low, high int, field func(*plantainrail.Kind) *int) column {
	return column{
		name, fmt.Sprintf("a whole number from %d to %d", low, high),
		func(k *plantainrail.Kind, cell string) bool {
			n, err := strconv.Atoi(cell)
			if err != nil || n < low || n > high {
				return false
			}
			*field(k) = n
			return true
		},
		func(k plantainrail.Kind) string { return strconv.Itoa(*field(&k)) },
	}
}

// boolColumn returns a column of yes and no.
func boolColumn(name string, field func(*plantainrail.Kind) *bool) column {
	return column{
		name, "yes or no",
		func(k *plantainrail.Kind, cell string) bool {
			switch strings.ToLower(cell) {
			case "yes", "true":
				*field(k) = true
			case "no", "false":
				*field(k) = false
			default:
				return false
			}
			return true
		},
		func(k plantainrail.Kind) string {
			if *field(&k) {
				return "yes"
			}
			return "no"
		},
	}
}

func setName(k *plantainrail.Kind, cell string) bool {
	k.Name = cell
	return namePattern.MatchString(cell)
}

func setPath(k *plantainrail.Kind, cell string) bool {
	k.Path = cell
	return strings.HasPrefix(cell, "/") && !strings.ContainsAny(cell, " ?#")
}

func setClass(k *plantainrail.Kind, cell string) bool {
	k.Class = plantainrail.Class(cell)
	return k.Class == plantainrail.ClassBatch || k.Class == plantainrail.ClassLatencyCritical
}

// setProcessors parses a number of cores, which the Kind holds in thousandths.
func setProcessors(k *plantainrail.Kind, cell string) bool {
	cores, err := strconv.ParseFloat(cell, 64)
	if err != nil || math.IsNaN(cores) || cores < 0 || cores > 1024 {
		return false
	}
	k.Resources.Processors = int(math.Round(cores * millicoresPerCore))
	return true
}

func getProcessors(k plantainrail.Kind) string {
	return strconv.FormatFloat(float64(k.Resources.Processors)/millicoresPerCore, 'f', -1, 64)
}

// setQuietHours parses a daily period, which the Kind holds in minutes after
// midnight. A period whose start equals its end is invalid, since that means no quiet
// hours in the Kind.
func setQuietHours(k *plantainrail.Kind, cell string) bool {
	m := hoursPattern.FindStringSubmatch(cell)
	if m == nil {
		return false
	}
	k.QuietFrom = minuteOfDay(m[1], m[2])
	k.QuietTo = minuteOfDay(m[3], m[4])
	return k.QuietFrom != k.QuietTo
}

// minuteOfDay returns the minutes after midnight. Its arguments match hoursPattern,
// so they are numbers.
func minuteOfDay(hour, minute string) int {
	h, _ := strconv.Atoi(hour)
	m, _ := strconv.Atoi(minute)
	return h*minutesPerHour + m
}

func getQuietHours(k plantainrail.Kind) string {
	if k.QuietFrom == k.QuietTo {
		return ""
	}
	return fmt.Sprintf("%02d:%02d-%02d:%02d", k.QuietFrom/minutesPerHour, k.QuietFrom%minutesPerHour, k.QuietTo/minutesPerHour, k.QuietTo%minutesPerHour)
}

// setQuotas parses the teams' caps. It returns false if a team is named twice.
func setQuotas(k *plantainrail.Kind, cell string) bool {
	k.Quotas = nil
	for _, pair := range strings.Fields(cell) {
		team, count, ok := strings.Cut(pair, "=")
		n, err := strconv.Atoi(count)
		if !ok || err != nil || n < 0 || n > maxCount || !teamPattern.MatchString(team) {
			return false
		}
		if _, duplicate := k.Quota(team); duplicate {
			return false
		}
		k.Quotas = append(k.Quotas, plantainrail.Quota{Team: team, Tasks: n})
	}
	return true
}

func getQuotas(k plantainrail.Kind) string {
	pairs := make([]string, 0, len(k.Quotas))
	for _, q := range k.Quotas {
		pairs = append(pairs, fmt.Sprintf("%s=%d", q.Team, q.Tasks))
	}
	return strings.Join(pairs, " ")
}
