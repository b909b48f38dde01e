package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/standin/runner"
)

var (
	cancelSeed  = flag.Uint64("cancel.seed", 1, "first seed of TestNothingStartsAfterACancellation")
	cancelSeeds = flag.Uint64("cancel.seeds", 12, "number of seeds of TestNothingStartsAfterACancellation")
)

// submissionBody is a job of one task that takes two seconds.
var submissionBody = []byte(`{"spec":"2000","steps":[{"count":1,"cpu":1000}]}`)

// send makes one call for job n through an entry within the time, and returns the status, or 0 without an answer.
func (f *fleet) send(entry int, method string, n int, body []byte, limit time.Duration) int {
	ctx, cancel := context.WithTimeout(f.ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.entries[entry].clientAddress+"/q/"+jobID(n), bytes.NewReader(body))
	assert.NilError(f.t, err)
	req.Host = fleetHost
	client := f.client("client")
	defer client.CloseIdleConnections()
	response, err := client.Do(req)
	if err != nil {
		return 0
	}
	assert.Check(f.t, response.Body.Close())
	return response.StatusCode
}

// cancel cancels job n through the entries in turn, and returns when that was acknowledged, or zero.
func (f *fleet) cancel(entry, n int) time.Time {
	for try := range 10 {
		switch f.send((entry+try)%len(f.entries), http.MethodDelete, n, nil, 3*time.Second) {
		case http.StatusOK, http.StatusGone:
			return time.Now()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}
}

// cancelFaults are the faults of TestNothingStartsAfterACancellation, which hit the entry that has the submission.
var cancelFaults = []func(f *fleet, r *rand.Rand, entry int){
	func(*fleet, *rand.Rand, int) {},
	func(f *fleet, r *rand.Rand, entry int) { f.killEntry(entry, milliseconds(r, 0, 1000)) },
	func(f *fleet, r *rand.Rand, entry int) {
		f.cutFromStore(f.entries[entry:entry+1], milliseconds(r, 300, 2500))
	},
	func(f *fleet, r *rand.Rand, entry int) {
		f.entries[entry].store.freeze(milliseconds(r, 300, 2500))
	},
	func(f *fleet, r *rand.Rand, _ int) { f.killEntry(f.owner(), milliseconds(r, 0, 1000)) },
	func(f *fleet, r *rand.Rand, _ int) {
		for _, i := range f.replicas() {
			f.killEntry(i, milliseconds(r, 0, 300))
		}
	},
}

// Guards against a job that runs after its cancellation was acknowledged (UNASKED), since its submission was under way
// then: the store carries it out late, another entry still writes it, or the client's own repetition comes after it.
func TestNothingStartsAfterACancellation(t *testing.T) {
	// lateShare is the share of appends to the jobs that are carried out late, and minLate to maxLate how late, in
	// milliseconds.
	const jobs, lateShare, minLate, maxLate = 8, 0.4, 1000, 6000
	for seed := *cancelSeed; seed < *cancelSeed+*cancelSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 4))
			shape := fleetShapes[r.IntN(len(fleetShapes))]
			runInFleet(t, shape, func(f *fleet) {
				f.setLateness(r.Uint64(), lateShare, minLate, maxLate)
				acknowledged := make([]time.Time, jobs)
				var clients sync.WaitGroup
				for n := range jobs {
					r := rand.New(rand.NewPCG(seed, uint64(100+n)))
					clients.Go(func() { acknowledged[n] = f.leaveAndCancel(r, n) })
				}
				entry := r.IntN(len(f.entries))
				time.Sleep(milliseconds(r, 0, 2000))
				cancelFaults[r.IntN(len(cancelFaults))](f, r, entry)
				clients.Wait()
				f.store.SetLateness(nil)
				time.Sleep(maxLate*time.Millisecond + 5*time.Second)
				if r.IntN(2) == 0 {
					f.killEntry(f.owner(), 10*time.Millisecond)
					time.Sleep(6 * time.Second)
				}
				f.checkCancelled(acknowledged)
				f.checkRuns()
			})
		})
	}
}

// setLateness makes the store carry out a share of the appends to the jobs late, by minLate to maxLate milliseconds.
func (f *fleet) setLateness(seed uint64, share float64, minLate, maxLate int) {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 5))
	f.store.SetLateness(func(topic string) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if topic != "keyed.jobs" || r.Float64() >= share {
			return 0
		}
		return milliseconds(r, minLate, maxLate)
	})
}

// leaveAndCancel submits job n, mostly leaves before the answer, cancels the job and, now and then, repeats the submission
// after that. It returns when the cancellation was acknowledged, or zero.
func (f *fleet) leaveAndCancel(r *rand.Rand, n int) time.Time {
	time.Sleep(milliseconds(r, 0, 1500))
	f.send(r.IntN(len(f.entries)), http.MethodPost, n, submissionBody, milliseconds(r, 1, 1500))
	if r.IntN(2) == 0 {
		f.send(r.IntN(len(f.entries)), http.MethodPost, n, submissionBody, milliseconds(r, 1, 1500))
	}
	time.Sleep(milliseconds(r, 0, 1000))
	at := f.cancel(r.IntN(len(f.entries)), n)
	if r.IntN(3) == 0 {
		time.Sleep(milliseconds(r, 0, 2000))
		f.send(r.IntN(len(f.entries)), http.MethodPost, n, submissionBody, milliseconds(r, 1, 3000))
	}
	return at
}

// checkCancelled fails the test if a task of a job has started, or still runs, later than cancelBound after its
// cancellation was acknowledged at the given time.
func (f *fleet) checkCancelled(acknowledged []time.Time) {
	f.t.Helper()
	var ids []string
	for n := range acknowledged {
		ids = append(ids, jobID(n))
	}
	for _, v := range f.vms {
		for _, s := range v.worker.History() {
			n := slices.IndexFunc(ids, func(id string) bool { return id == runner.JobID(s.Task) })
			if n < 0 || acknowledged[n].IsZero() {
				continue
			}
			late := s.Start.Sub(acknowledged[n])
			assert.Check(f.t, late <= cancelBound, "run %d of job %d has begun %s after the cancellation was acknowledged", s.Run, n, late)
		}
	}
}

// Guards against cancellations of unknown jobs that are kept for good, or deleted while their submissions may be under
// way.
func TestCancellationsOfUnknownJobsLeaveTheStore(t *testing.T) {
	const kept, deleted = 3 * time.Minute, 3*time.Minute + 15*time.Second
	cancellations := func(f *fleet) int {
		return len(slices.DeleteFunc(f.store.Keys("keyed.jobs"), func(key string) bool { return !strings.HasPrefix(key, "c/") }))
	}
	for _, ownerKilled := range []bool{false, true} {
		t.Run(fmt.Sprint("owner killed ", ownerKilled), func(t *testing.T) {
			runInFleet(t, widerFleet, func(f *fleet) {
				began := time.Now()
				for n := range 20 {
					assert.Equal(f.t, f.send(n%len(f.entries), http.MethodDelete, n, nil, 3*time.Second), http.StatusGone)
				}
				assert.Equal(f.t, cancellations(f), 20)
				time.Sleep(kept - time.Second - time.Since(began))
				assert.Equal(f.t, cancellations(f), 20)
				body, err := json.Marshal(map[string]any{"spec": "500", "steps": jobSteps})
				assert.NilError(t, err)
				assert.Equal(f.t, f.send(0, http.MethodPost, 7, body, 3*time.Second), http.StatusOK)
				f.waitForState(7, "cancelled", 3*time.Second)
				if ownerKilled {
					f.killEntry(f.owner(), time.Second)
				}
				// A new owner that had to read the cancellations counts from then.
				time.Sleep(deleted)
				assert.Equal(f.t, cancellations(f), 1, "that of the job that is known stays with it")
				assert.Equal(f.t, f.runs(), 0)
			})
		})
	}
}
