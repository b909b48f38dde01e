package clocker

import (
	"context"
	"time"
)

// Sleep waits for a while, or until the context ends, whose error it returns.
func Sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
