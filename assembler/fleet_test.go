package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/decider"
	"github.com/plantainrail/plantainrail/hedger"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/minder"
	"github.com/plantainrail/plantainrail/platform"
	"github.com/plantainrail/plantainrail/relayer"
	"github.com/plantainrail/plantainrail/standin/keeper"
	"github.com/plantainrail/plantainrail/standin/runner"
)

// fleet is the processes of the users' platform beside stand-ins of its store
// and workers, on a network in memory, in virtual time.
type fleet struct {
	t       *testing.T
	net     *network
	ctx     context.Context
	store   *keeper.Keeper
	storeAt string
	entries []*fleetEntry
	vms     []*fleetVM
	group   errgroup.Group
}

type fleetEntry struct {
	name, clientsAt string
	stop            context.CancelFunc
	decider         *decider.Decider
}

type fleetVM struct {
	name, workerAt string
	worker         *runner.Runner
	// registry takes the worker's heartbeats at an address that stays.
	registry *listener
	stop     context.CancelFunc
}

const (
	fleetHost    = "desk.example"
	fleetEntries = 3
	fleetVMs     = 4
	// fleetSlots is the number of runs that a worker takes at the same time.
	fleetSlots = 6
)

const fleetConfig = `{"version":1,"routes":[{"name":"q","host":"desk.example","pathPrefix":"/q/","service":"desk",
"maxAttempts":2,"stretchFactor":2,"targetLatencyMs":500}],"services":[{"name":"desk","rejectsOverload":true}]}`

// inFleet runs a test in a fleet that is ready to serve.
func inFleet(t *testing.T, test func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := &fleet{t: t, net: newNetwork(), ctx: ctx, store: keeper.New()}
		f.storeAt = f.serve("store", f.store)
		f.store.Put("keyed.op", "config", []byte(fleetConfig))
		for i := range fleetEntries {
			f.entries = append(f.entries, nil)
			f.startEntry(i)
		}
		for i := range fleetVMs {
			f.startVM(fmt.Sprint("vm-", i))
		}
		time.Sleep(4 * time.Second)
		test(f)
		stop()
		assert.NilError(t, f.group.Wait())
		time.Sleep(3 * time.Minute)
	})
}

func (f *fleet) serve(name string, h http.Handler) string {
	l, err := f.net.Listen(name)
	assert.NilError(f.t, err)
	f.serveOn(f.ctx, l.(*listener), h)
	return l.Addr().String()
}

func (f *fleet) serveOn(ctx context.Context, l *listener, h http.Handler) {
	server := &http.Server{Handler: h}
	f.group.Go(func() error { _ = server.Serve(l); return nil })
	f.group.Go(func() error { <-ctx.Done(); return server.Close() })
}

func (f *fleet) client(name string) *http.Client {
	transport := &http.Transport{DialContext: f.net.Dial(name), IdleConnTimeout: 30 * time.Second}
	return &http.Client{Transport: transport}
}

// startEntry starts an entry, or its next process.
func (f *fleet) startEntry(i int) {
	name := fmt.Sprint("entry-", i)
	ctx, stop := context.WithCancel(f.ctx)
	peers, err := f.net.Listen(name)
	assert.NilError(f.t, err)
	clients, err := f.net.Listen(name)
	assert.NilError(f.t, err)
	store := relayer.New(platform.NewStore(f.storeAt, f.client(name)), f.client(name), logger())
	d := decider.New(decider.Options{
		Name: name, Address: peers.Addr().String(), Store: hedger.New(store), Relay: store, SetPeers: store.SetPeers,
		Settle: (&platform.Operator{}).Take, OperatorTopic: platform.OperatorTopic, Peers: peers, Clients: clients,
		ClientHandler: platform.Handler, HealthHandler: platform.ReadyHandler, Now: time.Now, Logger: logger().Named(name),
	})
	f.entries[i] = &fleetEntry{name: name, clientsAt: clients.Addr().String(), stop: stop, decider: d}
	f.group.Go(func() error { return d.Run(ctx) })
}

// killEntry cuts an entry off before it stops, so that it can say nothing more,
// and starts its next process after a while.
func (f *fleet) killEntry(i int, down time.Duration) {
	name := f.entries[i].name
	f.net.set(name, cut)
	f.entries[i].stop()
	time.Sleep(down)
	f.net.set(name, healthy)
	f.startEntry(i)
}

func (f *fleet) startVM(name string) {
	registry, err := f.net.Listen(name)
	assert.NilError(f.t, err)
	v := &fleetVM{name: name, registry: registry.(*listener)}
	v.worker = runner.New(runner.Options{
		ID: "w-" + name, Service: "desk", Zone: "z", Address: "there", Registry: registry.Addr().String(),
		Client: f.client(name + "-worker"), Limit: fleetSlots,
	})
	v.workerAt = f.serve(name+"-worker", v.worker)
	f.vms = append(f.vms, v)
	f.startAgent(v)
	f.group.Go(func() error { v.worker.Run(f.ctx); return nil })
}

func (f *fleet) startAgent(v *fleetVM) {
	ctx, stop := context.WithCancel(f.ctx)
	v.stop = stop
	peers := f.client(v.name)
	m := minder.New(minder.Options{
		Node: v.name, Worker: platform.NewWorker(v.workerAt, f.client(v.name)), Store: platform.NewStore(f.storeAt, f.client(v.name)),
		MembersTopic: decider.MembersTopic,
		ParseMember: func(r plantainrail.KeyedRecord) (string, bool, int64, error) {
			member, err := decider.ParseMember(r)
			return member.Address, member.Owner, member.Epoch, err
		},
		Dial: func(ctx context.Context, address string) (*linker.Session, string, error) {
			return decider.Dial(ctx, peers, address)
		},
		Lease: decider.Lease, Heartbeats: v.registry,
		HeartbeatHandler: func(r plantainrail.Registry) http.Handler {
			return platform.RegistryHandler(v.name, func() string { return "desk" }, r, logger())
		},
		Now: time.Now, Logger: logger().Named(v.name),
	})
	f.group.Go(func() error { return m.Run(ctx) })
}

// restartAgent ends an agent's process and starts the next one.
func (f *fleet) restartAgent(v *fleetVM) {
	f.net.set(v.name, cut)
	v.stop()
	time.Sleep(time.Second)
	f.net.set(v.name, healthy)
	v.registry = f.net.reopen(v.registry)
	f.startAgent(v)
}

// owner returns the entry that owns the jobs.
func (f *fleet) owner() int {
	for range 100 {
		for i, e := range f.entries {
			if e.decider.Owns() {
				return i
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatal("no entry owns the jobs")
	return 0
}

// jobSteps is a job of two steps of three tasks that take a while.
var jobSteps = []map[string]any{
	{"count": 3, "cpu": 1000, "estimateMs": 800},
	{"count": 3, "cpu": 1000, "estimateMs": 800, "dependsOn": []int{0}},
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// call makes a call on a job at the entries in turn until one answers.
func (f *fleet) call(method string, n int, body any) (int, map[string]string) {
	raw, err := json.Marshal(body)
	assert.NilError(f.t, err)
	client := f.client("client")
	defer client.CloseIdleConnections()
	for try := range 60 {
		ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
		e := f.entries[try%len(f.entries)]
		q, err := http.NewRequestWithContext(ctx, method, "http://"+e.clientsAt+"/q/"+jobID(n), bytes.NewReader(raw))
		assert.NilError(f.t, err)
		q.Host = fleetHost
		if status, answer, ok := do(client, q); ok {
			cancel()
			return status, answer
		}
		cancel()
		time.Sleep(200 * time.Millisecond)
	}
	f.t.Fatalf("%s of job %d found no entry", method, n)
	return 0, nil
}

func do(client *http.Client, q *http.Request) (int, map[string]string, bool) {
	answer, err := client.Do(q)
	if err != nil {
		return 0, nil, false
	}
	defer answer.Body.Close()
	raw, err := io.ReadAll(answer.Body)
	if err != nil || answer.StatusCode >= http.StatusInternalServerError {
		return 0, nil, false
	}
	var out map[string]string
	_ = json.Unmarshal(raw, &out)
	return answer.StatusCode, out, true
}

func (f *fleet) submit(n int, spec string, steps any) {
	status, _ := f.call(http.MethodPost, n, map[string]any{"spec": spec, "steps": steps})
	assert.Equal(f.t, status, http.StatusOK, "job %d", n)
}

func (f *fleet) state(n int) string {
	_, answer := f.call(http.MethodGet, n, nil)
	return answer["state"]
}

// await waits for a job's state.
func (f *fleet) await(n int, state string, limit time.Duration) {
	f.t.Helper()
	until := time.Now().Add(limit)
	seen := ""
	for time.Now().Before(until) {
		if seen = f.state(n); seen == state {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.t.Fatalf("job %d is %q after %s, want %q", n, seen, limit, state)
}

// running counts the runs of a job that go on.
func (f *fleet) running(n int) int {
	count := 0
	for _, v := range f.vms {
		for _, s := range v.worker.History() {
			if s.End.IsZero() && runner.JobOf(s.Task) == jobID(n) {
				count++
			}
		}
	}
	return count
}

// check fails the test if a task ran twice.
func (f *fleet) check() {
	f.t.Helper()
	var histories [][]runner.Span
	for _, v := range f.vms {
		histories = append(histories, v.worker.History())
	}
	assert.DeepEqual(f.t, runner.Faults(histories...), []string(nil))
}
