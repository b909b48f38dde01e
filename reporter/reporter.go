// Package reporter writes structured logs that never hold a decision up: lines
// wait in a bounded queue, and what does not fit is dropped and counted.
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
	// queueLimit bounds the lines that wait; at 300 bytes a line they take a
	// little over a megabyte.
	queueLimit = 4096
	// sampleFirst lines of one message are written each second, and then one in
	// sampleThereafter.
	sampleFirst      = 400
	sampleThereafter = 100
)

// Reporter is the bounded queue in front of a writer.
type Reporter struct {
	lines   chan []byte
	dropped atomic.Int64
	sampled atomic.Int64
	// counts holds how often each event was logged or left out, by its name.
	mu     sync.Mutex
	counts map[string]int64
	// stop ends the writing; done is closed after the last line.
	stop, done chan struct{}
}

// New returns a logger that writes JSON lines to w, and the queue behind it.
func New(w io.Writer, level zapcore.Level) (*zap.Logger, *Reporter) {
	r := &Reporter{counts: map[string]int64{}, lines: make(chan []byte, queueLimit), stop: make(chan struct{}), done: make(chan struct{})}
	go r.write(w)
	config := zap.NewProductionEncoderConfig()
	config.TimeKey, config.MessageKey = "at", "event"
	config.EncodeTime = zapcore.ISO8601TimeEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), r, level)
	core = zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter,
		zapcore.SamplerHook(func(e zapcore.Entry, d zapcore.SamplingDecision) {
			r.count(e.Message)
			if d&zapcore.LogDropped != 0 {
				r.sampled.Add(1)
			}
		}))
	return zap.New(core), r
}

// count counts an event. The names are constants of the code, so they are few.
func (r *Reporter) count(event string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[event]++
}

// ServeHTTP writes the counters as text, one a line, in the form that scrapers
// of metrics read.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	counts := maps.Clone(r.counts)
	r.mu.Unlock()
	for _, event := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "plantainrail_events_total{event=%q} %d\n", event, counts[event])
	}
	full, sampled := r.Dropped()
	fmt.Fprintf(w, "plantainrail_lines_dropped_total{reason=\"full\"} %d\n", full)
	fmt.Fprintf(w, "plantainrail_lines_dropped_total{reason=\"sampled\"} %d\n", sampled)
}

// Write implements zapcore.WriteSyncer. It never blocks.
func (r *Reporter) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer; lines are written in the background.
func (r *Reporter) Sync() error { return nil }

// Dropped returns the number of lines that did not fit into the queue, and of
// those that were left out under load.
func (r *Reporter) Dropped() (full, sampled int64) { return r.dropped.Load(), r.sampled.Load() }

// Close writes what waits, at most for the given time.
func (r *Reporter) Close(most time.Duration) {
	close(r.stop)
	select {
	case <-r.done:
	case <-time.After(most):
	}
}

func (r *Reporter) write(w io.Writer) {
	defer close(r.done)
	told := int64(0)
	for {
		select {
		case line := <-r.lines:
			_, _ = w.Write(line)
			continue
		default:
		}
		if dropped := r.dropped.Load(); dropped > told {
			fmt.Fprintf(w, `{"level":"warn","event":"lines dropped","count":%d}`+"\n", dropped-told)
			told = dropped
		}
		select {
		case line := <-r.lines:
			_, _ = w.Write(line)
		case <-r.stop:
			return
		}
	}
}
