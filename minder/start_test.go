package minder

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// startingWorker is a fakeWorker that accepts starts and counts them.
type startingWorker struct {
	*fakeWorker
	mu     sync.Mutex
	starts int
	// latency is how long the answer to a start takes.
	latency time.Duration
}

func (w *startingWorker) Start(context.Context, plantainrail.WorkerIncarnation, int64, plantainrail.RunOrder, int64) (plantainrail.StartReply, error) {
	time.Sleep(w.latency)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	return plantainrail.StartReply{ClockMS: time.Hour.Milliseconds()}, nil
}

// Stop implements plantainrail.Worker. It confirms the stop.
func (w *startingWorker) Stop(context.Context, plantainrail.WorkerIncarnation, int64, plantainrail.RunRef) error {
	return nil
}

// count returns the number of starts.
func (w *startingWorker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// orderStarts orders runs to be started alone, and once they wait for their turn one that is not.
func orderStarts(m *Minder, alone int) (last plantainrail.RunRef) {
	order := func(o plantainrail.RunOrder) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.addOrderedRun(&run{order: o})
	}
	for i := range alone {
		order(plantainrail.RunOrder{Ref: refForJob(fmt.Sprint("alone", i)), Alone: true})
	}
	synctest.Wait()
	last = refForJob("last")
	order(plantainrail.RunOrder{Ref: last})
	return last
}

// Guards against tasks that wait (LOST) behind starts alone that cannot be sent, each of which
// held up the next ones until its time was over.
func TestStartsAloneWithoutLeaseAreGivenUpInTime(t *testing.T) {
	const limit = 3 * time.Second
	withWorker(t, func(t *testing.T, m *Minder, _ *fakeWorker) {
		last := orderStarts(m, 5)
		time.Sleep(limit)
		m.mu.Lock()
		refused := m.orderedRuns[last] == nil
		m.mu.Unlock()
		assert.Check(t, refused, "the owner must be able to place the task elsewhere")
		time.Sleep(10 * time.Second)
	})
}

// Guards against tasks that wait (LOST) behind starts alone that were given up, for instance
// those of a cancelled job.
func TestObsoleteStartsAloneHoldUpNoOthers(t *testing.T) {
	withWorker(t, func(t *testing.T, m *Minder, w *fakeWorker) {
		worker := &startingWorker{fakeWorker: w}
		m.mu.Lock()
		m.Worker = worker
		m.clock, m.leaseUntil = workerClock{reading: 1, readAt: m.Now()}, m.Now().Add(time.Minute)
		m.mu.Unlock()
		last := orderStarts(m, 30)
		m.mu.Lock()
		for ref := range m.orderedRuns {
			m.stopping[ref] = ref != last
		}
		m.mu.Unlock()
		time.Sleep(batchTime)
		synctest.Wait()
		assert.Check(t, worker.count() == 1, "the one start that is wanted must not wait")
		time.Sleep(10 * time.Second)
	})
}

// Guards against a sound worker that is paused, and tasks that wait (LOST), since starts were given up
// untried while slow answers to others held them up.
func TestStartsThatWaitForTheirTurnAreTried(t *testing.T) {
	const starts = 100
	withWorker(t, func(t *testing.T, m *Minder, w *fakeWorker) {
		worker := &startingWorker{fakeWorker: w, latency: maxTurn + 5*time.Millisecond}
		m.mu.Lock()
		m.Worker = worker
		m.clock, m.leaseUntil = workerClock{reading: 1, readAt: m.Now()}, m.Now().Add(time.Minute)
		m.HeartbeatInterval = time.Minute
		for i := range starts {
			m.addOrderedRun(&run{order: plantainrail.RunOrder{Ref: refForJob(fmt.Sprint(i))}})
		}
		m.mu.Unlock()
		time.Sleep(starts*maxTurn + time.Second)
		assert.Equal(t, worker.count(), starts)
	})
}
