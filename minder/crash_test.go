package minder

import (
	"io"
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
	started := crashWatch{}
	for i, at := range []time.Time{now, after(100 * time.Millisecond), after(110 * time.Millisecond)} {
		started = started.withStart(startRecord{ref: []plantainrail.RunRef{early, first, second}[i], sentAt: at, at: at})
	}
	alone := crashWatch{}.withStart(startRecord{ref: early, alone: true, sentAt: now, at: now}).
		withStart(startRecord{ref: second, alone: true, sentAt: after(110 * time.Millisecond), at: after(110 * time.Millisecond)})
	for _, c := range []struct {
		name  string
		watch crashWatch
		want  []plantainrail.RunRef
	}{
		{"just after the starts", started.withBreak(nil, after(120*time.Millisecond)), []plantainrail.RunRef{first, second}},
		{"a start alone before", alone.withBreak(nil, after(120*time.Millisecond)), []plantainrail.RunRef{early, second}},
		{"long after the starts", started.withBreak(nil, after(time.Minute)), nil},
		{"the first break counts", started.withBreak(nil, after(time.Minute)).withBreak(nil, after(120*time.Millisecond)), nil},
		{"the worker has answered since", started.withBreak(nil, after(120*time.Millisecond)).withAnswer(), nil},
	} {
		got, _ := c.watch.last(true, false)
		assert.DeepEqual(t, got, c.want)
		got, _ = c.watch.withNewIncarnation().last(false, false)
		assert.DeepEqual(t, got, c.want)
		got, _ = c.watch.withNewIncarnation().last(false, true)
		assert.Equal(t, len(got), 0, c.name)
	}
}

// Guards against a crash that counts against the runs which began before its cause (BUDGET), since
// the answer to the cause's start was lost, or processed after the crash was noticed.
func TestCrashNamesTheStartUnderWay(t *testing.T) {
	for name, startError := range map[string]error{"answered": nil, "broken off": io.ErrUnexpectedEOF} {
		t.Run(name, func(t *testing.T) {
			withWorker(t, func(t *testing.T, m *Minder, _ *fakeWorker) {
				current := knownVM(m).Incarnation
				m.noteStart(current, refForJob("sound"), m.Now(), nil)
				time.Sleep(2 * batchTime)
				sentAt := m.Now()
				time.Sleep(time.Millisecond)
				m.renewLeaseFailed(current, 1, io.ErrUnexpectedEOF)
				m.noteStart(current, refForJob("cause"), sentAt, startError)
				time.Sleep(time.Millisecond)
				// The worker has crashed before this one is sent.
				m.noteStart(current, refForJob("later"), m.Now(), io.ErrUnexpectedEOF)
				m.renewLeaseFailed(current, 2, io.ErrUnexpectedEOF)
				suspects, _ := m.crashes.last(true, true)
				assert.DeepEqual(t, suspects, []plantainrail.RunRef{refForJob("cause")})
			})
		})
	}
}
