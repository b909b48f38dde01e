package clocker_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/clocker"
)

func TestTicker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		ticker := clocker.NewTicker(time.Second)
		defer ticker.Stop()
		<-ticker.C
		assert.Equal(t, time.Since(started), time.Second)
		time.Sleep(500 * time.Millisecond)
		ticker.Reset()
		<-ticker.C
		assert.Equal(t, time.Since(started), 2500*time.Millisecond, "Reset must put the next tick off")
		time.Sleep(10 * time.Second)
		<-ticker.C
		select {
		case <-ticker.C:
			t.Fatal("ticks must be dropped while an earlier one is unread")
		default:
		}
		ticker.Stop()
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(ticker.C), 0, "a stopped ticker must not tick")
	})
}

// Guards against a crash of the race detector: many goroutines of a bubble wait for ticks that are due
// at the same time, and find them due when they come back from other work.
func TestTickersOfOneBubbleUnderTheRaceDetector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := make(chan struct{})
		var waiting sync.WaitGroup
		for range 50 {
			waiting.Go(func() {
				ticker := clocker.NewTicker(time.Millisecond)
				defer ticker.Stop()
				for {
					select {
					case <-ticker.C:
						_ = clocker.Sleep(t.Context(), 0)
						time.Sleep(time.Millisecond)
					case <-stop:
						return
					}
				}
			})
		}
		time.Sleep(time.Second)
		close(stop)
		waiting.Wait()
	})
}
