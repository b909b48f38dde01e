package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/assembler"
	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/soaker"
	"github.com/plantainrail/plantainrail/standin/responder"
	"github.com/plantainrail/plantainrail/standin/worker"
)

// getJSON returns the JSON body of a response.
func getJSON[T any](t *testing.T, url string) T {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer response.Body.Close()
	var out T
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&out))
	return out
}

// standinTallies collects what the stand-ins counted.
func (p *testCluster) standinTallies(t *testing.T) assembler.Tallies {
	t.Helper()
	all := assembler.NewTallies()
	for _, address := range p.workers {
		all.AddWorker(getJSON[worker.Tally](t, "http://"+address+"/tally"))
	}
	for _, address := range p.targets {
		all.AddTarget(getJSON[responder.Tally](t, "http://"+address+"/-/tally"))
	}
	all.AddLog(getJSON[[]plantainrail.Record](t, "http://"+p.log+"/records"))
	return all
}

// echoCount returns how many times the targets ran the request with the echo.
func (p *testCluster) echoCount(t *testing.T, echo string) int {
	t.Helper()
	n := 0
	for _, address := range p.targets {
		n += getJSON[responder.Tally](t, "http://"+address+"/-/tally").Echoes[echo]
	}
	return n
}

// waitUntilStarted waits until a target has started the request with the echo, and
// returns the index of the target.
func (p *testCluster) waitUntilStarted(t *testing.T, echo string) int {
	t.Helper()
	found := -1
	eventually(t, "request started", func() bool {
		for i, address := range p.targets {
			if getJSON[responder.Tally](t, "http://"+address+"/-/tally").Echoes[echo] > 0 {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// TestIdempotencyKeyRunsOnceAfterKilledEntry kills an entry while a target runs a
// request, and repeats the request with its idempotency key at another entry. That
// must return the response of the first run and not run the request again.
func TestIdempotencyKeyRunsOnceAfterKilledEntry(t *testing.T) {
	t.Parallel()
	p := newTestCluster(t, 2, 2, nil)
	first := make(chan callResult, 1)
	go func() { first <- post(p.entries[0], "/match?echo=once&ms=1500", "booking-7") }()
	p.waitUntilStarted(t, "once")
	assert.NilError(t, p.entryCommands[0].Process.Signal(syscall.SIGKILL))
	assert.Assert(t, (<-first).err != nil)
	again := post(p.entries[1], "/match?echo=once&ms=1500", "booking-7")
	assert.NilError(t, again.err)
	assert.Equal(t, again.status, http.StatusOK, "%+v", again)
	assert.Equal(t, p.echoCount(t, "once"), 1)
}

// TestKilledAgentCausesNoDuplicateRun kills and restarts an agent while its target
// runs a request. The new process does not know the outcome, so it is uncertain, and
// repeating the request with its idempotency key must not run it again.
func TestKilledAgentCausesNoDuplicateRun(t *testing.T) {
	t.Parallel()
	p := newTestCluster(t, 2, 2, nil)
	first := make(chan callResult, 1)
	go func() { first <- post(p.entries[0], "/match?echo=once&ms=1500", "booking-8") }()
	killed := p.waitUntilStarted(t, "once")
	assert.NilError(t, p.agentCommands[killed].Process.Signal(syscall.SIGKILL))
	_ = p.agentCommands[killed].Wait()
	p.agentCommands[killed] = start(t, "agent", "--settings", p.agentSettings[killed])
	got := <-first
	assert.Assert(t, got.outcome == "uncertain", "%+v", got)
	again := post(p.entries[1], "/match?echo=once&ms=1500", "booking-8")
	assert.Assert(t, again.outcome == "uncertain", "%+v", again)
	assert.Equal(t, p.echoCount(t, "once"), 1)
}

// TestResponseSurvivesClosedAndStalledConnections closes or stalls the connection
// between an entry and the agents while a target runs a request. The agents reconnect,
// and the caller must get the response of the one run of the request.
func TestResponseSurvivesClosedAndStalledConnections(t *testing.T) {
	for name, fault := range map[string]func(*soaker.Link) int{
		"cut":    (*soaker.Link).Disconnect,
		"silent": func(k *soaker.Link) int { return k.Silence(true, true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var links []*soaker.Link
			p := newTestCluster(t, 1, 2, func(address string) string {
				k, err := soaker.NewLink("127.0.0.1:0", address)
				assert.NilError(t, err)
				t.Cleanup(k.Close)
				links = append(links, k)
				return k.Address()
			})
			got := make(chan callResult, 1)
			go func() { got <- post(p.entries[0], "/match?echo=kept&ms=1000", "") }()
			p.waitUntilStarted(t, "kept")
			assert.Check(t, fault(links[0]) > 0, "no connection is open")
			a := <-got
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, http.StatusOK, "%+v", a)
			assert.Equal(t, p.echoCount(t, "kept"), 1)
		})
	}
}

// TestGracefulStopsInterruptNoRequest stops an entry and an agent by SIGTERM while
// callers send requests to ready entries, as behind a load balancer. Every request
// must succeed.
func TestGracefulStopsInterruptNoRequest(t *testing.T) {
	t.Parallel()
	p := newTestCluster(t, 2, 3, nil)
	done := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var bad []callResult
	for i := range 4 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				got := post(p.readyEntry(i), fmt.Sprintf("/match?ms=30&echo=load-%d-%d", i, n), "")
				if got.err != nil || got.status != http.StatusOK {
					mu.Lock()
					bad = append(bad, got)
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(time.Second)
	assert.NilError(t, p.entryCommands[0].Process.Signal(syscall.SIGTERM))
	assert.NilError(t, p.agentCommands[2].Process.Signal(syscall.SIGTERM))
	assert.NilError(t, p.entryCommands[0].Wait())
	assert.NilError(t, p.agentCommands[2].Wait())
	time.Sleep(time.Second)
	close(done)
	group.Wait()
	assert.Equal(t, len(bad), 0, "%+v", bad)
	assert.Equal(t, p.standinTallies(t).CutOffRequests, 0)
}

// readyEntry returns the address of the first entry that reports that it is ready,
// starting with entry i.
func (p *testCluster) readyEntry(i int) string {
	for n := range p.entries {
		address := p.entries[(i+n)%len(p.entries)]
		response, err := http.Get("http://" + address + "/readyz")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusNoContent {
			return address
		}
	}
	return p.entries[0]
}

// runningTasks returns the number of tasks that run on a VM.
func (p *testCluster) runningTasks(t *testing.T, vm string) int {
	t.Helper()
	n := 0
	for _, s := range p.standinTallies(t).Spans {
		if s.VM == vm && s.End.IsZero() {
			n++
		}
	}
	return n
}

// TestSuspendedAgentRunsNothingAfterItsLease suspends an agent until its lease has
// expired while its VM runs tasks, and resumes it once they run on another VM. No
// task may run twice at the same time or again after it has finished.
func TestSuspendedAgentRunsNothingAfterItsLease(t *testing.T) {
	t.Parallel()
	p := newTestCluster(t, 2, 2, nil)
	ctx := context.Background()
	_, err := p.entryClients[0].Submit(ctx, receiver.JobSubmission{ID: "job", Kind: "rebuild", Team: "rota", Tasks: 4, Work: 17_000})
	assert.NilError(t, err)
	eventually(t, "two tasks run on each VM", func() bool { return p.runningTasks(t, "vm-0") == 2 && p.runningTasks(t, "vm-1") == 2 })
	assert.NilError(t, p.agentCommands[0].Process.Signal(syscall.SIGSTOP))
	eventually(t, "all tasks of the suspended agent run on the other VM", func() bool {
		moved := 0
		for _, s := range p.standinTallies(t).Spans {
			if s.VM == "vm-1" && s.Attempt > 1 {
				moved++
			}
		}
		return moved == 2
	})
	assert.NilError(t, p.agentCommands[0].Process.Signal(syscall.SIGCONT))
	eventually(t, "finished", func() bool {
		job, err := p.entryClients[1].Job(ctx, "job")
		return err == nil && job.States["finished"] == 4
	})
	tallies := p.standinTallies(t)
	assert.Equal(t, tallies.DuplicateTasks(), 0, "%+v", tallies.DuplicateSpans())
	assert.Equal(t, tallies.FinishedTasks("job"), 4)
	assert.Equal(t, tallies.Overcommits, 0)
}

// TestSuspendedAgentStartsNothingInZoneThatIsOut suspends an agent so that start
// orders wait in its connections, takes its zone out of service, and resumes it. The
// agent must not run the late orders.
func TestSuspendedAgentStartsNothingInZoneThatIsOut(t *testing.T) {
	t.Parallel()
	p := newTestCluster(t, 1, 1, nil)
	ctx := context.Background()
	eventually(t, "a task runs", func() bool {
		_, err := p.entryClients[0].Submit(ctx, receiver.JobSubmission{ID: "warm", Kind: "rebuild", Team: "rota", Tasks: 1, Work: 10})
		return err == nil && p.standinTallies(t).FinishedTasks("warm") == 1
	})
	assert.NilError(t, p.agentCommands[0].Process.Signal(syscall.SIGSTOP))
	_, err := p.entryClients[0].Submit(ctx, receiver.JobSubmission{ID: "job", Kind: "rebuild", Team: "rota", Tasks: 3, Work: 100})
	assert.NilError(t, err)
	time.Sleep(1200 * time.Millisecond)
	_, err = p.entryClients[0].SetZone(ctx, receiver.ZoneChange{Zone: "zone-0", Out: true})
	assert.NilError(t, err)
	out := time.Now()
	// A start is too late from three seconds after the zone was taken out.
	time.Sleep(3500 * time.Millisecond)
	assert.NilError(t, p.agentCommands[0].Process.Signal(syscall.SIGCONT))
	time.Sleep(3 * time.Second)
	assert.Equal(t, p.standinTallies(t).StartsIn("zone-0", out.Add(3*time.Second), time.Now()), 0)
	_, err = p.entryClients[0].SetZone(ctx, receiver.ZoneChange{Zone: "zone-0", Out: false})
	assert.NilError(t, err)
	eventually(t, "finished", func() bool { return p.standinTallies(t).FinishedTasks("job") == 3 })
	assert.Equal(t, p.standinTallies(t).DuplicateTasks(), 0)
}

// TestRequestsSucceedWhileLogIsSuspended suspends the log service. Requests without an
// idempotency key still run; one with a key is rejected until the log service resumes.
func TestRequestsSucceedWhileLogIsSuspended(t *testing.T) {
	t.Parallel()
	p := newTestCluster(t, 1, 1, nil)
	assert.NilError(t, p.logCommand.Process.Signal(syscall.SIGSTOP))
	for i := range 20 {
		got := post(p.entries[0], fmt.Sprintf("/match?echo=frozen-%d", i), "")
		assert.Equal(t, got.status, http.StatusOK, "%+v", got)
	}
	keyed := post(p.entries[0], "/match?echo=keyed", "booking-9")
	assert.Equal(t, keyed.outcome, "not_run", "%+v", keyed)
	assert.Equal(t, p.echoCount(t, "keyed"), 0)
	assert.NilError(t, p.logCommand.Process.Signal(syscall.SIGCONT))
	eventually(t, "key accepted", func() bool { return post(p.entries[0], "/match?echo=later", "booking-10").status == http.StatusOK })
}
