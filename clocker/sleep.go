package clocker

import (
	"context"
	"time"
)

// Sleep waits for the duration. If the context ends first, it returns the context's
// error.
func Sleep(ctx context.Context, pause time.Duration) error {
	if pause <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
