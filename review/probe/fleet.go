package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/plantainrail/plantainrail/standin/keeper"
	"github.com/plantainrail/plantainrail/standin/runner"
)

// The ports of the processes, each of which has an address of its own.
const (
	peerPort     = 20201
	frontendPort = 20202
	readyPort    = 20203
	registryPort = 20204
)

// The bounds of the deployment, as in sites/bancs-fleuve.toml.
const (
	contactTime = 3 * time.Second
	cancelTime  = 3 * time.Second
)

const (
	queueHost   = "desk.example"
	queuePrefix = "/q/"
	pool        = "desk"
	// maxAttempts is that of the queue.
	maxAttempts = 2
	// graceTime is how long a process may take to end after SIGTERM.
	graceTime = 6 * time.Second
	// startTime bounds the time until the entries are ready.
	startTime = 20 * time.Second
	// clientTimeout is how long clients wait, as the classes of the site do.
	clientTimeout = 3 * time.Second
)

// operatorConfig has one queue and one service.
const operatorConfig = `{"version":1,"routes":[{"name":"q","host":"desk.example","pathPrefix":"/q/","service":"desk","priority":0,
"maxAttempts":2,"stretchFactor":2,"targetLatencyMs":500}],"services":[{"name":"desk","rejectsOverload":true}],"limits":{}}`

// fleet is a small deployment: the program's processes and the stand-ins around them.
type fleet struct {
	began  time.Time
	folder string
	block  int
	ctx    context.Context
	cancel context.CancelFunc
	store  *keeper.Store
	// storeAddress is where the processes reach the store.
	storeAddress string
	entries      []*process
	agents       []*process

	mu     sync.Mutex
	record *os.File
	// intercept, if set, sees each call to the store first, and reports whether it has dealt with it.
	intercept func(w http.ResponseWriter, req *http.Request) bool
}

// process is an entry or an agent.
type process struct {
	name, role, ip string
	command        *exec.Cmd
	exited         chan struct{}
}

// newFleet returns a fleet with a store and no processes. Its record is in the folder.
func newFleet(folder string) (*fleet, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "probe")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{began: time.Now(), folder: temporary, ctx: ctx, cancel: cancel, store: keeper.New(), record: record}
	if err := f.takeBlock(); err != nil {
		return nil, err
	}
	f.store.Put("keyed.op", "config", []byte(operatorConfig))
	f.storeAddress, err = f.serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		f.mu.Lock()
		intercept := f.intercept
		f.mu.Unlock()
		if intercept == nil || !intercept(w, req) {
			f.pageStore(w, req)
		}
	}))
	return f, err
}

// setIntercept sets what sees the calls to the store first.
func (f *fleet) setIntercept(intercept func(w http.ResponseWriter, req *http.Request) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.intercept = intercept
}

// takeBlock finds loopback addresses whose ports are free.
func (f *fleet) takeBlock() (err error) {
	const first, blocks, tries = 60, 40, 20
	for range tries {
		f.block = first + rand.IntN(blocks)
		var l net.Listener
		if l, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", f.block, peerPort)); err == nil {
			return l.Close()
		}
	}
	return err
}

// serve serves a handler until the fleet ends, and returns its address.
func (f *fleet) serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: startTime}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(f.ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// note writes a line to the record.
func (f *fleet) note(format string, values ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, values...))
	_, _ = f.record.WriteString(line)
	fmt.Print(line)
}

// address returns the address of the process with the number.
func (f *fleet) address(number int) string { return fmt.Sprintf("127.%d.0.%d", f.block, number+1) }

// settings returns the settings that entries and agents have in common.
func (f *fleet) settings(name, role, ip, zone string) []string {
	return []string{
		"nodeName=" + name, "role=" + role, "ip=" + ip, "zone=" + zone, "region=r", "zones.z-1=r", "zones.z-2=r",
		fmt.Sprintf("internalPortRange=%d,%d", peerPort, peerPort), "limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284",
		"limits.fileDescriptors=4100", "heartbeatMs=1500", "orders=invocation", "platform.address=" + f.storeAddress, "platform.form=log",
		"platform.writesPerS=800", "platform.readsPerS=2000", "platform.recordBytes=262144", "platform.callBytes=2097152",
		"bounds.contactMs=3000", "bounds.evacuationMs=5000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.status_s=120",
		"bounds.holdMaxMs=6000", "bounds.graceS=6", "bounds.stopTimeoutMs=900",
	}
}

// startEntries starts the given number of entries and waits until all are ready.
func (f *fleet) startEntries(count int) error {
	for i := range count {
		name, ip := fmt.Sprint("edge-", i+1), f.address(len(f.entries))
		lines := append(f.settings(name, "entry", ip, fmt.Sprint("z-", i%2+1)), "machineClass=edge", "serves=edge",
			fmt.Sprintf("listen.frontend=%s:%d", ip, frontendPort), fmt.Sprintf("listen.ready=%s:%d", ip, readyPort))
		p, err := f.start(name, "entry", ip, lines)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, p)
	}
	for _, p := range f.entries {
		ready := func() bool {
			status, _, err := f.call(http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", p.ip, readyPort), "", clientTimeout)
			return err == nil && status == http.StatusOK
		}
		if !f.await(startTime, ready) {
			return fmt.Errorf("%s is not ready", p.name)
		}
	}
	return nil
}

// startAgent starts an agent for the minion that the handler serves. The address of the minion is passed to
// started before the agent starts.
func (f *fleet) startAgent(handler http.Handler, started func(minionAddress, agentAddress string)) error {
	minion, err := f.serve("127.0.0.1:0", handler)
	if err != nil {
		return err
	}
	const firstAgent = 20
	n := len(f.agents)
	name, ip := fmt.Sprint("side-", n+1), f.address(firstAgent+n)
	started(minion, fmt.Sprintf("%s:%d", ip, registryPort))
	lines := append(f.settings(name, "agent", ip, fmt.Sprint("z-", n%2+1)), "machineClass=side", "serves=side",
		fmt.Sprintf("listen.controlPlane=%s:%d", ip, registryPort), "app="+minion, "service="+pool)
	p, err := f.start(name, "agent", ip, lines)
	f.agents = append(f.agents, p)
	return err
}

// startRunners starts agents with the project's own stand-in for a minion.
func (f *fleet) startRunners(count int) ([]*runner.Worker, error) {
	var workers []*runner.Worker
	for i := range count {
		var worker *runner.Worker
		handler := http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { worker.ServeHTTP(w, req) })
		err := f.startAgent(handler, func(minion, agent string) {
			worker = runner.New(runner.Options{
				ID: fmt.Sprint("i-", i+1), Service: pool, Zone: fmt.Sprint("z-", i%2+1), Address: minion, AgentAddress: agent,
				Client: &http.Client{Timeout: time.Second}, MaxRuns: 8, HeartbeatInterval: 1500 * time.Millisecond,
			})
			go worker.Run(f.ctx)
		})
		if err != nil {
			return nil, err
		}
		workers = append(workers, worker)
	}
	return workers, nil
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(name, role, ip string, lines []string) (*process, error) {
	path := filepath.Join(f.folder, name)
	if err := os.WriteFile(path+".conf", []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, role: role, ip: ip}
	return p, f.restart(p)
}

// restart starts a process that has ended, or was not started yet, with its settings.
func (f *fleet) restart(p *process) error {
	path := filepath.Join(f.folder, p.name)
	log, err := os.OpenFile(path+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	c := exec.Command("target/plantainrail", "node", p.role)
	// A machine shows one core to its processes.
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOMAXPROCS=1", "PLANTAINRAIL_NODE_FILE=" + path + ".conf"}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited = c, exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// close ends all processes and removes the temporary folder, unless KEEP is set.
func (f *fleet) close() {
	f.cancel()
	all := append(f.entries, f.agents...)
	for _, p := range all {
		if p != nil {
			_ = p.command.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, p := range all {
		if p == nil {
			continue
		}
		select {
		case <-p.exited:
		case <-time.After(graceTime):
			_ = p.command.Process.Kill()
			<-p.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println(f.folder)
	}
	_ = f.record.Close()
}

// await checks a condition until it holds or the time is over, and returns whether it held.
func (f *fleet) await(limit time.Duration, holds func() bool) bool {
	const interval = 20 * time.Millisecond
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(interval) {
		if holds() {
			return true
		}
	}
	return false
}

// call makes an HTTP call to an address of the fleet. It gives up after the timeout.
func (f *fleet) call(method, url, body string, timeout time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(raw)), err
}

// ask makes a client's call on a job at an entry and records it.
func (f *fleet) ask(entry int, method, id, body string, timeout time.Duration) (int, string) {
	p := f.entries[entry%len(f.entries)]
	f.note("client sends %s %s to %s", method, id, p.name)
	status, text, err := f.call(method, fmt.Sprintf("http://%s:%d%s%s", p.ip, frontendPort, queuePrefix, id), body, timeout)
	if err != nil {
		f.note("client has no answer to %s %s: %v", method, id, err)
		return 0, ""
	}
	f.note("client gets %d %s", status, text)
	return status, text
}

// submit hands a job in until it is accepted.
func (f *fleet) submit(id, body string) error {
	for try := range 5 {
		if status, _ := f.ask(try, http.MethodPost, id, body, clientTimeout); status == http.StatusOK {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// noteHistory records the runs that the minions have seen.
func (f *fleet) noteHistory(workers []*runner.Worker) {
	for i, w := range workers {
		for _, s := range w.History() {
			f.note("run %d of %s on i-%d began at %.3f s, ended %q after %.3f s", s.Run, s.Task, i+1, s.Start.Sub(f.began).Seconds(), s.Outcome, s.End.Sub(s.Start).Seconds())
		}
	}
}
