package placer

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/plantainrail/plantainrail"
)

// init fixes the seed of the random cases, so that runs repeat; -rapid.seed overrides
// it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func vm(name, zone string, processors int) *Worker {
	size := plantainrail.Resources{Processors: processors, Memory: 1000}
	return &Worker{Name: name, Zone: zone, Capacity: size, Free: size, ByKind: map[string]int{}}
}

func task(id string, processors int) Task {
	return Task{ID: id, Kind: plantainrail.Kind{Name: "rebuild", QuietTasks: -1}, Resources: plantainrail.Resources{Processors: processors, Memory: 1}}
}

func conditionsAt(now time.Time) Conditions {
	return Conditions{Now: now, AssignedCounts: map[string]map[string]int{}}
}

// TestQuietNoiseCapCountsEveryKindInZone checks that the noise cap of kind loud, 4 from
// 08:00 to 13:00, also counts the noise of kind soft and does not hold back a kind
// without noise: a loud task (3) and a soft one (1) reach the cap at noon. After 13:00
// it no longer applies.
func TestQuietNoiseCapCountsEveryKindInZone(t *testing.T) {
	loud, soft, silent := task("loud", 1), task("soft", 1), task("silent", 1)
	loud.Kind = plantainrail.Kind{Name: "loud", Noise: 3, QuietNoise: 4, QuietPower: -1, QuietTasks: -1, QuietFrom: 8 * 60, QuietTo: 13 * 60}
	soft.Kind = plantainrail.Kind{Name: "soft", Noise: 1, QuietNoise: -1, QuietPower: -1, QuietTasks: -1}
	silent.Kind = plantainrail.Kind{Name: "silent", QuietNoise: -1, QuietPower: -1, QuietTasks: -1}
	conditions := conditionsAt(noon)
	conditions.Table = plantainrail.Table{Kinds: []plantainrail.Kind{loud.Kind, soft.Kind, silent.Kind}}
	var got []string
	for _, p := range Place(conditions, []Task{loud, loud, soft, soft, silent}, []*Worker{vm("a", "z", 100)}) {
		got = append(got, p.Worker+p.Reason)
	}
	const capReached = "the quiet-hour cap is reached"
	assert.DeepEqual(t, got, []string{"a", capReached, "a", capReached, "a"})
	conditions.Now = noon.Add(2 * time.Hour)
	assert.Equal(t, Place(conditions, []Task{loud}, []*Worker{vm("a", "z", 100)})[0].Worker, "a")
}

func TestQuietTaskCapIsPerZone(t *testing.T) {
	quiet := task("t", 1)
	quiet.Kind.QuietFrom, quiet.Kind.QuietTo, quiet.Kind.QuietTasks = 8*60, 13*60, 2
	workers := []*Worker{vm("a", "z", 100), vm("b", "z", 100)}
	placed := 0
	for _, p := range Place(conditionsAt(noon), []Task{quiet, quiet, quiet, quiet}, workers) {
		if p.Worker == "" {
			assert.Equal(t, p.Reason, "the quiet-hour cap is reached")
			continue
		}
		placed++
	}
	assert.Equal(t, placed, 2)
	for _, p := range Place(conditionsAt(noon.Add(2*time.Hour)), []Task{quiet}, workers) {
		assert.Assert(t, p.Worker != "", "the cap still applies after the quiet hours")
	}
}

// TestQuarantine checks that a worker on which far more tasks fail than elsewhere gets no
// task, although it has the most free resources.
func TestQuarantine(t *testing.T) {
	workers := []*Worker{vm("bad", "z", 100), vm("a", "z", 10), vm("b", "z", 10), vm("c", "z", 10)}
	workers[0].Failures = 9
	workers[1].Failures = 1
	assert.Assert(t, Place(conditionsAt(noon), []Task{task("t", 1)}, workers)[0].Worker != "bad")
	for _, w := range workers {
		w.Failures = 9
	}
	assert.Equal(t, len(quarantined(workers)), 0, "failures that all workers share put a worker in quarantine")
}

// TestRandomPlacementsFitWorkers checks on random tasks that the tasks placed on a worker
// never need more processors than it has.
func TestRandomPlacementsFitWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := []*Worker{vm("a", "x", 10), vm("b", "x", 7), vm("c", "y", 3)}
		var tasks []Task
		sizes := map[string]int{}
		for i := range rapid.IntRange(0, 20).Draw(t, "tasks") {
			id := string(rune('a' + i))
			sizes[id] = rapid.IntRange(1, 12).Draw(t, "size")
			next := task(id, sizes[id])
			next.Urgent = rapid.Bool().Draw(t, "urgent")
			tasks = append(tasks, next)
		}
		used := map[string]int{}
		for _, p := range Place(conditionsAt(noon), tasks, workers) {
			used[p.Worker] += sizes[p.Task]
		}
		for _, w := range workers {
			if used[w.Name] > w.Capacity.Processors {
				t.Fatalf("worker %s got tasks for %d processors and has %d", w.Name, used[w.Name], w.Capacity.Processors)
			}
		}
	})
}
