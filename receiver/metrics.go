package receiver

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/plantainrail/plantainrail"
)

const (
	// Histograms hold latencies from a microsecond to five minutes with three
	// significant figures.
	histogramMin     = 1
	histogramMax     = int64(5 * time.Minute / time.Microsecond)
	histogramFigures = 3
)

// metrics counts what an entry did, by kind. It is published by expvar.
type metrics struct {
	mu    sync.Mutex
	kinds map[string]*kindMetrics
}

type kindMetrics struct {
	answered int64
	sent     int64
	failed   map[plantainrail.Code]int64
	latency  *hdrhistogram.Histogram
}

// KindMetrics is the published form of one kind's figures.
type KindMetrics struct {
	Answered int64                       `json:"answered"`
	Sent     int64                       `json:"sent"`
	Failed   map[plantainrail.Code]int64 `json:"failed"`
	P50      float64                     `json:"p50_ms"`
	P99      float64                     `json:"p99_ms"`
	P999     float64                     `json:"p999_ms"`
}

var published sync.Map

// newMetrics returns the figures of one entry, published under its name.
func newMetrics(entry string) *metrics {
	m := &metrics{kinds: map[string]*kindMetrics{}}
	name := "entry." + entry
	_, again := published.Swap(name, m)
	if !again {
		expvar.Publish(name, expvar.Func(func() any {
			current, _ := published.Load(name)
			return current.(*metrics).snapshot()
		}))
	}
	return m
}

// kind returns the figures of a kind. The caller holds the lock.
func (m *metrics) kind(name string) *kindMetrics {
	k, ok := m.kinds[name]
	if !ok {
		k = &kindMetrics{failed: map[plantainrail.Code]int64{}, latency: hdrhistogram.New(histogramMin, histogramMax, histogramFigures)}
		m.kinds[name] = k
	}
	return k
}

func (m *metrics) sent(kind string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.kind(kind).sent++
}

func (m *metrics) answered(kind string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := m.kind(kind)
	k.answered++
	_ = k.latency.RecordValue(min(max(took.Microseconds(), histogramMin), histogramMax))
}

func (m *metrics) failed(kind string, err *plantainrail.Error) {
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
		all[name] = KindMetrics{k.answered, k.sent, failed, milliseconds(k, 50), milliseconds(k, 99), milliseconds(k, 99.9)}
	}
	return all
}

func milliseconds(k *kindMetrics, quantile float64) float64 {
	return float64(k.latency.ValueAtQuantile(quantile)) / 1000
}
