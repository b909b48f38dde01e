package receiver

import (
	"slices"
	"sync"
	"time"

	"github.com/plantainrail/plantainrail"
)

const (
	// burnBucketLength is the time resolution of the burn rate report.
	burnBucketLength = 10 * time.Second
	// burnHistory is how far back the burn rate report goes.
	burnHistory     = time.Hour
	burnBucketCount = int(burnHistory / burnBucketLength)
	// sloObjective is the fraction of good responses that a kind with an SLO
	// should reach.
	sloObjective = 0.999
)

// burnMeter counts good and bad responses by kind in time buckets. A call that failed
// counts as a bad response.
type burnMeter struct {
	mu        sync.Mutex
	startedAt time.Time
	kinds     map[string]*burnSeries
}

// burnSeries holds the counts of one kind. The buckets form a ring: a bucket is
// reused burnHistory later.
type burnSeries struct {
	// sloMS is the kind's latency objective in milliseconds; 0 means none.
	sloMS   int
	buckets [burnBucketCount]burnBucket
}

// burnBucket holds the counts of one bucket.
type burnBucket struct {
	// bucketIndex is the number of whole buckets from the Unix epoch to the start of
	// this one.
	bucketIndex int64
	good        int64
	bad         int64
}

// BurnRateWindow holds the responses and the burn rate of one kind over a time
// window.
type BurnRateWindow struct {
	// Since is the start of the window. It ends when the report is made.
	Since time.Time `json:"since"`
	Good  int64     `json:"good"`
	Bad   int64     `json:"bad"`
	// Rate is the fraction of bad responses divided by the fraction that the
	// objective allows; 0 if there were no responses. A rate of 1 just meets the
	// objective.
	Rate float64 `json:"rate"`
}

// BurnRateReport is the error budget burn of one kind as measured by one entry.
type BurnRateReport struct {
	Kind      string  `json:"kind"`
	SLOMS     int     `json:"slo_ms"`
	Objective float64 `json:"objective"`
	// KnownSince is when the entry began to count. Earlier responses are not
	// included.
	KnownSince time.Time      `json:"known_since"`
	Short      BurnRateWindow `json:"short"`
	Long       BurnRateWindow `json:"long"`
}

func newBurnMeter(now time.Time) *burnMeter {
	return &burnMeter{startedAt: now, kinds: map[string]*burnSeries{}}
}

// record counts a call of kind k as good or bad. It ignores a call that failed
// before its kind was known.
func (b *burnMeter) record(now time.Time, k plantainrail.Kind, good bool) {
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
	bucketIndex := now.UnixNano() / int64(burnBucketLength)
	bucket := &s.buckets[bucketIndex%int64(burnBucketCount)]
	if bucket.bucketIndex != bucketIndex {
		*bucket = burnBucket{bucketIndex: bucketIndex}
	}
	if good {
		bucket.good++
	} else {
		bucket.bad++
	}
}

// report returns the burn rate of each kind over five minutes and over one
// hour.
func (b *burnMeter) report(now time.Time) []BurnRateReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []BurnRateReport
	for name, s := range b.kinds {
		list = append(list, BurnRateReport{
			Kind: name, SLOMS: s.sloMS, Objective: sloObjective, KnownSince: b.startedAt,
			Short: s.window(now, 5*time.Minute), Long: s.window(now, burnHistory),
		})
	}
	slices.SortFunc(list, func(x, y BurnRateReport) int {
		if x.Kind < y.Kind {
			return -1
		}
		return 1
	})
	return list
}

// window returns the counts and the burn rate over the given length of time up to
// now. It omits the bucket in which the window starts, so the counts cover up to
// burnBucketLength less.
func (s *burnSeries) window(now time.Time, length time.Duration) BurnRateWindow {
	w := BurnRateWindow{Since: now.Add(-length)}
	oldestIndex := w.Since.UnixNano() / int64(burnBucketLength)
	for _, bucket := range s.buckets {
		if bucket.bucketIndex > oldestIndex {
			w.Good += bucket.good
			w.Bad += bucket.bad
		}
	}
	if total := w.Good + w.Bad; total > 0 {
		w.Rate = float64(w.Bad) / float64(total) / (1 - sloObjective)
	}
	return w
}
