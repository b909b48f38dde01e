package minder

import (
	"context"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// fakeWorker answers RenewLease as the given life. Its other calls are not made.
type fakeWorker struct {
	plantainrail.Worker
	mu sync.Mutex
	life
}

// life is an incarnation of a fakeWorker. If err is set, every call fails. Calls with a lower
// epoch are refused without a start.
type life struct {
	id        string
	startedMS int64
	epoch     int64
	err       error
}

func (w *fakeWorker) set(l life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life = l
}

func (w *fakeWorker) RenewLease(_ context.Context, incarnation plantainrail.WorkerIncarnation, epoch int64, _ plantainrail.LeaseRenewal) (plantainrail.LeaseReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.err != nil:
		return plantainrail.LeaseReply{}, w.err
	case incarnation.ID != w.id:
		return plantainrail.LeaseReply{}, &plantainrail.RefusedError{Reason: plantainrail.RefusedIncarnation}
	case epoch < w.epoch:
		return plantainrail.LeaseReply{}, &plantainrail.RefusedError{Reason: plantainrail.RefusedEpoch}
	}
	return plantainrail.LeaseReply{StartedMS: w.startedMS}, nil
}

func heartbeatOf(id string, startedMS, sequence int64, draining bool) plantainrail.Heartbeat {
	incarnation := plantainrail.WorkerIncarnation{Node: "node", ID: id, StartedMS: startedMS}
	return plantainrail.Heartbeat{Sequence: sequence, VM: plantainrail.VM{Incarnation: incarnation, Draining: draining}}
}

// withWorker runs a test of an agent whose worker "w", which started at 1000, has sent its
// first two heartbeats.
func withWorker(t *testing.T, test func(t *testing.T, m *Minder, w *fakeWorker)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWorker{life: life{id: "w", startedMS: 1000}}
		m := New(Options{Node: "node", Worker: w, HeartbeatInterval: heartbeatInterval, Now: time.Now, Logger: zap.NewNop()})
		for sequence := range int64(2) {
			m.Heartbeat(heartbeatOf("w", 1000, sequence+1, false))
			time.Sleep(heartbeatInterval)
		}
		assert.Equal(t, knownVM(m).Incarnation.ID, "w")
		test(t, m, w)
		time.Sleep(heartbeatInterval + confirmationDelay)
	})
}

// knownVM returns what the agent knows about its worker.
func knownVM(m *Minder) plantainrail.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.vm
}

const heartbeatInterval = 1500 * time.Millisecond

// One odd heartbeat took the place of the worker, whose own heartbeats were then passed over
// as those of an earlier incarnation until the agent restarted; its work was lost.
func TestHeartbeatOfAnotherWriterDoesNotReplaceTheWorker(t *testing.T) {
	for name, odd := range map[string]plantainrail.Heartbeat{
		"start in the far future":           heartbeatOf("w", math.MaxInt64, 1, true),
		"unknown worker":                    heartbeatOf("x", 2000, 1, true),
		"unknown worker in the far future":  heartbeatOf("x", math.MaxInt64, math.MaxInt64, true),
		"earlier incarnation, same ID":      heartbeatOf("w", 900, 70, true),
		"earlier incarnation, different ID": heartbeatOf("v", 900, 70, true),
	} {
		t.Run(name, func(t *testing.T) {
			withWorker(t, func(t *testing.T, m *Minder, _ *fakeWorker) {
				m.Heartbeat(odd)
				synctest.Wait()
				assert.DeepEqual(t, knownVM(m), heartbeatOf("w", 1000, 2, false).VM)
				m.Heartbeat(heartbeatOf("w", 1000, 3, true))
				assert.DeepEqual(t, knownVM(m), heartbeatOf("w", 1000, 3, true).VM)
			})
		})
	}
}

// A worker that restarted while the time of day was set back was lost: its start seemed to be
// the earlier one, so its heartbeats and its replies were ignored.
func TestRestartedWorkerIsFollowedWhateverItsStart(t *testing.T) {
	for name, restarted := range map[string]life{
		"same ID, later":        {id: "w", startedMS: 5000},
		"same ID, earlier":      {id: "w", startedMS: 400},
		"different ID, later":   {id: "x", startedMS: 5000},
		"different ID, earlier": {id: "x", startedMS: 400},
	} {
		t.Run(name, func(t *testing.T) {
			withWorker(t, func(t *testing.T, m *Minder, w *fakeWorker) {
				w.set(restarted)
				m.Heartbeat(heartbeatOf(w.id, w.startedMS, 1, false))
				synctest.Wait()
				assert.DeepEqual(t, knownVM(m), heartbeatOf(w.id, w.startedMS, 1, false).VM)
				// A heartbeat of the incarnation before arrives late.
				m.Heartbeat(heartbeatOf("w", 1000, 3, true))
				synctest.Wait()
				assert.DeepEqual(t, knownVM(m), heartbeatOf(w.id, w.startedMS, 1, false).VM)
			})
		})
	}
	for _, startedMS := range []int64{400, 5000} {
		withWorker(t, func(t *testing.T, m *Minder, _ *fakeWorker) {
			m.applyLeaseReply(knownVM(m).Incarnation, plantainrail.LeaseReply{StartedMS: startedMS}, 1)
			assert.Equal(t, knownVM(m).Incarnation.StartedMS, startedMS)
		})
	}
}

// Guards against tasks that run twice because a heartbeat of an earlier incarnation was
// believed: an agent that has restarted knows no epoch, so the worker refuses its calls.
func TestRefusalTellsWhichIncarnationRefuses(t *testing.T) {
	none, claimed := plantainrail.WorkerIncarnation{}, heartbeatOf("w", 1000, 1, false).VM.Incarnation
	for _, c := range []struct {
		reason    plantainrail.RefusalReason
		startedMS int64
		current   plantainrail.WorkerIncarnation
		want      identity
	}{
		{plantainrail.RefusedEpoch, 1000, none, identityConfirmed},
		{plantainrail.RefusedEpoch, 1000, claimed, identityConfirmed},
		{plantainrail.RefusedEpoch, 2000, none, identityRefuted},
		{plantainrail.RefusedEpoch, 0, none, identityUnknown},
		{plantainrail.RefusedEpoch, 0, claimed, identityUnknown},
		{plantainrail.RefusedUnhealthy, 2000, none, identityRefuted},
		{plantainrail.RefusedUnhealthy, 0, none, identityUnknown},
		{plantainrail.RefusedIncarnation, 1000, none, identityRefuted},
	} {
		refusal := &plantainrail.RefusedError{Reason: c.reason, StartedMS: c.startedMS}
		assert.Equal(t, identify(c.current, claimed, plantainrail.LeaseReply{}, refusal), c.want, "%+v", c)
	}
}

// Guards against an agent that never gets to know a worker whose refusals do not tell its start,
// and against one that takes such a refusal for a confirmation.
func TestWorkerThatHidesItsStartIsAskedWithTheOwnersEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWorker{life: life{id: "w", startedMS: 2000, epoch: 7}}
		m := New(Options{Node: "node", Worker: w, HeartbeatInterval: heartbeatInterval, Now: time.Now, Logger: zap.NewNop()})
		m.Heartbeat(heartbeatOf("w", 1000, 9, false))
		m.Heartbeat(heartbeatOf("w", 2000, 1, false))
		time.Sleep(time.Second)
		assert.Assert(t, knownVM(m).Incarnation.IsZero())
		m.mu.Lock()
		m.entries.ownerEpoch = 7
		m.mu.Unlock()
		time.Sleep(workerRetryDelay)
		assert.Equal(t, knownVM(m).Incarnation.StartedMS, int64(2000))
		time.Sleep(heartbeatInterval + confirmationDelay)
	})
}

// Guards against a restart that is noticed late because the new incarnation refuses the call.
func TestRefusedCallShowsARestart(t *testing.T) {
	withWorker(t, func(t *testing.T, m *Minder, _ *fakeWorker) {
		current := knownVM(m).Incarnation
		m.renewLeaseFailed(current, 1, &plantainrail.RefusedError{Reason: plantainrail.RefusedIncarnation, StartedMS: 3000})
		assert.Equal(t, knownVM(m).Incarnation, current, "another ID needs a heartbeat")
		m.renewLeaseFailed(current, 1, &plantainrail.RefusedError{Reason: plantainrail.RefusedEpoch, StartedMS: 2000})
		assert.Equal(t, knownVM(m).Incarnation.StartedMS, int64(2000))
	})
}

// A worker that does not answer keeps its runs until its lease expires. It is asked again, so
// that a restart is not noticed later because of a lost call.
func TestWorkerIsAskedUntilItAnswers(t *testing.T) {
	withWorker(t, func(t *testing.T, m *Minder, w *fakeWorker) {
		for _, err := range []error{errors.New("silent"), &plantainrail.RefusedError{Reason: plantainrail.RefusedUnhealthy}} {
			before := w.startedMS
			w.set(life{id: "w", startedMS: before + 1000, err: err})
			m.Heartbeat(heartbeatOf("w", before+1000, 1, false))
			time.Sleep(time.Second)
			assert.Equal(t, knownVM(m).Incarnation.StartedMS, before)
			w.set(life{id: "w", startedMS: before + 1000})
			time.Sleep(workerRetryDelay)
			assert.Equal(t, knownVM(m).Incarnation.StartedMS, before+1000)
		}
	})
}

// After one heartbeat with an enormous sequence number, all genuine ones were passed over,
// and the agent no longer learned that the worker drains or what its capacity is.
func TestOrderOfHeartbeatsRecoversFromAnOddNumber(t *testing.T) {
	type sent struct {
		sequence int64
		after    time.Duration
		counts   bool
	}
	for name, heartbeats := range map[string][]sent{
		"in order, some lost":     {{2, heartbeatInterval, true}, {9, 7 * heartbeatInterval, true}},
		"late":                    {{5, heartbeatInterval, true}, {3, 0, false}, {6, heartbeatInterval, true}, {4, 0, false}, {7, heartbeatInterval, true}},
		"late ones, all at once":  {{5, heartbeatInterval, true}, {2, 0, false}, {3, 0, false}, {4, 0, false}, {6, heartbeatInterval, true}},
		"repeated":                {{2, heartbeatInterval, true}, {2, heartbeatInterval, false}, {2, heartbeatInterval, false}, {3, heartbeatInterval, true}},
		"an odd one":              {{math.MaxInt64, 1, false}, {2, heartbeatInterval, true}, {3, heartbeatInterval, true}},
		"an odd one that follows": {{900, 1, true}, {2, heartbeatInterval, false}, {3, heartbeatInterval, true}, {4, heartbeatInterval, true}},
		"negative":                {{math.MinInt64, 1, false}, {2, heartbeatInterval, true}},
	} {
		o, now := heartbeatOrder{newest: 1}, time.Now()
		for i, h := range heartbeats {
			now = now.Add(h.after)
			assert.Equal(t, o.accept(h.sequence, now), h.counts, "%s: heartbeat %d", name, i)
		}
	}
	// The first heartbeat of the incarnation may be an odd one, too.
	o, now := heartbeatOrder{newest: math.MaxInt64}, time.Now()
	assert.Assert(t, !o.accept(2, now))
	assert.Assert(t, o.accept(3, now.Add(heartbeatInterval)))
}

// See TestOrderOfHeartbeatsRecoversFromAnOddNumber.
func TestWorkerIsFollowedAfterAnOddSequenceNumber(t *testing.T) {
	withWorker(t, func(t *testing.T, m *Minder, _ *fakeWorker) {
		for i, odd := range []int64{math.MaxInt64, 900} {
			draining := i == 0
			m.Heartbeat(heartbeatOf("w", 1000, odd, !draining))
			for next := range int64(3) {
				time.Sleep(heartbeatInterval)
				m.Heartbeat(heartbeatOf("w", 1000, 3+next, draining))
			}
			assert.Equal(t, knownVM(m).Draining, draining)
		}
	})
}

// After one deregistration of another writer the first call that the worker refused, or whose
// connection broke, counted as its end: its runs were placed elsewhere while they ran on, and
// it got no work until it restarted.
func TestDeregistrationOfAnotherWriterIsContradicted(t *testing.T) {
	broken, unhealthy := errors.New("connection reset"), &plantainrail.RefusedError{Reason: plantainrail.RefusedUnhealthy}
	withWorker(t, func(t *testing.T, m *Minder, _ *fakeWorker) {
		current := knownVM(m).Incarnation
		m.Deregistered("w")
		m.renewLeaseFailed(current, 1, unhealthy)
		assert.Assert(t, knownVM(m).Draining && !m.departed, "a worker that answers has not ended")
		m.Heartbeat(heartbeatOf("w", 1000, 3, false))
		m.renewLeaseFailed(current, 1, broken)
		assert.Assert(t, !knownVM(m).Draining && !m.departed, "a worker that is ready does not leave")

		m.Deregistered("w")
		m.renewLeaseFailed(current, 1, broken)
		assert.Assert(t, m.departed)
		m.applyLeaseReply(current, plantainrail.LeaseReply{StartedMS: 1000}, 1)
		assert.Assert(t, !m.departed, "a worker that answers again has not ended")
	})
	withWorker(t, func(t *testing.T, m *Minder, _ *fakeWorker) {
		m.Deregistered("w")
		m.renewLeaseFailed(knownVM(m).Incarnation, 1, &plantainrail.RefusedError{Reason: plantainrail.RefusedIncarnation})
		assert.Assert(t, m.departed)
	})
}

// A worker that restarted and answered only after the time for its confirmation was not followed
// until its next heartbeat, where these are rare.
func TestRestartedWorkerIsAskedUntilItsNextHeartbeat(t *testing.T) {
	withWorker(t, func(t *testing.T, m *Minder, w *fakeWorker) {
		m.HeartbeatInterval = 4 * heartbeatInterval
		w.set(life{id: "x", startedMS: 5000, err: errors.New("silent")})
		m.Heartbeat(heartbeatOf("x", 5000, 1, false))
		time.Sleep(2 * heartbeatInterval)
		w.set(life{id: "x", startedMS: 5000})
		time.Sleep(workerRetryDelay)
		assert.Equal(t, knownVM(m).Incarnation.ID, "x")
	})
}

// listingWorker is a fakeWorker that lists one run until that is stopped.
type listingWorker struct {
	*fakeWorker
	mu     sync.Mutex
	listed plantainrail.RunRef
}

func (w *listingWorker) Stop(_ context.Context, _ plantainrail.WorkerIncarnation, _ int64, ref plantainrail.RunRef) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listed == ref {
		w.listed = plantainrail.RunRef{}
	}
	return nil
}

func (w *listingWorker) RenewLease(ctx context.Context, incarnation plantainrail.WorkerIncarnation, epoch int64, renewal plantainrail.LeaseRenewal) (plantainrail.LeaseReply, error) {
	time.Sleep(renewal.Wait + time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	reply, err := w.fakeWorker.RenewLease(ctx, incarnation, epoch, renewal)
	if w.listed.Run != 0 {
		reply.Running = []plantainrail.RunStatus{{Ref: w.listed}}
	}
	return reply, err
}

// Guards against a restarted worker that is never reported to the owner (LOST), because a start
// of an earlier incarnation that nobody knows any more was executed on it.
func TestUnknownRunDoesNotHoldUpARestartedWorker(t *testing.T) {
	withWorker(t, func(t *testing.T, m *Minder, w *fakeWorker) {
		ctx, stop := context.WithCancel(t.Context())
		w.set(life{id: "w", startedMS: 5000})
		m.mu.Lock()
		m.Worker = &listingWorker{fakeWorker: w, listed: refForJob("unknown")}
		m.orderedRuns[refForJob("known")] = &run{order: plantainrail.RunOrder{Ref: refForJob("known")}}
		m.mu.Unlock()
		go func() { _ = m.pollWorker(ctx) }()
		time.Sleep(2 * time.Second)
		assert.Equal(t, knownVM(m).Incarnation.StartedMS, int64(5000))
		m.mu.Lock()
		clearing := m.clearingEarlierRuns
		m.mu.Unlock()
		assert.Check(t, !clearing, "the owner must get to know the worker")
		stop()
		close(m.stopped)
	})
}
