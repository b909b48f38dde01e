// Package reporter writes structured logs without blocking the caller: lines wait
// in a bounded queue, and lines that do not fit are dropped and counted. It also
// counts the events by name and serves the counts as metrics. The processes on the
// platform log through it; package factory creates their loggers.
package reporter

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxQueuedLines bounds the lines that wait to be written. At 300 bytes per
	// line they take about 1.2 MB.
	maxQueuedLines = 4096
	// In each second the first sampleFirst lines with the same message are written,
	// and of the others every sampleThereafter-th.
	sampleFirst      = 400
	sampleThereafter = 100
)

// Reporter queues log lines and writes them in the background.
type Reporter struct {
	lines chan []byte
	// queueFull counts the lines dropped because the queue was full, and sampledOut
	// those dropped by sampling.
	queueFull  atomic.Int64
	sampledOut atomic.Int64
	// eventCounts holds how many times each event was logged or sampled out, by name,
	// which is the message of the line. It is guarded by mu.
	mu          sync.Mutex
	eventCounts map[string]int64
	// gauges holds the values of gauges by name. It is guarded by mu.
	gauges map[string]int64
	// stop ends the writer goroutine, which then closes done.
	stop, done chan struct{}
}

// New returns a logger of JSON lines and the Reporter that writes them to w until
// Close is called. Errors of w are ignored, since there is nowhere to report that
// logging fails.
func New(w io.Writer, level zapcore.Level) (*zap.Logger, *Reporter) {
	r := &Reporter{eventCounts: map[string]int64{}, gauges: map[string]int64{}, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go r.writeQueued(w)
	config := zap.NewProductionEncoderConfig()
	config.TimeKey, config.MessageKey = "at", "event"
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), r, level)
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter,
		zapcore.SamplerHook(func(e zapcore.Entry, d zapcore.SamplingDecision) {
			r.count(e.Message)
			if d&zapcore.LogDropped != 0 {
				r.sampledOut.Add(1)
			}
		}))
	return zap.New(core), r
}

// count counts an event. Event names are constants of the code, so the map stays
// small.
func (r *Reporter) count(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.eventCounts[event]++
}

// SetGauge sets the value of a gauge. Names are constants of the code, so the map stays small.
func (r *Reporter) SetGauge(name string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges[name] = value
}

// ServeHTTP writes the counters and gauges in the text format that metrics scrapers read.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	counts, gauges := maps.Clone(r.eventCounts), maps.Clone(r.gauges)
	r.mu.Unlock()
	for _, event := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "plantainrail_events_total{event=%q} %d\n", event, counts[event])
	}
	for _, name := range slices.Sorted(maps.Keys(gauges)) {
		fmt.Fprintf(w, "%s %d\n", name, gauges[name])
	}
	full, sampled := r.Dropped()
	fmt.Fprintf(w, "plantainrail_lines_dropped_total{reason=\"full\"} %d\n", full)
	fmt.Fprintf(w, "plantainrail_lines_dropped_total{reason=\"sampled\"} %d\n", sampled)
}

// Write implements zapcore.WriteSyncer. It never blocks or fails; it drops the line
// if the queue is full.
func (r *Reporter) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.queueFull.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, since lines are written
// in the background.
func (r *Reporter) Sync() error { return nil }

// Dropped returns the number of lines that were dropped because the queue was
// full, and the number that sampling dropped.
func (r *Reporter) Dropped() (full, sampled int64) { return r.queueFull.Load(), r.sampledOut.Load() }

// Close writes the queued lines and returns when they are written or the timeout
// has passed. It must be called only once.
func (r *Reporter) Close(timeout time.Duration) {
	close(r.stop)
	select {
	case <-r.done:
	case <-time.After(timeout):
	}
}

// writeQueued writes queued lines until stop is closed and the queue is empty. When
// lines were dropped because the queue was full, it writes a line with their number
// once the queue is empty.
func (r *Reporter) writeQueued(w io.Writer) {
	defer close(r.done)
	// reported is the number of dropped lines that these lines have reported so far.
	reported := int64(0)
	for {
		select {
		case line := <-r.lines:
			_, _ = w.Write(line)
			continue
		default:
		}
		if dropped := r.queueFull.Load(); dropped > reported {
			fmt.Fprintf(w, `{"level":"warn","event":"lines dropped","count":%d}`+"\n", dropped-reported)
			reported = dropped
		}
		select {
		case line := <-r.lines:
			_, _ = w.Write(line)
		case <-r.stop:
			return
		}
	}
}
