package clocker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/clocker"
)

func TestSleep(t *testing.T) {
	for _, c := range []struct {
		name            string
		pause, deadline time.Duration
		want            error
	}{
		{"full duration", time.Second, time.Minute, nil},
		{"context ends first", time.Minute, time.Second, context.DeadlineExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
				defer cancel()
				started := time.Now()
				assert.Equal(t, clocker.Sleep(ctx, c.pause), c.want)
				// In both cases the shorter of the two times is a second.
				assert.Equal(t, time.Since(started), time.Second)
			})
		})
	}
}
