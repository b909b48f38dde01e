package assembler_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
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

// fleet runs entries (package decider) and agents (package minder) with stand-ins
// for the platform's store and workers, on an in-memory network in virtual time.
// The entries are named "entry-0", "entry-1" and so on, the VMs "vm-0", "vm-1" and so
// on.
type fleet struct {
	t            *testing.T
	net          *network
	ctx          context.Context
	shape        fleetShape
	store        *keeper.Store
	storeAddress string
	entries      []*fleetEntry
	vms          []*fleetVM
	// agentReads is the number of the agents' reads of the store.
	agentReads atomic.Int64
	// dialed, if set, is called once an agent has opened a session, before the agent goes on.
	dialed atomic.Pointer[func(v *fleetVM)]
	group  errgroup.Group
}

type fleetEntry struct {
	name, clientAddress string
	stop                context.CancelFunc
	decider             *decider.Decider
	// store is the entry's store without hedged calls.
	store *silencer
}

type fleetVM struct {
	name, workerAddress string
	worker              *runner.Worker
	// registry is the listener on which the agent receives the worker's heartbeats. A
	// restarted agent listens at the same address.
	registry *listener
	// stop stops the agent.
	stop context.CancelFunc
}

// fleetShape is the size of a fleet. Entry i and VM i are in zone i modulo zones.
type fleetShape struct {
	name                string
	entries, zones, vms int
	// cores are the processors of the entries; a missing one stands for one core.
	cores []float64
	// maxRuns is the maximum number of concurrent runs on a worker, if it is not fleetMaxRuns.
	maxRuns int
	// unguarded means that the workers accept starts beyond their capacity.
	unguarded bool
	// heartbeatInterval is the time between two heartbeats of a worker, if it is not 1.5 s.
	heartbeatInterval time.Duration
	// limits are those of the store, if they are not fleetLimits.
	limits plantainrail.StoreLimits
}

var (
	// smallFleet has one entry in each zone, so that every entry is a replica. In
	// widerFleet most entries ask the replica of their zone, and the workers leave it to
	// the owner to keep within their capacity.
	smallFleet  = fleetShape{name: "an entry a zone", entries: 3, zones: 3, vms: 4}
	widerFleet  = fleetShape{name: "three entries a zone", entries: 6, zones: 2, vms: 4, unguarded: true}
	fleetShapes = []fleetShape{smallFleet, widerFleet}
)

const (
	// fleetHost is the host of the route in fleetConfig.
	fleetHost = "desk.example"
	// heartbeatInterval is the usual time between two heartbeats of a worker.
	heartbeatInterval = 1500 * time.Millisecond
	// fleetMaxRuns is the maximum number of concurrent runs on a worker.
	fleetMaxRuns = 6
)

// fleetLimits are the limits of the platform's store, which keeper.New applies.
var fleetLimits = plantainrail.StoreLimits{RecordBytes: 262_144, CallBytes: 2_097_152}

// fleetConfig is the operators' configuration, with one route for jobs and its service.
const fleetConfig = `{"version":1,"routes":[{"name":"q","host":"desk.example","pathPrefix":"/q/","service":"desk",
"maxAttempts":2,"stretchFactor":2,"targetLatencyMs":500}],"services":[{"name":"desk","rejectsOverload":true}]}`

// zoneOf returns the availability zone of entry or VM i.
func (f *fleet) zoneOf(i int) string { return fmt.Sprint("zone-", i%f.shape.zones) }

// coresOf returns the processors of entry i.
func (f *fleet) coresOf(i int) float64 {
	if i < len(f.shape.cores) {
		return f.shape.cores[i]
	}
	return 1
}

// replicas returns the indexes of the entries that follow the jobs.
func (f *fleet) replicas() []int {
	var out []int
	for i, e := range f.entries {
		if e.decider.Follows() {
			out = append(out, i)
		}
	}
	return out
}

// inZone returns the indexes of a zone's entries, and its VMs.
func (f *fleet) inZone(zone string) (entries []int, vms []*fleetVM) {
	for i := range f.entries {
		if f.zoneOf(i) == zone {
			entries = append(entries, i)
		}
	}
	for i, v := range f.vms {
		if f.zoneOf(i) == zone {
			vms = append(vms, v)
		}
	}
	return entries, vms
}

// runInFleet runs a test in a fleet that is ready to accept jobs.
func runInFleet(t *testing.T, shape fleetShape, test func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		f := &fleet{t: t, net: newNetwork(), ctx: ctx, shape: shape, store: keeper.New()}
		f.storeAddress = f.serve("store", f.store)
		limits := cmp.Or(shape.limits, fleetLimits)
		f.store.SetLimits(limits.RecordBytes, limits.CallBytes)
		f.store.Put("keyed.op", "config", []byte(fleetConfig))
		for i := range shape.entries {
			f.entries = append(f.entries, nil)
			f.startEntry(i)
		}
		for i := range shape.vms {
			f.startVM(fmt.Sprint("vm-", i))
		}
		time.Sleep(4 * time.Second)
		test(f)
		stop()
		assert.NilError(t, f.group.Wait())
		// All pending timers fire within this time. A goroutine that is still
		// blocked afterwards has leaked and fails the test.
		time.Sleep(3 * time.Minute)
	})
}

// serve starts an HTTP server for the named component, which runs until the test
// ends, and returns its address.
func (f *fleet) serve(name string, h http.Handler) string {
	l, err := f.net.Listen(name)
	assert.NilError(f.t, err)
	f.serveOn(f.ctx, l.(*listener), h)
	return l.Addr().String()
}

// serveOn starts an HTTP server on a listener, which runs until the context ends. The
// error of Serve is ignored, because Serve always returns one when the server closes.
func (f *fleet) serveOn(ctx context.Context, l *listener, h http.Handler) {
	server := &http.Server{Handler: h}
	f.group.Go(func() error { _ = server.Serve(l); return nil })
	f.group.Go(func() error { <-ctx.Done(); return server.Close() })
}

// client returns an HTTP client that dials as the named component.
func (f *fleet) client(name string) *http.Client {
	return platform.NewClientOn(f.net.Dial(name), logger().Named(name))
}

// startEntry starts entry i, or starts a new process of it after the earlier one was
// stopped.
func (f *fleet) startEntry(i int) {
	name := fmt.Sprint("entry-", i)
	ctx, stop := context.WithCancel(f.ctx)
	peerListener, err := f.net.Listen(name)
	assert.NilError(f.t, err)
	clientListener, err := f.net.Listen(name)
	assert.NilError(f.t, err)
	direct := platform.NewStore(f.storeAddress, f.client(name))
	relayClient := f.client(name)
	store := relayer.New(direct, relayClient, logger())
	silencer := newSilencer(store)
	renew := func() {
		direct.CloseIdleConnections()
		relayClient.CloseIdleConnections()
	}
	d := decider.New(decider.Options{
		Name: name, Address: peerListener.Addr().String(), Store: hedger.New(silencer, renew), StoreLimits: cmp.Or(f.shape.limits, fleetLimits), Relay: store, SetPeers: store.SetPeers,
		PeerClient: f.client(name), Zone: f.zoneOf(i), Cores: f.coresOf(i), Trim: direct.Trim,
		ApplyOperatorRecord: (&platform.OperatorState{}).Apply, OperatorTopic: platform.OperatorTopic, Peers: peerListener, Clients: clientListener,
		ClientHandler: platform.JobHandler, HealthHandler: platform.ReadyHandler, Now: time.Now, Logger: logger().Named(name),
	})
	f.entries[i] = &fleetEntry{name: name, clientAddress: clientListener.Addr().String(), stop: stop, decider: d, store: silencer}
	f.group.Go(func() error { return d.Run(ctx) })
}

// killEntry disconnects entry i and then stops it, so that the shutdown sends nothing.
// It starts the entry's new process after the downtime.
func (f *fleet) killEntry(i int, downtime time.Duration) {
	name := f.entries[i].name
	f.net.setFault(name, down)
	f.entries[i].stop()
	time.Sleep(downtime)
	f.net.setFault(name, healthy)
	f.startEntry(i)
}

// startVM starts a VM with a simulated worker and an agent. The worker keeps running
// until the test ends, also while the agent restarts.
func (f *fleet) startVM(name string) {
	registry, err := f.net.Listen(name)
	assert.NilError(f.t, err)
	v := &fleetVM{name: name, registry: registry.(*listener)}
	calls, err := f.net.Listen(name + workerSuffix)
	assert.NilError(f.t, err)
	v.workerAddress = calls.Addr().String()
	v.worker = runner.New(runner.Options{
		ID: "w-" + name, Service: "desk", Zone: "z", Address: v.workerAddress, AgentAddress: registry.Addr().String(),
		Client: f.client(name + workerSuffix), MaxRuns: cmp.Or(f.shape.maxRuns, fleetMaxRuns), Unguarded: f.shape.unguarded, HeartbeatInterval: cmp.Or(f.shape.heartbeatInterval, heartbeatInterval),
	})
	f.serveOn(f.ctx, calls.(*listener), v.worker)
	f.vms = append(f.vms, v)
	f.startAgent(v)
	f.group.Go(func() error { v.worker.Run(f.ctx); return nil })
}

// startAgent starts an agent for the VM's worker.
func (f *fleet) startAgent(v *fleetVM) {
	ctx, stop := context.WithCancel(f.ctx)
	v.stop = stop
	entryClient := f.client(v.name)
	m := minder.New(minder.Options{
		Node: v.name, Worker: platform.NewWorker(v.workerAddress, f.client(v.name)), Store: readCounter{platform.NewStore(f.storeAddress, f.client(v.name)), &f.agentReads},
		MembersTopic: decider.MembersTopic,
		ParseMember: func(r plantainrail.KeyedRecord) (string, bool, int64, error) {
			member, err := decider.ParseMember(r)
			return member.Address, member.Owner, member.Epoch, err
		},
		Dial: func(ctx context.Context, address string) (*linker.Session, linker.Owner, error) {
			session, owner, err := decider.Dial(ctx, entryClient, address)
			if dialed := f.dialed.Load(); err == nil && dialed != nil {
				(*dialed)(v)
			}
			return session, owner, err
		},
		Lease: decider.LeaseDuration, Heartbeats: v.registry,
		HeartbeatHandler: func(r plantainrail.Registry) http.Handler {
			return platform.RegistryHandler(v.name, v.workerAddress, func() string { return "desk" }, r, logger())
		},
		HeartbeatInterval: cmp.Or(f.shape.heartbeatInterval, heartbeatInterval), Now: time.Now, Logger: logger().Named(v.name),
	})
	f.group.Go(func() error { return m.Run(ctx) })
}

// readCounter counts the reads of agents.
type readCounter struct {
	plantainrail.Store
	reads *atomic.Int64
}

// Read implements plantainrail.Store.
func (c readCounter) Read(ctx context.Context, topic string, from plantainrail.Offset, wait time.Duration) (plantainrail.KeyedBatch, error) {
	c.reads.Add(1)
	return c.Store.Read(ctx, topic, from, wait)
}

// sendHeartbeat sends the VM's agent a heartbeat that was not sent by the worker's present
// incarnation. It names the ID and the start in Unix milliseconds.
func (f *fleet) sendHeartbeat(v *fleetVM, id string, startedMS int64) {
	body := fmt.Sprintf(`{"service":"desk","address":%q,"zone":"z","state":"ready","born":%d,"sequence":1,"capacity":{"cpu":9000,"memMb":9000}}`,
		v.workerAddress, startedMS)
	client := f.client(v.name + workerSuffix)
	defer client.CloseIdleConnections()
	response, err := client.Post("http://"+v.registry.Addr().String()+"/Instances.Heartbeat/"+id, "application/json", strings.NewReader(body))
	assert.NilError(f.t, err)
	assert.NilError(f.t, response.Body.Close())
}

// restartAgent disconnects and stops an agent and starts its new process a second
// later.
func (f *fleet) restartAgent(v *fleetVM) {
	f.net.setFault(v.name, down)
	v.stop()
	time.Sleep(time.Second)
	f.net.setFault(v.name, healthy)
	v.registry = f.net.relisten(v.registry)
	f.startAgent(v)
}

// owner returns the index of the entry that owns the jobs, and waits up to ten
// seconds for one.
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

// jobSteps describes a job of two steps of three tasks each; the second step
// depends on the first one.
var jobSteps = []map[string]any{
	{"count": 3, "cpu": 1000, "estimateMs": 800},
	{"count": 3, "cpu": 1000, "estimateMs": 800, "dependsOn": []int{0}},
}

// jobID returns the ID of the job that the test numbers n.
func jobID(n int) string { return fmt.Sprintf("%016x", n) }

// call sends a request for job n to the entries in turn until one responds without
// a server error. It returns the HTTP status and the decoded response, and fails the
// test after 60 tries.
func (f *fleet) call(method string, n int, body any) (int, map[string]string) {
	client := f.client("client")
	defer client.CloseIdleConnections()
	for i := range 60 {
		if status, response, ok := f.callEntry(client, i%len(f.entries), method, "/q/"+jobID(n), body); ok {
			return status, response
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.t.Fatalf("%s of job %d: no entry responded without a server error", method, n)
	return 0, nil
}

// callEntry sends a request to entry i. The bool is false if there was no complete
// response or it was a server error.
func (f *fleet) callEntry(client *http.Client, i int, method, path string, body any) (int, map[string]string, bool) {
	raw, err := json.Marshal(body)
	assert.NilError(f.t, err)
	ctx, cancel := context.WithTimeout(f.ctx, 3*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.entries[i].clientAddress+path, bytes.NewReader(raw))
	assert.NilError(f.t, err)
	request.Host = fleetHost
	return sendRequest(client, request)
}

// sendRequest returns the HTTP status and the decoded response. The bool is false if
// there was no complete response or it was a server error.
func sendRequest(client *http.Client, request *http.Request) (int, map[string]string, bool) {
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, false
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= http.StatusInternalServerError {
		return 0, nil, false
	}
	// A response without a JSON object gives an empty map.
	var decoded map[string]string
	_ = json.Unmarshal(raw, &decoded)
	return response.StatusCode, decoded, true
}

// submit submits job n. The spec tells the simulated workers how long each task runs;
// see runner.Worker.
func (f *fleet) submit(n int, spec string, steps any) {
	status, _ := f.call(http.MethodPost, n, map[string]any{"spec": spec, "steps": steps})
	assert.Equal(f.t, status, http.StatusOK, "job %d", n)
}

// jobState returns the state of job n that an entry reports, or "" if the response
// holds none.
func (f *fleet) jobState(n int) string {
	_, response := f.call(http.MethodGet, n, nil)
	return response["state"]
}

// waitForState waits until job n has the state, and fails the test after the limit.
func (f *fleet) waitForState(n int, state string, limit time.Duration) {
	f.t.Helper()
	deadline := time.Now().Add(limit)
	last := ""
	for time.Now().Before(deadline) {
		if last = f.jobState(n); last == state {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	f.t.Fatalf("job %d is %q after %s, want %q", n, last, limit, state)
}

// runningCount returns the number of runs of job n that have not ended.
func (f *fleet) runningCount(n int) int {
	count := 0
	for _, v := range f.vms {
		for _, s := range v.worker.History() {
			if s.End.IsZero() && runner.JobID(s.Task) == jobID(n) {
				count++
			}
		}
	}
	return count
}

// checkRuns fails the test if a task had two runs at the same time, or a new run
// after one that was done and whose end was acknowledged, or if a start brought a worker
// over its capacity.
func (f *fleet) checkRuns() {
	f.t.Helper()
	var histories [][]runner.Span
	for _, v := range f.vms {
		histories = append(histories, v.worker.History())
		assert.DeepEqual(f.t, v.worker.Overloads(), []string(nil))
	}
	assert.DeepEqual(f.t, runner.Violations(histories...), []string(nil))
}
