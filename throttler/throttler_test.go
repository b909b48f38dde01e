package throttler

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// tasksOf returns one task of each given kind.
func tasksOf(kinds ...string) []Task {
	var tasks []Task
	for i, kind := range kinds {
		tasks = append(tasks, Task{AttemptRef: plantainrail.AttemptRef{Task: kind, Attempt: int64(i)}, Kind: kind, Weight: 1})
	}
	return tasks
}

// TestInterferenceHalvesSharesAndCalmRestoresThem checks the share of one task after a
// series of steps, in thousandths. A step in which 10 of 100 requests are slow counts as
// interference; one in which 3 are slow does not (maxSlowShare).
func TestInterferenceHalvesSharesAndCalmRestoresThem(t *testing.T) {
	slow, calm := Measurements{Ended: 100, Slow: 10, Slowdown: 2}, Measurements{Ended: 100, Slowdown: 0.2}
	cases := []struct {
		name  string
		steps []Measurements
		want  int
	}{
		{"nothing measured", []Measurements{{}}, FullShare},
		{"calm", []Measurements{calm, calm, calm}, FullShare},
		{"few slow requests", []Measurements{{Ended: 100, Slow: 3, Slowdown: 0.3}}, FullShare},
		{"slow once", []Measurements{slow}, 500},
		{"slow twice", []Measurements{slow, slow}, 250},
		{"slow until the minimum share", []Measurements{slow, slow, slow, slow, slow, slow, slow}, minShare},
		{"one calm step is too few", []Measurements{slow, calm}, 500},
		{"two calm steps", []Measurements{slow, calm, calm}, 550},
		{"interference resets the count of calm steps", []Measurements{slow, calm, slow, calm}, 250},
		{"no requests at all", []Measurements{slow, {}, {}, {}}, 600},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			throttler, tasks := New(), tasksOf("rebuild")
			for _, w := range c.steps {
				throttler.Update(w, tasks)
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
		throttler.Update(Measurements{Ended: 10, Slowdown: slowdown}, tasksOf(kinds...))
	}
	assert.Assert(t, throttler.SlowdownPerTask("loud") > 0.3, "%v", throttler.SlowdownPerTask("loud"))
	assert.Assert(t, throttler.SlowdownPerTask("soft") < 0.1, "%v", throttler.SlowdownPerTask("soft"))
	tasks := tasksOf("loud", "soft")
	changed := throttler.Update(Measurements{Ended: 10, Slow: 5, Slowdown: 0.6}, tasks)
	assert.DeepEqual(t, changed, map[plantainrail.AttemptRef]int{tasks[0].AttemptRef: 500})
}
