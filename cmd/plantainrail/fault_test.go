package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/assembler"
	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/standin/responder"
	"github.com/plantainrail/plantainrail/standin/worker"
)

// relay passes TCP connections on to an address, and can cut or silence them.
type relay struct {
	listener net.Listener
	to       string

	mu     sync.Mutex
	open   []net.Conn
	silent map[net.Conn]bool
}

func newRelay(t *testing.T, to string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &relay{listener: l, to: to, silent: map[net.Conn]bool{}}
	t.Cleanup(func() {
		_ = l.Close()
		r.cut()
	})
	go func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			r.mu.Lock()
			r.open = append(r.open, near, far)
			r.mu.Unlock()
			go r.pass(near, far)
			go r.pass(far, near)
		}
	}()
	return r
}

func (r *relay) pass(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		r.mu.Lock()
		silent := r.silent[from]
		r.mu.Unlock()
		if silent {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// cut closes every open connection.
func (r *relay) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		_ = c.Close()
	}
	r.open = nil
}

// silence lets the open connections carry nothing more, for good.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		r.silent[c] = true
	}
}

func getJSON[T any](t *testing.T, url string) T {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer response.Body.Close()
	var out T
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&out))
	return out
}

// tallies gathers what the stand-ins saw.
func (p *plant) tallies(t *testing.T) assembler.Tallies {
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

func (p *plant) echoes(t *testing.T, echo string) int {
	t.Helper()
	n := 0
	for _, address := range p.targets {
		n += getJSON[responder.Tally](t, "http://"+address+"/-/tally").Echoes[echo]
	}
	return n
}

// started waits until a target has begun to run the echo, and returns which.
func (p *plant) started(t *testing.T, echo string) int {
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

func TestKeyRunsOnceThroughAKilledEntry(t *testing.T) {
	t.Parallel()
	p := newPlant(t, 2, 2, nil)
	first := make(chan answer, 1)
	go func() { first <- ask(p.entries[0], "/match?echo=once&ms=1500", "booking-7") }()
	p.started(t, "once")
	assert.NilError(t, p.entryCommands[0].Process.Signal(syscall.SIGKILL))
	assert.Assert(t, (<-first).err != nil)
	again := ask(p.entries[1], "/match?echo=once&ms=1500", "booking-7")
	assert.NilError(t, again.err)
	assert.Equal(t, again.status, http.StatusOK, "%+v", again)
	assert.Equal(t, p.echoes(t, "once"), 1)
}

func TestKilledAgentLeavesNoDouble(t *testing.T) {
	t.Parallel()
	p := newPlant(t, 2, 2, nil)
	first := make(chan answer, 1)
	go func() { first <- ask(p.entries[0], "/match?echo=once&ms=1500", "booking-8") }()
	victim := p.started(t, "once")
	assert.NilError(t, p.agentCommands[victim].Process.Signal(syscall.SIGKILL))
	_ = p.agentCommands[victim].Wait()
	p.agentCommands[victim] = start(t, "agent", "--settings", p.agentSettings[victim])
	got := <-first
	assert.Assert(t, got.outcome == "uncertain", "%+v", got)
	again := ask(p.entries[1], "/match?echo=once&ms=1500", "booking-8")
	assert.Assert(t, again.outcome == "uncertain", "%+v", again)
	assert.Equal(t, p.echoes(t, "once"), 1)
}

func TestAnswerSurvivesCutAndSilentConnections(t *testing.T) {
	for name, fault := range map[string]func(*relay){"cut": (*relay).cut, "silent": (*relay).silence} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var relays []*relay
			p := newPlant(t, 1, 2, func(address string) string {
				r := newRelay(t, address)
				relays = append(relays, r)
				return r.listener.Addr().String()
			})
			got := make(chan answer, 1)
			go func() { got <- ask(p.entries[0], "/match?echo=kept&ms=1000", "") }()
			p.started(t, "kept")
			fault(relays[0])
			a := <-got
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, http.StatusOK, "%+v", a)
			assert.Equal(t, p.echoes(t, "kept"), 1)
		})
	}
}

// TestPlannedStopsCutNoRequest stops an entry and an agent by SIGTERM under
// load from callers that prefer a ready entry, as a balancer does.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	t.Parallel()
	p := newPlant(t, 2, 3, nil)
	done := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var bad []answer
	for i := range 4 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				got := ask(p.ready(i), fmt.Sprintf("/match?ms=30&echo=load-%d-%d", i, n), "")
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
	assert.Equal(t, p.tallies(t).Cut, 0)
}

// ready returns the first entry from i on that says it is ready.
func (p *plant) ready(i int) string {
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

func (p *plant) spansOn(t *testing.T, vm string) int {
	t.Helper()
	n := 0
	for _, s := range p.tallies(t).Spans {
		if s.VM == vm && s.End.IsZero() {
			n++
		}
	}
	return n
}

// TestFrozenAgentRunsNothingAfterItsLease freezes an agent past its lease while
// its VM runs tasks, and lets it go on after they run elsewhere.
func TestFrozenAgentRunsNothingAfterItsLease(t *testing.T) {
	t.Parallel()
	p := newPlant(t, 2, 2, nil)
	ctx := context.Background()
	_, err := p.entryClients[0].Submit(ctx, receiver.JobSubmission{ID: "job", Kind: "rebuild", Team: "rota", Tasks: 4, Work: 17_000})
	assert.NilError(t, err)
	eventually(t, "running on both", func() bool { return p.spansOn(t, "vm-0") == 2 && p.spansOn(t, "vm-1") == 2 })
	assert.NilError(t, p.agentCommands[0].Process.Signal(syscall.SIGSTOP))
	eventually(t, "all run elsewhere", func() bool {
		moved := 0
		for _, s := range p.tallies(t).Spans {
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
	tallies := p.tallies(t)
	assert.Equal(t, tallies.Doubled(), 0, "%+v", tallies.DoubledSpans())
	assert.Equal(t, tallies.FinishedTasks("job"), 4)
	assert.Equal(t, tallies.Overcommits, 0)
}

// TestFrozenAgentStartsNothingInAZoneThatIsOut freezes an agent so that orders
// to start wait in its connections, takes its zone out, and lets it go on.
func TestFrozenAgentStartsNothingInAZoneThatIsOut(t *testing.T) {
	t.Parallel()
	p := newPlant(t, 1, 1, nil)
	ctx := context.Background()
	eventually(t, "a task runs", func() bool {
		_, err := p.entryClients[0].Submit(ctx, receiver.JobSubmission{ID: "warm", Kind: "rebuild", Team: "rota", Tasks: 1, Work: 10})
		return err == nil && p.tallies(t).FinishedTasks("warm") == 1
	})
	assert.NilError(t, p.agentCommands[0].Process.Signal(syscall.SIGSTOP))
	_, err := p.entryClients[0].Submit(ctx, receiver.JobSubmission{ID: "job", Kind: "rebuild", Team: "rota", Tasks: 3, Work: 100})
	assert.NilError(t, err)
	time.Sleep(1200 * time.Millisecond)
	_, err = p.entryClients[0].SetZone(ctx, receiver.ZoneChange{Zone: "zone-0", Out: true})
	assert.NilError(t, err)
	out := time.Now()
	time.Sleep(3500 * time.Millisecond)
	assert.NilError(t, p.agentCommands[0].Process.Signal(syscall.SIGCONT))
	time.Sleep(3 * time.Second)
	assert.Equal(t, p.tallies(t).StartsIn("zone-0", out.Add(3*time.Second), time.Now()), 0)
	_, err = p.entryClients[0].SetZone(ctx, receiver.ZoneChange{Zone: "zone-0", Out: false})
	assert.NilError(t, err)
	eventually(t, "finished", func() bool { return p.tallies(t).FinishedTasks("job") == 3 })
	assert.Equal(t, p.tallies(t).Doubled(), 0)
}

// TestRequestsGoOnWhileTheLogIsFrozen freezes the log service.
func TestRequestsGoOnWhileTheLogIsFrozen(t *testing.T) {
	t.Parallel()
	p := newPlant(t, 1, 1, nil)
	assert.NilError(t, p.logCommand.Process.Signal(syscall.SIGSTOP))
	for i := range 20 {
		got := ask(p.entries[0], fmt.Sprintf("/match?echo=frozen-%d", i), "")
		assert.Equal(t, got.status, http.StatusOK, "%+v", got)
	}
	keyed := ask(p.entries[0], "/match?echo=keyed", "booking-9")
	assert.Equal(t, keyed.outcome, "not_run", "%+v", keyed)
	assert.Equal(t, p.echoes(t, "keyed"), 0)
	assert.NilError(t, p.logCommand.Process.Signal(syscall.SIGCONT))
	eventually(t, "keys again", func() bool { return ask(p.entries[0], "/match?echo=later", "booking-10").status == http.StatusOK })
}
