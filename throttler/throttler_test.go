package throttler

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

func tasksOf(kinds ...string) []Task {
	var tasks []Task
	for i, kind := range kinds {
		tasks = append(tasks, Task{AttemptRef: plantainrail.AttemptRef{Task: kind, Attempt: int64(i)}, Kind: kind, Weight: 1})
	}
	return tasks
}

func TestInterferenceHalvesSharesAndCalmRestoresThem(t *testing.T) {
	slow, calm := Window{Ended: 100, Slow: 10, Slowdown: 2}, Window{Ended: 100, Slowdown: 0.2}
	cases := []struct {
		name    string
		windows []Window
		want    int
	}{
		{"nothing measured", []Window{{}}, Whole},
		{"calm", []Window{calm, calm, calm}, Whole},
		{"few slow requests", []Window{{Ended: 100, Slow: 3, Slowdown: 0.3}}, Whole},
		{"slow once", []Window{slow}, 500},
		{"slow twice", []Window{slow, slow}, 250},
		{"slow until the minimum share", []Window{slow, slow, slow, slow, slow, slow, slow}, minShare},
		{"one calm step is too few", []Window{slow, calm}, 500},
		{"two calm steps", []Window{slow, calm, calm}, 550},
		{"interference resets the count of calm steps", []Window{slow, calm, slow, calm}, 250},
		{"no requests at all", []Window{slow, {}, {}, {}}, 600},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			throttler, tasks := New(), tasksOf("rebuild")
			for _, w := range c.windows {
				throttler.Step(w, tasks)
			}
			assert.Equal(t, throttler.Share(tasks[0].AttemptRef), c.want)
		})
	}
}

// TestOnlyInterferingKindIsThrottled fits the model to changing combinations of two kinds,
// of which only one slows the requests, and checks that only that kind is throttled.
func TestOnlyInterferingKindIsThrottled(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	throttler := New()
	for range 400 {
		var kinds []string
		slowdown := 0.2
		if random.IntN(2) == 0 {
			kinds = append(kinds, "loud")
			slowdown += 0.4
		}
		if random.IntN(2) == 0 {
			kinds = append(kinds, "soft")
		}
		throttler.Step(Window{Ended: 10, Slowdown: slowdown}, tasksOf(kinds...))
	}
	assert.Assert(t, throttler.Blame("loud") > 0.3, "%v", throttler.Blame("loud"))
	assert.Assert(t, throttler.Blame("soft") < 0.1, "%v", throttler.Blame("soft"))
	tasks := tasksOf("loud", "soft")
	changed := throttler.Step(Window{Ended: 10, Slow: 5, Slowdown: 0.6}, tasks)
	assert.DeepEqual(t, changed, map[plantainrail.AttemptRef]int{tasks[0].AttemptRef: 500})
}
