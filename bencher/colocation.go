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

// BatchFigures holds the results of the batch tasks of one side at the end of the
// load.
type BatchFigures struct {
	// Submitted counts the accepted tasks of the waves, without those of urgent and
	// impossible jobs. Finished counts the finished attempts of all jobs.
	Submitted int `json:"submitted"`
	Finished  int `json:"finished"`
	// WorkS is the work done, in seconds of declared run time; repeated work counts
	// once.
	WorkS float64 `json:"work_s"`
	// LostWorkS is the work that attempts repeated because they did not start from
	// the newest checkpoint of their task, in the same unit.
	LostWorkS float64 `json:"lost_s"`
	// Evictions counts the attempts that ended without finishing, for any reason.
	Evictions int `json:"evictions"`
	// FirstVMShare is the fraction of all task starts that were on the first VM.
	FirstVMShare float64 `json:"first_share"`
	// Urgent counts the accepted urgent jobs.
	Urgent int `json:"urgent"`
	// UrgentP99 and UrgentMax are the 99th percentile and the maximum of the time
	// in seconds from the submission of an urgent job to its start. A job that never
	// started counts with the time until the end of the scenario.
	UrgentP99 float64 `json:"urgent_p99_s"`
	UrgentMax float64 `json:"urgent_most_s"`
}

const (
	// batchRows holds the table rows of the batch kinds. The declared resources
	// differ from the actual usage; see batchProfiles. No VM has the 64 processors
	// that a task of the kind vast needs.
	batchRows = "crunch,,batch,1,16,yes,10000,,1,256\n" +
		"sweep,,batch,1,16,yes,10000,,1,256\n" +
		"index,,batch,1,16,yes,10000,,0.5,256\n" +
		"vast,,batch,1,16,yes,10000,,64,256\n"
	// A wave is one job of each kind in batchKinds with waveTaskCount tasks, each of
	// which has a run time of waveWorkMS.
	waveInterval  = 2500 * time.Millisecond
	waveTaskCount = 16
	waveWorkMS    = 1500
	// ownerLossDelay is the time from the start of the load to the loss of an entry.
	ownerLossDelay = 7 * time.Second
	// zoneGrace is how long tasks may still start in a zone after it was taken out of
	// service.
	zoneGrace = 3 * time.Second
	// interferenceInterval is the time between changes of the interference scale,
	// which alternates between heavyInterferenceScale and lightInterferenceScale.
	interferenceInterval   = 3 * time.Second
	lightInterferenceScale = 0.5
	heavyInterferenceScale = 2
	// urgentInterval is the time between urgent jobs, whose task has a run time of
	// urgentWorkMS.
	urgentInterval = 500 * time.Millisecond
	urgentWorkMS   = 300
)

// batchKinds are the kinds of the jobs of a wave.
var batchKinds = []string{"crunch", "sweep", "index"}

// batchProfiles describes how tasks of the batch kinds actually behave: crunch
// causes strong interference, sweep uses half of the declared processors, and
// index uses more than twice as much.
func batchProfiles() map[string]worker.KindProfile {
	return map[string]worker.KindProfile{
		"crunch": {Interference: 0.8},
		"sweep":  {Usage: plantainrail.Resources{Processors: 500, Memory: 256}, Interference: 0.02},
		"index":  {Usage: plantainrail.Resources{Processors: 1200, Memory: 256}, RunTimeRatio: 1.5, Interference: 0.1},
	}
}

// colocatedBatch submits batch work in waves until the context ends, and alternates
// between heavy and light interference of batch work. In the first interval the
// interference scale is 1.
func colocatedBatch(ctx context.Context, t *scenarioRun) {
	interferenceTicker := time.NewTicker(interferenceInterval)
	defer interferenceTicker.Stop()
	waveTicker := time.NewTicker(waveInterval)
	defer waveTicker.Stop()
	heavy := false
	t.submitWave(ctx, 0)
	for n := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-interferenceTicker.C:
			heavy = !heavy
			scale := lightInterferenceScale
			if heavy {
				scale = heavyInterferenceScale
			}
			for _, v := range t.cluster.VMs {
				v.Worker.SetInterferenceScale(scale)
			}
		case <-waveTicker.C:
			t.submitWave(ctx, n)
			n++
		}
	}
}

// submitWave submits wave n. A job that cannot be submitted is left out of the count of
// submitted tasks.
func (t *scenarioRun) submitWave(ctx context.Context, n int) {
	operator := t.operatorClient(n)
	for _, kind := range batchKinds {
		job := receiver.JobSubmission{ID: fmt.Sprintf("%s-%d", kind, n), Kind: kind, Team: "bench", Tasks: waveTaskCount, Work: waveWorkMS}
		if _, err := operator.Submit(ctx, job); err == nil {
			t.submittedTasks.Add(waveTaskCount)
		}
	}
}

// withColocatedBatch returns a disturbance that runs colocatedBatch, with its waves of
// batch work and its changes of the interference, together with the given disturbance.
func withColocatedBatch(disturb func(context.Context, *scenarioRun)) func(context.Context, *scenarioRun) {
	return func(ctx context.Context, t *scenarioRun) {
		var group sync.WaitGroup
		group.Go(func() { disturb(ctx, t) })
		colocatedBatch(ctx, t)
		group.Wait()
	}
}

// blackHoleWorker makes the first worker fail every task that it starts.
func blackHoleWorker(_ context.Context, t *scenarioRun) { t.cluster.VMs[0].Worker.SetBroken(true) }

// impossibleJobs submits jobs that are too large for any VM, at the same interval
// as the waves.
func impossibleJobs(ctx context.Context, t *scenarioRun) {
	for n := 0; ; n++ {
		job := receiver.JobSubmission{ID: fmt.Sprintf("vast-%d", n), Kind: "vast", Team: "bench", Tasks: waveTaskCount, Work: waveWorkMS}
		_, _ = t.operatorClient(n).Submit(ctx, job)
		if !sleep(ctx, waveInterval) {
			return
		}
	}
}

// urgentStarts submits urgent jobs of one task each, while the waves fill the VMs
// with batch work.
func urgentStarts(ctx context.Context, t *scenarioRun) {
	for n := 0; sleep(ctx, urgentInterval); n++ {
		job := receiver.JobSubmission{ID: fmt.Sprintf("urgent-%d", n), Kind: "sweep", Team: "bench", Tasks: 1, Work: urgentWorkMS, Urgent: true}
		at := time.Now()
		if _, err := t.operatorClient(n).Submit(ctx, job); err != nil {
			continue
		}
		t.mu.Lock()
		t.urgentSubmitted[assembler.TaskID(job.ID, 0)] = at
		t.mu.Unlock()
	}
}

// ownerLoss kills one of the two entries. Each job has its own owner, which the entries
// determine by the highest random weight, so each entry owns about half of the jobs. The
// killed entry gets no requests from then on.
func ownerLoss(ctx context.Context, t *scenarioRun) {
	if !sleep(ctx, ownerLossDelay) {
		return
	}
	t.mu.Lock()
	lost := t.servingEntries[0]
	t.servingEntries = t.servingEntries[1:]
	t.mu.Unlock()
	lost.Kill()
}

// zoneLeavesAndReturns takes zone b out of service for the second third of the
// scenario's duration.
func zoneLeavesAndReturns(ctx context.Context, t *scenarioRun) {
	third := t.scenario.Duration / 3
	for _, out := range []bool{true, false} {
		if !sleep(ctx, third) {
			return
		}
		_, _ = t.operatorClient(0).SetZone(ctx, receiver.ZoneChange{Zone: "b", Out: out, Operator: "bench"})
		if out {
			t.zoneOutFrom = time.Now().Add(zoneGrace)
			t.zoneOutTo = time.Now().Add(third)
		}
	}
}

// addUrgentFigures sets the number of urgent jobs in f, and the 99th percentile and the
// maximum of the time from their submission to their start.
func (t *scenarioRun) addUrgentFigures(tallies assembler.Tallies, f *BatchFigures) {
	firstStarts := map[string]time.Time{}
	for _, s := range tallies.Spans {
		if at, ok := firstStarts[s.Task]; !ok || s.Start.Before(at) {
			firstStarts[s.Task] = s.Start
		}
	}
	waits := newHistogram()
	for task, submitted := range t.urgentSubmitted {
		at, ok := firstStarts[task]
		if !ok {
			at = time.Now()
		}
		_ = waits.RecordValue(at.Sub(submitted).Microseconds())
	}
	f.Urgent = len(t.urgentSubmitted)
	f.UrgentP99 = float64(waits.ValueAtQuantile(99)) / 1e6
	f.UrgentMax = float64(waits.Max()) / 1e6
}

// batchFigures returns the results of the batch tasks and the violations, from
// what the workers recorded.
func (t *scenarioRun) batchFigures(tallies assembler.Tallies) (BatchFigures, []string) {
	f := BatchFigures{Submitted: int(t.submittedTasks.Load()), Evictions: tallies.Evictions()}
	t.addUrgentFigures(tallies, &f)
	firstVMStarts := 0
	// progress holds, by task, the largest progress in a checkpoint of an earlier
	// attempt, in ms. An attempt that starts below it repeats work.
	progress := map[string]int{}
	spans := slices.SortedFunc(slices.Values(tallies.Spans), func(a, b worker.Span) int { return a.Start.Compare(b.Start) })
	for _, s := range spans {
		if s.VM == t.cluster.VMs[0].Name {
			firstVMStarts++
		}
		if s.Finished {
			f.Finished++
		}
		f.WorkS += float64(max(0, s.EndProgress-max(s.StartProgress, progress[s.Task]))) / 1000
		f.LostWorkS += float64(max(0, progress[s.Task]-s.StartProgress)) / 1000
		progress[s.Task] = max(progress[s.Task], s.EndProgress)
	}
	f.FirstVMShare = float64(firstVMStarts) / float64(max(1, len(tallies.Spans)))
	var violations []string
	for violation, n := range map[string]int{
		"tasks ran concurrently or again after they had finished": tallies.DuplicateTasks(), "attempts were started twice": tallies.TasksWithRestartedAttempt(),
		"starts exceeded a VM's capacity": tallies.Overcommits, "starts were in a zone that was taken out": tallies.StartsIn("b", t.zoneOutFrom, t.zoneOutTo),
	} {
		if n > 0 {
			violations = append(violations, fmt.Sprintf("%d %s", n, violation))
		}
	}
	return f, violations
}
