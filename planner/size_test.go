package planner

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// randomWorkflow returns a job of up to about 3,000 tasks.
func randomWorkflow(r *rand.Rand) plantainrail.Workflow {
	w := plantainrail.Workflow{
		ID: "5c0e7a21d94b36f8", Queue: plantainrail.Queue{MaxAttempts: r.IntN(300)}, Repetitions: max(r.IntN(60)-40, 0),
	}
	for range 1 + r.IntN(30) {
		w.Steps = append(w.Steps, plantainrail.Step{Count: 1 + r.IntN(1+r.IntN(400)), Checkpoints: r.IntN(2) == 0, Gang: r.IntN(4) == 0})
	}
	return w
}

// fill sets the state of the job's tasks: the largest one, or a random one.
func fill(j *Job, r *rand.Rand, largest bool) {
	j.State, j.Started, j.crashed = Completed, true, true
	placed := 0
	for k := range j.Occurrences() {
		if !largest && r.IntN(4) == 0 {
			j.occurrences[k] = occurrence{}
			continue
		}
		j.openOccurrence(k)
	}
	j.eachTask(func(id plantainrail.TaskID, t *Task) {
		name := fmt.Sprintf("%032d", placed%maxPlacedWorkers)
		*t = Task{
			Phase: Placed, Run: maxRun, Failures: j.maxFailedRuns(), Crashes: maxCountedCrashes,
			Incarnation: plantainrail.WorkerIncarnation{Node: name, ID: name, StartedMS: math.MaxInt64},
		}
		placed++
		if j.Steps[id.Step].Checkpoints {
			t.Checkpoint = strings.Repeat("f", checkpointBytes)
		}
		if !largest {
			t.Phase, t.Run, t.Failures, t.Crashes = Phase(r.IntN(3)), r.Int64N(1<<r.IntN(33)), r.IntN(j.maxFailedRuns()+1), r.IntN(4)
			t.Incarnation.Node, t.Incarnation.StartedMS = strings.TrimLeft(name, "0"), int64(placed%maxPlacedWorkers)<<20
		}
	})
}

// Guards against an accepted job whose progress the store does not take (LOST for all), and
// against jobs that are refused although they would fit by far.
func TestProgressKeepsWithinItsBound(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 0))
		w := randomWorkflow(r)
		for _, largest := range []bool{true, false} {
			j := newJob(w, 1)
			fill(j, r, largest)
			raw, err := j.Progress()
			assert.NilError(t, err)
			size, bound := plantainrail.KeyedRecord{Key: w.ID, Value: raw}.Size(), MaxProgressBytes(w)
			assert.Assert(t, size <= bound, "seed %d: %d bytes, bound %d", seed, size, bound)
			assert.Assert(t, !largest || size > bound*4/5, "seed %d: %d bytes, bound %d", seed, size, bound)
		}
	}
	huge := plantainrail.Workflow{Steps: []plantainrail.Step{{Count: maxRun}}, Repetitions: math.MaxInt}
	assert.Equal(t, MaxProgressBytes(huge), math.MaxInt)
}
