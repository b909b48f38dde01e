package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/plantainrail/plantainrail/standin/runner"
)

const (
	program           = "target/plantainrail"
	host              = "desk.example"
	pool              = "desk"
	heartbeatInterval = 1500 * time.Millisecond
	// maxRuns is the capacity of a worker in tasks of one core.
	maxRuns = 8
	// clientDeadline is how long a client waits for an answer.
	clientDeadline = 3 * time.Second
)

// operatorConfig has one queue and one service.
const operatorConfig = `{"version":1,"routes":[{"name":"q","host":"desk.example","pathPrefix":"/q/","service":"desk",
"priority":0,"maxAttempts":2,"stretchFactor":2,"targetLatencyMs":500}],"services":[{"name":"desk","rejectsOverload":true}]}`

// fleet is a small deployment: the project's processes and the stand-ins around them.
type fleet struct {
	started time.Time
	folder  string
	ctx     context.Context
	stop    context.CancelFunc
	store   *store
	client  *http.Client
	// stopDelay is added to the 0.3 s that the stand-in workers take for a stop.
	stopDelay time.Duration
	// racks holds the racks of VMs by name, if they have different ones.
	racks map[string]string

	mu     sync.Mutex
	record io.Writer
	// processes holds all processes that were started.
	processes []*process
	vms       []*vm
	lastJob   int
}

// process is a process of the project. It is restarted by start after it has ended.
type process struct {
	fleet               *fleet
	name, role          string
	settings            string
	frontend, heartbeat string
	command             *exec.Cmd
	log                 *os.File
}

// vm is a worker with its agent. The worker's heartbeats go through a link.
type vm struct {
	worker *runner.Worker
	agent  *process
	link   *heartbeatLink
}

func newFleet(record io.Writer) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{started: time.Now(), folder: folder, ctx: ctx, stop: stop, record: record, client: newClient()}
	f.store = newStore()
	return f, nil
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: clientDeadline}
}

// note writes a line to the record.
func (f *fleet) note(format string, arguments ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%9.3f %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	f.stop()
	if os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// serve serves a stand-in on a free port until the case ends, and returns its address.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-f.ctx.Done()
		_ = server.Close()
	}()
	return l.Addr().String(), nil
}

const (
	// firstPort and lastPort bound the ports of the processes. They are below the range from which
	// systems take the ports of outgoing connections, which could take a port during a restart.
	firstPort = 12_000
	lastPort  = 32_000
)

// freePorts returns addresses of ports that are free now.
func freePorts(n int) ([]string, error) {
	var out []string
	for range 100 * n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err != nil {
			continue
		}
		defer func() { _ = l.Close() }()
		if out = append(out, l.Addr().String()); len(out) == n {
			return out, nil
		}
	}
	return nil, fmt.Errorf("no %d free ports", n)
}

// addProcess writes the settings of a process and starts it.
func (f *fleet) addProcess(role, name, zone, storeAddress, workerAddress string) (*process, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	_, peerPort, err := net.SplitHostPort(ports[3])
	if err != nil {
		return nil, err
	}
	lines := []string{
		"nodeName=" + name, "role=" + role, "ip=127.0.0.1", "zone=" + zone, "region=r",
		"internalPortRange=" + peerPort + "," + peerPort, "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284",
		"heartbeatMs=1500", "orders=invocation", "platform.address=" + storeAddress, "platform.form=log",
		"platform.recordBytes=262144", "platform.callBytes=2097152",
	}
	p := &process{fleet: f, name: name, role: role, settings: filepath.Join(f.folder, name+".conf")}
	if role == "entry" {
		p.frontend = ports[0]
		lines = append(lines, "machineClass=edge", "serves=edge", "listen.frontend="+ports[0], "listen.ready="+ports[1])
	} else {
		p.heartbeat = ports[2]
		lines = append(lines, "machineClass=side", "serves=side", "listen.controlPlane="+ports[2], "app="+workerAddress, "service="+pool)
	}
	if err := os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	return p, p.start()
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.fleet.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(program, "node", p.role)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PLANTAINRAIL_NODE_FILE=" + p.settings}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	p.command, p.log = c, log
	p.fleet.note("%s starts", p.name)
	return nil
}

// kill ends the process by SIGKILL and waits for its end.
func (p *process) kill() {
	if p.command == nil {
		return
	}
	// The process may have ended by itself.
	_ = p.command.Process.Signal(syscall.SIGKILL)
	_ = p.command.Wait()
	_ = p.log.Close()
	p.command = nil
	p.fleet.note("%s is killed", p.name)
}

// addEntry starts an entry.
func (f *fleet) addEntry(name, zone, storeAddress string) (*process, error) {
	return f.addProcess("entry", name, zone, storeAddress, "")
}

// addVM starts a worker and its agent.
func (f *fleet) addVM(name, zone, storeAddress string) (*vm, error) {
	var handler lateHandler
	workerAddress, err := f.serve(&handler)
	if err != nil {
		return nil, err
	}
	agent, err := f.addProcess("agent", name, zone, storeAddress, workerAddress)
	if err != nil {
		return nil, err
	}
	link := &heartbeatLink{agentAddress: agent.heartbeat, client: newClient(), rack: f.racks[name]}
	linkAddress, err := f.serve(link)
	if err != nil {
		return nil, err
	}
	v := &vm{agent: agent, link: link, worker: runner.New(runner.Options{
		ID: "w-" + name, Service: pool, Zone: zone, Address: workerAddress, AgentAddress: linkAddress,
		Client: newClient(), MaxRuns: maxRuns, HeartbeatInterval: heartbeatInterval,
	})}
	handler.set(&slowStopper{v.worker, f.stopDelay})
	go v.worker.Run(f.ctx)
	f.vms = append(f.vms, v)
	return v, nil
}

// slowStopper answers a call that stops a run at once, and passes it on to the worker after a
// delay, so that the stop takes longer.
type slowStopper struct {
	worker http.Handler
	delay  time.Duration
}

func (s *slowStopper) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if s.delay == 0 || req.URL.Path != "/run-stop" {
		s.worker.ServeHTTP(w, req)
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	later := req.Clone(context.WithoutCancel(req.Context()))
	later.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(s.delay, func() { s.worker.ServeHTTP(httptest.NewRecorder(), later) })
	// The stand-in answers calls that it does not simulate with the same checks and fields.
	now := req.Clone(req.Context())
	now.Body, now.URL.Path = io.NopCloser(bytes.NewReader(body)), "/checked"
	s.worker.ServeHTTP(w, now)
}

// lateHandler is a handler that is set after its server has started.
type lateHandler struct {
	mu sync.Mutex
	h  http.Handler
}

func (l *lateHandler) set(h http.Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h = h
}

func (l *lateHandler) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	l.mu.Lock()
	h := l.h
	l.mu.Unlock()
	if h == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	h.ServeHTTP(w, req)
}

// heartbeatLink carries a worker's heartbeats to its agent. It can hold one back, as a
// partition does.
type heartbeatLink struct {
	agentAddress string
	// rack is the VM's rack. The stand-in workers name the same one for all.
	rack   string
	client *http.Client

	mu       sync.Mutex
	holdNext bool
	held     *heldHeartbeat
	// delivered counts the heartbeats that the agent has acknowledged.
	delivered int
}

// standInRack is the rack of all stand-in workers.
const standInRack = "r1-1"

// heldHeartbeat is a heartbeat that has not reached the agent yet.
type heldHeartbeat struct {
	path string
	body []byte
}

func (l *heartbeatLink) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if l.rack != "" {
		body = bytes.ReplaceAll(body, []byte(standInRack), []byte(l.rack))
	}
	l.mu.Lock()
	hold := l.holdNext
	if hold {
		l.holdNext, l.held = false, &heldHeartbeat{req.URL.Path, body}
	}
	l.mu.Unlock()
	if hold {
		<-req.Context().Done()
		return
	}
	status, err := l.deliver(req.URL.Path, body)
	if err != nil {
		status = http.StatusBadGateway
	}
	w.WriteHeader(status)
}

// deliver passes a heartbeat to the agent.
func (l *heartbeatLink) deliver(path string, body []byte) (int, error) {
	response, err := l.client.Post("http://"+l.agentAddress+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	l.mu.Lock()
	l.delivered++
	l.mu.Unlock()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// awaitDelivery waits until the agent has received one more heartbeat.
func (l *heartbeatLink) awaitDelivery() {
	count := func() int {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.delivered
	}
	before := count()
	for until := time.Now().Add(3 * heartbeatInterval); count() == before && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
}

// holdOne makes the link hold the next heartbeat, and waits until it has one.
func (l *heartbeatLink) holdOne() (*heldHeartbeat, error) {
	l.mu.Lock()
	l.holdNext = true
	l.mu.Unlock()
	for until := time.Now().Add(3 * heartbeatInterval); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		l.mu.Lock()
		held := l.held
		l.mu.Unlock()
		if held != nil {
			return held, nil
		}
	}
	return nil, fmt.Errorf("no heartbeat was sent")
}

// step is a step of a job as the clients' protocol has it.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	Memory       int    `json:"memMb"`
	Estimate     int    `json:"estimateMs,omitempty"`
	DependsOn    []int  `json:"dependsOn,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	Affinity     string `json:"affinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
}

// job is a job as the clients' protocol has it. Spec is what the stand-in worker does; see
// runner.Worker.
type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// newJobID returns the ID of a new job.
func (f *fleet) newJobID() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastJob++
	return fmt.Sprintf("%016x", 0xabc000000000+f.lastJob)
}

// call makes a client's call and returns the status and the body of the answer.
func (f *fleet) call(method, entry, path string, body any) (int, []byte, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	if body == nil {
		raw = nil
	}
	req, err := http.NewRequest(method, "http://"+entry+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, err
	}
	req.Host = host
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	response, err := f.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// submit hands a job in until it is accepted, as clients do, and returns its ID.
func (f *fleet) submit(entry *process, j job) (string, error) {
	id := f.newJobID()
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		status, _, err := f.call(http.MethodPost, entry.frontend, "/q/"+id, j)
		if err == nil && status == http.StatusOK {
			return id, nil
		}
	}
	return "", fmt.Errorf("job %s was not accepted", id)
}

// state returns the state of a job as a client sees it.
func (f *fleet) state(entry *process, id string) string {
	status, raw, err := f.call(http.MethodGet, entry.frontend, "/q/"+id, nil)
	if err != nil {
		return err.Error()
	}
	var answer struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(raw, &answer) != nil {
		return fmt.Sprint("status ", status)
	}
	return answer.State
}

// awaitState waits until a job has the state.
func (f *fleet) awaitState(entry *process, id, want string, wait time.Duration) error {
	last := ""
	for until := time.Now().Add(wait); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		if last = f.state(entry, id); last == want {
			return nil
		}
	}
	return fmt.Errorf("job %s is %q instead of %q", id, last, want)
}

// runs returns the runs of a job on all workers.
func (f *fleet) runs(id string) []runner.Span {
	var out []runner.Span
	for _, v := range f.vms {
		for _, s := range v.worker.History() {
			if runner.JobID(s.Task) == id {
				out = append(out, s)
			}
		}
	}
	return out
}

// noteRuns writes all runs to the record.
func (f *fleet) noteRuns() {
	for _, v := range f.vms {
		for _, s := range v.worker.History() {
			end := "goes on"
			if !s.End.IsZero() {
				end = fmt.Sprintf("%.3f %s", s.End.Sub(f.started).Seconds(), s.Outcome)
			}
			f.note("run %s %d on %s from %.3f to %s", s.Task, s.Run, v.agent.name, s.Start.Sub(f.started).Seconds(), end)
		}
	}
}

// owner returns the entry that owns the jobs, by its log.
func (f *fleet) owner() (*process, error) {
	var owner *process
	newest := ""
	for _, p := range f.processes {
		raw, err := os.ReadFile(filepath.Join(f.folder, p.name+".log"))
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(raw)) {
			var event struct {
				At    string `json:"at"`
				Event string `json:"event"`
			}
			if json.Unmarshal([]byte(line), &event) == nil && event.Event == "ownership gained" && event.At > newest {
				owner, newest = p, event.At
			}
		}
	}
	if owner == nil {
		return nil, fmt.Errorf("no entry owns the jobs")
	}
	return owner, nil
}
