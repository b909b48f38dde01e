package bencher

import (
	"context"
	"fmt"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/assembler"
	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/standin/worker"
)

// BatchFigures are what became of the batch tasks of one side while the load
// lasted.
type BatchFigures struct {
	Submitted int `json:"submitted"`
	Finished  int `json:"finished"`
	// WorkS is the work that was done, in seconds of declared run time.
	WorkS float64 `json:"work_s"`
	// LostS is the part of it that evictions threw away.
	LostS     float64 `json:"lost_s"`
	Evictions int     `json:"evictions"`
}

const (
	// batchRows are the rows of the batch kinds. None says what it truly uses.
	batchRows = "crunch,,batch,1,16,yes,10000,,1,256\n" +
		"sweep,,batch,1,16,yes,10000,,1,256\n" +
		"index,,batch,1,16,yes,10000,,0.5,256\n"
	waveEvery  = 2500 * time.Millisecond
	waveTasks  = 16
	waveWork   = 1500
	shiftEvery = 3 * time.Second
	lightLoad  = 0.5
	heavyLoad  = 2
)

var batchKinds = []string{"crunch", "sweep", "index"}

// natures are what the batch kinds are truly like: one slows its neighbours, one
// uses half of what it declares, one more than twice as much.
func natures() map[string]worker.Nature {
	return map[string]worker.Nature{
		"crunch": {Disturbance: 0.8},
		"sweep":  {Usage: plantainrail.Resources{Processors: 500, Memory: 256}, Disturbance: 0.02},
		"index":  {Usage: plantainrail.Resources{Processors: 1200, Memory: 256}, Stretch: 1.5, Disturbance: 0.1},
	}
}

// colocation sends batch work in waves and shifts how strongly it disturbs.
func colocation(ctx context.Context, t *trial) {
	shift := time.NewTicker(shiftEvery)
	defer shift.Stop()
	wave := time.NewTicker(waveEvery)
	defer wave.Stop()
	heavy := false
	t.submitWave(ctx, 0)
	for n := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-shift.C:
			heavy = !heavy
			load := lightLoad
			if heavy {
				load = heavyLoad
			}
			for _, v := range t.cluster.VMs {
				v.Worker.SetLoad(load)
			}
		case <-wave.C:
			t.submitWave(ctx, n)
			n++
		}
	}
}

func (t *trial) submitWave(ctx context.Context, n int) {
	operator := caller.New(t.entry(n).Address, "", nil)
	for _, kind := range batchKinds {
		job := receiver.JobSubmission{ID: fmt.Sprintf("%s-%d", kind, n), Kind: kind, Team: "bench", Tasks: waveTasks, Work: waveWork}
		if _, err := operator.Submit(ctx, job); err == nil {
			t.submitted.Add(waveTasks)
		}
	}
}

// batch judges the tasks by what the workers saw.
func (t *trial) batch(seen assembler.Tallies) (BatchFigures, []string) {
	f := BatchFigures{Submitted: int(t.submitted.Load()), Evictions: seen.Evictions()}
	done := map[string]int{}
	for _, s := range seen.Spans {
		if s.Finished {
			f.Finished++
		}
		f.WorkS += float64(max(0, s.To-max(s.From, done[s.Task]))) / 1000
		f.LostS += float64(max(0, done[s.Task]-s.From)) / 1000
		done[s.Task] = max(done[s.Task], s.To)
	}
	var violations []string
	for what, n := range map[string]int{
		"tasks ran in two places or again": seen.Doubled(), "attempts were started twice": seen.ResumedTwice(),
		"starts were beyond a VM": seen.Overcommits,
	} {
		if n > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", n, what))
		}
	}
	return f, violations
}
