package receiver

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/plantainrail/plantainrail"
)

const (
	// Histograms record latencies from one microsecond to five minutes with
	// three significant digits.
	histogramMinMicros          = 1
	histogramMaxMicros          = int64(5 * time.Minute / time.Microsecond)
	histogramSignificantFigures = 3
)

// metrics counts an entry's requests by kind. It is published through expvar.
type metrics struct {
	mu    sync.Mutex
	kinds map[string]*kindMetrics
}

type kindMetrics struct {
	// answered counts the responses that were sent to the caller completely.
	answered int64
	// sent counts the tries that were sent to targets.
	sent int64
	// failed counts the calls that failed or whose response broke off, by result
	// code.
	failed map[plantainrail.Code]int64
	// latency is the time from a request's arrival to the end of its response, in
	// microseconds.
	latency *hdrhistogram.Histogram
}

// KindMetrics is the published form of the metrics of one kind: Answered counts
// complete responses, Sent the tries sent to targets, and Failed the calls that
// failed or whose response broke off, by result code. P50, P99 and P999 are
// latencies in milliseconds.
type KindMetrics struct {
	Answered int64                       `json:"answered"`
	Sent     int64                       `json:"sent"`
	Failed   map[plantainrail.Code]int64 `json:"failed"`
	P50      float64                     `json:"p50_ms"`
	P99      float64                     `json:"p99_ms"`
	P999     float64                     `json:"p999_ms"`
}

// publishedMetrics maps a name in expvar to the latest metrics of that name.
var publishedMetrics sync.Map

// newMetrics returns the metrics of one entry, published under its name. They
// replace earlier metrics of that name, since expvar panics when a name is
// published twice.
func newMetrics(entry string) *metrics {
	m := &metrics{kinds: map[string]*kindMetrics{}}
	name := "entry." + entry
	_, alreadyPublished := publishedMetrics.Swap(name, m)
	if !alreadyPublished {
		expvar.Publish(name, expvar.Func(func() any {
			current, _ := publishedMetrics.Load(name)
			return current.(*metrics).snapshot()
		}))
	}
	return m
}

// kind returns the metrics of a kind, which it adds if the kind has none. The caller
// holds the lock.
func (m *metrics) kind(name string) *kindMetrics {
	k, ok := m.kinds[name]
	if !ok {
		k = &kindMetrics{failed: map[plantainrail.Code]int64{}, latency: hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramSignificantFigures)}
		m.kinds[name] = k
	}
	return k
}

// countSent counts a try that is sent to a target.
func (m *metrics) countSent(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kind(kind).sent++
}

// countAnswered counts a complete response.
func (m *metrics) countAnswered(kind string, elapsed time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	k.answered++
	// RecordValue fails only for a value out of range.
	_ = k.latency.RecordValue(min(max(elapsed.Microseconds(), histogramMinMicros), histogramMaxMicros))
}

// countFailed counts a call that failed or whose response broke off. The kind is empty if
// the call failed before it was known.
func (m *metrics) countFailed(kind string, err *plantainrail.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kind(kind).failed[err.Code]++
}

func (m *metrics) snapshot() map[string]KindMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[string]KindMetrics{}
	for name, k := range m.kinds {
		failed := map[plantainrail.Code]int64{}
		for code, n := range k.failed {
			failed[code] = n
		}
		all[name] = KindMetrics{k.answered, k.sent, failed, percentileMilliseconds(k, 50), percentileMilliseconds(k, 99), percentileMilliseconds(k, 99.9)}
	}
	return all
}

// percentileMilliseconds returns a latency in milliseconds for a percentile from 0
// to 100.
func percentileMilliseconds(k *kindMetrics, percentile float64) float64 {
	return float64(k.latency.ValueAtQuantile(percentile)) / 1000
}
