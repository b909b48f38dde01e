package decider

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/planner"
)

// knowledgeStore holds the newest record of a topic, and fails every other call.
type knowledgeStore struct {
	callStore
	newest []plantainrail.KeyedRecord
	failed int
}

func (s *knowledgeStore) fail() bool {
	s.failed++
	return s.failed%2 == 1
}

func (s *knowledgeStore) Newest(context.Context, string) (plantainrail.KeyedBatch, error) {
	if s.fail() {
		return plantainrail.KeyedBatch{}, errors.New("out of reach")
	}
	return plantainrail.KeyedBatch{Records: s.newest}, nil
}

func (s *knowledgeStore) Append(_ context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	if s.fail() {
		return 0, errors.New("out of reach")
	}
	s.newest = call.Records
	return 1, nil
}

// Guards against learned interference that is lost with the owner: the next one must know it although the
// store fails at times, and must store nothing while it learns nothing new.
func TestLearnedInterferenceOutlivesTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &knowledgeStore{}
		service := plantainrail.RunRef{Task: plantainrail.TaskID{Job: "svc"}, Run: 1}
		own := func(measure bool) []byte {
			d := New(Options{Logger: zap.NewNop(), Now: time.Now, Store: store, StoreLimits: plantainrail.StoreLimits{RecordBytes: 1 << 18, CallBytes: 1 << 20}})
			o := newOwner(d, 1)
			o.planner = planner.New(planner.NewBook(), planner.Timeouts{}, d.Now())
			ctx, stop := context.WithCancel(t.Context())
			go o.shareKnowledge(ctx)
			if measure {
				o.mu.Lock()
				measureService(t, o.planner, service, d.Now())
				o.mu.Unlock()
			}
			time.Sleep(3 * knowledgeInterval)
			stop()
			synctest.Wait()
			raw, err := o.planner.Learned()
			assert.NilError(t, err)
			return raw
		}
		nothing := own(false)
		learned := own(true)
		assert.Assert(t, len(learned) > len(nothing))
		calls := store.failed
		assert.DeepEqual(t, own(false), learned)
		assert.Assert(t, store.failed <= calls+4, "%d calls", store.failed-calls)
	})
}

// measureService places a service on a VM and passes a measurement of it to the planner.
func measureService(t *testing.T, p *planner.Planner, ref plantainrail.RunRef, now time.Time) {
	vm := plantainrail.VM{
		Incarnation: plantainrail.WorkerIncarnation{Node: "n", ID: "w", StartedMS: 1}, Pool: "p", Zone: "z",
		Capacity: plantainrail.Resources{Processors: 32_000, Memory: 1000},
	}
	record, err := planner.NewJobRecord(plantainrail.Workflow{
		ID: ref.Task.Job, Queue: plantainrail.Queue{Name: "q", Pool: "p"},
		Steps: []plantainrail.Step{{Count: 1, CPU: 1000, Lasting: true, TailObjective: 50, Image: "s"}},
	})
	assert.NilError(t, err)
	p.UpdateWorker(vm, now)
	p.Renew(vm.Incarnation, now)
	assert.NilError(t, p.ApplyJob(record, now))
	assert.Equal(t, len(p.Tick(now).Assignments), 1)
	p.Observe(vm.Incarnation, map[plantainrail.RunRef]int{ref: 20}, map[string]int{"f": 4000}, now)
}
