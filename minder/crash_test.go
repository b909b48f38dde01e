package minder

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// Guards against a crash that counts against runs which had nothing to do with it: only the
// newest starts before the first call that the worker broke off may be its cause.
func TestCrashWatchNamesTheNewestStarts(t *testing.T) {
	early, first, second := refForJob("early"), refForJob("first"), refForJob("second")
	now := time.Unix(1_700_000_000, 0)
	after := func(d time.Duration) time.Time { return now.Add(d) }
	started := crashWatch{}.withStart(early, now).withStart(first, after(100*time.Millisecond)).withStart(second, after(110*time.Millisecond))
	for _, c := range []struct {
		name  string
		watch crashWatch
		want  []plantainrail.RunRef
	}{
		{"just after the starts", started.withBreak(after(120 * time.Millisecond)), []plantainrail.RunRef{first, second}},
		{"long after the starts", started.withBreak(after(time.Minute)), nil},
		{"the first break counts", started.withBreak(after(time.Minute)).withBreak(after(120 * time.Millisecond)), nil},
		{"the worker has answered since", started.withBreak(after(120 * time.Millisecond)).withAnswer(), nil},
	} {
		assert.DeepEqual(t, c.watch.startedLast(true, false), c.want)
		assert.DeepEqual(t, c.watch.withNewIncarnation().startedLast(false, false), c.want)
		assert.Equal(t, len(c.watch.withNewIncarnation().startedLast(false, true)), 0, c.name)
	}
}
