package clocker

import (
	"sync"
	"time"
)

// Ticker sends on its channel at an interval, like time.Ticker, and is for select loops that wait for
// other channels too. A function of its own sends, never the goroutine that waits. The timers of a
// synctest bubble share one context of the race detector; a select on the channel of a time.Ticker or
// time.Timer that is already due uses that context beside other threads and crashes the detector.
type Ticker struct {
	// C gets a value at each tick. Ticks are dropped while an earlier one is unread.
	C <-chan struct{}

	mu       sync.Mutex
	interval time.Duration
	timer    *time.Timer
	stopped  bool
}

// NewTicker returns a Ticker with the given interval, which must be positive. The caller stops it.
func NewTicker(interval time.Duration) *Ticker {
	c := make(chan struct{}, 1)
	t := &Ticker{C: c, interval: interval}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(interval, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.stopped {
			return
		}
		t.timer.Reset(t.interval)
		select {
		case c <- struct{}{}:
		default:
		}
	})
	return t
}

// Reset lets the next tick follow after the ticker's interval. A tick that was not read stays.
func (t *Ticker) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.timer.Reset(t.interval)
	}
}

// Stop ends the ticks. It does not close the channel.
func (t *Ticker) Stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
