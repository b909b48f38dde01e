package bencher

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/assembler"
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
	// FirstShare is the share of the starts that landed on the first VM.
	FirstShare float64 `json:"first_share"`
	// UrgentP99 and UrgentMost tell the time in seconds from the submission of an
	// urgent job to its start; one that never started counts to the end.
	Urgent     int     `json:"urgent"`
	UrgentP99  float64 `json:"urgent_p99_s"`
	UrgentMost float64 `json:"urgent_most_s"`
}

const (
	// batchRows are the rows of the batch kinds. None says what it truly uses.
	batchRows = "crunch,,batch,1,16,yes,10000,,1,256\n" +
		"sweep,,batch,1,16,yes,10000,,1,256\n" +
		"index,,batch,1,16,yes,10000,,0.5,256\n" +
		"vast,,batch,1,16,yes,10000,,64,256\n"
	waveEvery      = 2500 * time.Millisecond
	waveTasks      = 16
	waveWork       = 1500
	ownerLossAfter = 7 * time.Second
	zoneGrace      = 3 * time.Second
	shiftEvery     = 3 * time.Second
	lightLoad      = 0.5
	heavyLoad      = 2
	// urgentEvery and urgentWork are the pace and the work, in ms, of urgent jobs.
	urgentEvery = 500 * time.Millisecond
	urgentWork  = 300
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
	operator := t.operator(n)
	for _, kind := range batchKinds {
		job := receiver.JobSubmission{ID: fmt.Sprintf("%s-%d", kind, n), Kind: kind, Team: "bench", Tasks: waveTasks, Work: waveWork}
		if _, err := operator.Submit(ctx, job); err == nil {
			t.submitted.Add(waveTasks)
		}
	}
}

// besides lets something happen while batch work comes in waves.
func besides(happen func(context.Context, *trial)) func(context.Context, *trial) {
	return func(ctx context.Context, t *trial) {
		var group sync.WaitGroup
		group.Go(func() { happen(ctx, t) })
		colocation(ctx, t)
		group.Wait()
	}
}

// blackHole makes the first worker fail everything that it starts.
func blackHole(_ context.Context, t *trial) { t.cluster.VMs[0].Worker.SetBroken(true) }

// impossible submits jobs that no VM is large enough for, before the others.
func impossible(ctx context.Context, t *trial) {
	for n := 0; ; n++ {
		job := receiver.JobSubmission{ID: fmt.Sprintf("vast-%d", n), Kind: "vast", Team: "bench", Tasks: waveTasks, Work: waveWork}
		_, _ = t.operator(n).Submit(ctx, job)
		if !pause(ctx, waveEvery) {
			return
		}
	}
}

// urgent submits urgent jobs of one task to a cluster that is full of batch work.
func urgent(ctx context.Context, t *trial) {
	for n := 0; pause(ctx, urgentEvery); n++ {
		job := receiver.JobSubmission{ID: fmt.Sprintf("urgent-%d", n), Kind: "sweep", Team: "bench", Tasks: 1, Work: urgentWork, Urgent: true}
		at := time.Now()
		if _, err := t.operator(n).Submit(ctx, job); err != nil {
			continue
		}
		t.mu.Lock()
		t.urgent[assembler.TaskID(job.ID, 0)] = at
		t.mu.Unlock()
	}
}

// ownerLoss ends an entry, and with it the owner of half of the jobs, at once.
func ownerLoss(ctx context.Context, t *trial) {
	if !pause(ctx, ownerLossAfter) {
		return
	}
	t.mu.Lock()
	lost := t.serving[0]
	t.serving = t.serving[1:]
	t.mu.Unlock()
	lost.Kill()
}

// zoneLeaves takes a zone out for a third of the time.
func zoneLeaves(ctx context.Context, t *trial) {
	third := t.scenario.Length / 3
	for _, out := range []bool{true, false} {
		if !pause(ctx, third) {
			return
		}
		_, _ = t.operator(0).SetZone(ctx, receiver.ZoneChange{Zone: "b", Out: out, Operator: "bench"})
		if out {
			t.outFrom = time.Now().Add(zoneGrace)
			t.outTo = time.Now().Add(third)
		}
	}
}

// urgentFigures tells how long urgent jobs waited.
func (t *trial) urgentFigures(seen assembler.Tallies, f *BatchFigures) {
	started := map[string]time.Time{}
	for _, s := range seen.Spans {
		if at, ok := started[s.Task]; !ok || s.Start.Before(at) {
			started[s.Task] = s.Start
		}
	}
	waits := newHistogram()
	for task, submitted := range t.urgent {
		at, ok := started[task]
		if !ok {
			at = time.Now()
		}
		_ = waits.RecordValue(at.Sub(submitted).Microseconds())
	}
	f.Urgent = len(t.urgent)
	f.UrgentP99 = float64(waits.ValueAtQuantile(99)) / 1e6
	f.UrgentMost = float64(waits.Max()) / 1e6
}

// batch judges the tasks by what the workers saw.
func (t *trial) batch(seen assembler.Tallies) (BatchFigures, []string) {
	f := BatchFigures{Submitted: int(t.submitted.Load()), Evictions: seen.Evictions()}
	t.urgentFigures(seen, &f)
	first := 0
	done := map[string]int{}
	spans := slices.SortedFunc(slices.Values(seen.Spans), func(a, b worker.Span) int { return a.Start.Compare(b.Start) })
	for _, s := range spans {
		if s.VM == t.cluster.VMs[0].Name {
			first++
		}
		if s.Finished {
			f.Finished++
		}
		f.WorkS += float64(max(0, s.To-max(s.From, done[s.Task]))) / 1000
		f.LostS += float64(max(0, done[s.Task]-s.From)) / 1000
		done[s.Task] = max(done[s.Task], s.To)
	}
	f.FirstShare = float64(first) / float64(max(1, len(seen.Spans)))
	var violations []string
	for what, n := range map[string]int{
		"tasks ran in two places or again": seen.Doubled(), "attempts were started twice": seen.ResumedTwice(),
		"starts were beyond a VM": seen.Overcommits, "starts were in a zone that is out": seen.StartsIn("b", t.outFrom, t.outTo),
	} {
		if n > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", n, what))
		}
	}
	return f, violations
}
