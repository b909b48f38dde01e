package receiver

import (
	"slices"
	"sync"
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// burnBucket is the grain of the burn report.
	burnBucket = 10 * time.Second
	// burnHistory is how far back the burn report reaches.
	burnHistory = time.Hour
	burnBuckets = int(burnHistory / burnBucket)
	// objectiveShare is the share of good answers that a kind with an SLO aims at.
	objectiveShare = 0.999
)

// burnMeter counts good and bad answers by kind in buckets of time.
type burnMeter struct {
	mu    sync.Mutex
	since time.Time
	kinds map[string]*burnSeries
}

type burnSeries struct {
	sloMS   int
	buckets [burnBuckets]burnCount
}

type burnCount struct {
	slot int64
	good int64
	bad  int64
}

// BurnWindow is the burn of one kind over one window.
type BurnWindow struct {
	// Window is the window's start; the end is the report's instant.
	Since time.Time `json:"since"`
	Good  int64     `json:"good"`
	Bad   int64     `json:"bad"`
	// Rate is the share of bad answers over the share that the objective allows.
	Rate float64 `json:"rate"`
}

// BurnReport is one kind's burn as one entry saw it.
type BurnReport struct {
	Kind      string  `json:"kind"`
	SLOMS     int     `json:"slo_ms"`
	Objective float64 `json:"objective"`
	// Known is the instant from which the entry has counts; what lies before
	// is not known.
	Known time.Time  `json:"known_since"`
	Short BurnWindow `json:"short"`
	Long  BurnWindow `json:"long"`
}

func newBurnMeter(now time.Time) *burnMeter {
	return &burnMeter{since: now, kinds: map[string]*burnSeries{}}
}

func (b *burnMeter) note(now time.Time, k plantainrail.Kind, good bool) {
	if k.Name == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.kinds[k.Name]
	if !ok {
		s = &burnSeries{}
		b.kinds[k.Name] = s
	}
	s.sloMS = k.SLOMS
	slot := now.UnixNano() / int64(burnBucket)
	c := &s.buckets[slot%int64(burnBuckets)]
	if c.slot != slot {
		*c = burnCount{slot: slot}
	}
	if good {
		c.good++
	} else {
		c.bad++
	}
}

// report returns the burn by kind over five minutes and an hour.
func (b *burnMeter) report(now time.Time) []BurnReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []BurnReport
	for name, s := range b.kinds {
		list = append(list, BurnReport{
			Kind: name, SLOMS: s.sloMS, Objective: objectiveShare, Known: b.since,
			Short: s.window(now, 5*time.Minute), Long: s.window(now, burnHistory),
		})
	}
	slices.SortFunc(list, func(x, y BurnReport) int {
		if x.Kind < y.Kind {
			return -1
		}
		return 1
	})
	return list
}

func (s *burnSeries) window(now time.Time, length time.Duration) BurnWindow {
	w := BurnWindow{Since: now.Add(-length)}
	oldest := w.Since.UnixNano() / int64(burnBucket)
	for _, c := range s.buckets {
		if c.slot > oldest {
			w.Good += c.good
			w.Bad += c.bad
		}
	}
	if total := w.Good + w.Bad; total > 0 {
		w.Rate = float64(w.Bad) / float64(total) / (1 - objectiveShare)
	}
	return w
}
