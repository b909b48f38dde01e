// Package burn implements the command "report burn". Each entry measures the error
// budget burn of its own requests; the command adds up the counts of all entries.
package burn

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/command/factory"
	"github.com/plantainrail/plantainrail/receiver"
)

// Options holds the command's dependencies and validated flags.
type Options struct {
	*factory.Factory
	AsJSON bool
}

// Command holds the flags and arguments.
type Command struct {
	JSON bool `name:"json" help:"Write the report as JSON."`

	run func(*Options) error
}

// New returns the command. A nil run means Run; tests may pass another function.
func New(run func(*Options) error) Command {
	if run == nil {
		run = Run
	}
	return Command{run: run}
}

// Run runs the command with the parsed flags and arguments.
func (c *Command) Run(f *factory.Factory) error {
	return c.run(&Options{Factory: f, AsJSON: c.JSON})
}

// Report is the error budget burn of one kind, summed over the entries that
// responded. Good and bad responses are counted over a short window of 5 minutes and
// a long one of an hour. A rate of 1 is the highest that meets the objective.
type Report struct {
	Kind      string  `json:"kind"`
	SLOMS     int     `json:"slo_ms"`
	Objective float64 `json:"objective"`
	ShortGood int64   `json:"short_good"`
	ShortBad  int64   `json:"short_bad"`
	LongGood  int64   `json:"long_good"`
	LongBad   int64   `json:"long_bad"`
	ShortRate float64 `json:"short_rate"`
	LongRate  float64 `json:"long_rate"`
	// KnownSince is when the last of these entries began to count. If it is within a
	// window, the counts of the window are incomplete.
	KnownSince time.Time `json:"known_since"`
	// Missing names the registered entries that did not respond.
	Missing []string `json:"missing,omitempty"`
}

// Run reads the burn reports of all registered entries and prints their sum by
// kind, the highest short-window rate first.
func Run(o *Options) error {
	entries, err := o.Caller().Entries(o.Context)
	if err != nil {
		return err
	}
	var reports []receiver.BurnRateReport
	var missing []string
	for _, e := range entries {
		entryReports, err := caller.New(o.BaseURL(e.Address), o.Token, nil).Burn(o.Context)
		if err != nil {
			missing = append(missing, e.Name)
			continue
		}
		reports = append(reports, entryReports...)
	}
	merged := Merge(reports, missing)
	if o.AsJSON {
		return o.PrintJSON(merged)
	}
	for _, name := range missing {
		fmt.Fprintf(o.Err, "entry %s did not answer; its counts are missing\n", name)
	}
	return o.PrintRows([]string{"kind", "slo ms", "burn 5 m", "burn 1 h", "good 1 h", "bad 1 h", "known since"}, rows(merged))
}

// Merge sums the entries' reports by kind and sorts them by the short-window rate,
// the highest first.
func Merge(reports []receiver.BurnRateReport, missing []string) []Report {
	byKind := map[string]*Report{}
	for _, b := range reports {
		r, ok := byKind[b.Kind]
		if !ok {
			r = &Report{Kind: b.Kind, SLOMS: b.SLOMS, Objective: b.Objective, Missing: missing}
			byKind[b.Kind] = r
		}
		r.ShortGood += b.Short.Good
		r.ShortBad += b.Short.Bad
		r.LongGood += b.Long.Good
		r.LongBad += b.Long.Bad
		if b.KnownSince.After(r.KnownSince) {
			r.KnownSince = b.KnownSince
		}
	}
	list := make([]Report, 0, len(byKind))
	for _, r := range byKind {
		r.ShortRate = rate(r.ShortGood, r.ShortBad, r.Objective)
		r.LongRate = rate(r.LongGood, r.LongBad, r.Objective)
		list = append(list, *r)
	}
	slices.SortFunc(list, func(a, b Report) int {
		switch {
		case a.ShortRate > b.ShortRate:
			return -1
		case a.ShortRate < b.ShortRate:
			return 1
		case a.Kind < b.Kind:
			return -1
		}
		return 1
	})
	return list
}

// rate returns the share of bad responses divided by the share that the objective
// allows, and 0 if there are no responses.
func rate(good, bad int64, objective float64) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - objective)
}

// rows returns the rows of the printed table.
func rows(reports []Report) [][]string {
	list := make([][]string, 0, len(reports))
	for _, r := range reports {
		list = append(list, []string{
			r.Kind, strconv.Itoa(r.SLOMS), strconv.FormatFloat(r.ShortRate, 'f', 2, 64), strconv.FormatFloat(r.LongRate, 'f', 2, 64),
			strconv.FormatInt(r.LongGood, 10), strconv.FormatInt(r.LongBad, 10), r.KnownSince.Format(time.RFC3339),
		})
	}
	return list
}
