package reporter_test

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/reporter"
)

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// The writer blocks until more lines were logged than the queue holds. Every line
// must be either written or counted as dropped.
func TestBlockedWriterDropsAndCountsLinesWithoutBlocking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lines = 10_000
		s := &blockedWriter{release: make(chan struct{})}
		logger, r := reporter.New(s, zapcore.InfoLevel)
		for i := range lines {
			// Sampling goes by the name of the event. All names differ here, so it drops few
			// lines, if any. The sum below includes those.
			logger.Info("event " + strings.Repeat("x", i%7) + time.Duration(i).String())
		}
		full, sampled := r.Dropped()
		assert.Assert(t, full > 0)
		close(s.release)
		synctest.Wait()
		s.mu.Lock()
		defer s.mu.Unlock()
		written := int64(strings.Count(s.out.String(), `"event":"event `))
		assert.Equal(t, written+full+sampled, int64(lines))
		assert.Assert(t, strings.Contains(s.out.String(), "lines dropped"))
		r.Close(time.Second)
	})
}

// An event that is logged very often within a second must not fill the log, but the
// metric must count each occurrence.
func TestRepeatedEventIsSampled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger, r := reporter.New(&out, zapcore.InfoLevel)
		for range 100_000 {
			logger.Info("storm", zap.Int("n", 1))
		}
		_, sampled := r.Dropped()
		r.Close(time.Second)
		assert.Assert(t, strings.Count(out.String(), "storm") < 2000)
		assert.Assert(t, sampled > 90_000)

		recorder := httptest.NewRecorder()
		r.ServeHTTP(recorder, nil)
		assert.Assert(t, strings.Contains(recorder.Body.String(), `plantainrail_events_total{event="storm"} 100000`))
	})
}
