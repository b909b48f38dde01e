package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/plantainrail/plantainrail/standin/keeper"
)

const (
	frontendPort = 8161
	readyPort    = 8167
	registryPort = 8166
	peerPort     = 7720
	workerPort   = 8080
	linkPort     = 8200
	storePort    = 8169
)

// process is one of the project's own programs, as the deploy file starts it.
type process struct {
	role, name, ip, zone string
	command              *exec.Cmd
	ended                chan struct{}
	// link is the process's path to the store at storeAddress, and paths are an agent's paths to the entries.
	link         *link
	paths        []*link
	storeAddress string
	// minion is the minion of an agent.
	minion *minion
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	record *recorder
	block  string
	dir    string
	store  *keeper.Store

	entries []*process
	agents  []*process
	minions []*minion

	mu sync.Mutex
	// jobs holds the submitted jobs by ID, so that the minions know what their tasks take.
	jobs map[string]job
}

// step and job are what a client submits.
type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu,omitempty"`
	Memory       int    `json:"memMb,omitempty"`
	Estimate     int    `json:"estimateMs,omitempty"`
	DependsOn    []int  `json:"dependsOn,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	AntiAffinity int    `json:"antiAffinity,omitempty"`
	LongRunning  bool   `json:"longRunning,omitempty"`
	Image        string `json:"image,omitempty"`
	FillCount    bool   `json:"fillCount,omitempty"`
}

type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// newFleet starts the store and finds a block of free loopback addresses.
func newFleet(r *recorder) (*fleet, error) {
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, store: keeper.New(), jobs: map[string]job{}}
	for range 50 {
		f.block = fmt.Sprintf("127.%d.%d.", 1+rand.N(250), 1+rand.N(250))
		listener, err := net.Listen("tcp", f.address(1, storePort))
		if err != nil {
			continue
		}
		go func() { _ = http.Serve(listener, f.store) }()
		return f, nil
	}
	return nil, fmt.Errorf("no free loopback address")
}

// address returns the address of the machine with the number.
func (f *fleet) address(machine, port int) string {
	return fmt.Sprintf("%s%d:%d", f.block, machine, port)
}

// configure writes the operator's configuration, with one queue for each of the names.
func (f *fleet) configure(version int, names ...string) {
	var routes []string
	for i, name := range names {
		routes = append(routes, fmt.Sprintf(
			`{"name":%q,"host":"bench.example","pathPrefix":"/%s/","service":"bancs","priority":%d,"maxAttempts":2,"stretchFactor":2,"targetLatencyMs":1000}`,
			name, name, i))
	}
	f.store.Put("keyed.op", "config", []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"bancs","rejectsOverload":true}],"limits":{}}`, version, strings.Join(routes, ","))))
	f.record.add("operator: configuration %d", version)
}

// startEntry starts an entry on a new machine.
func (f *fleet) startEntry(zone string) error {
	number := 10 + len(f.entries)
	p := &process{role: "entry", name: fmt.Sprintf("edge-%s-%d", zone, number), ip: fmt.Sprintf("%s%d", f.block, number), zone: zone}
	f.entries = append(f.entries, p)
	return f.start(p, number)
}

// startSide starts an agent and its minion on a new machine.
func (f *fleet) startSide(o minionOptions) error {
	number := 30 + len(f.agents)
	p := &process{role: "agent", name: fmt.Sprintf("side-%s-%d", o.zone, number), ip: fmt.Sprintf("%s%d", f.block, number), zone: o.zone}
	o.id, o.address, o.agent = fmt.Sprintf("i-%d", number), f.address(number, workerPort), f.address(number, registryPort)
	if err := f.ownPaths(p); err != nil {
		return err
	}
	if err := f.start(p, number); err != nil {
		return err
	}
	m := newMinion(f, o)
	p.minion = m
	f.agents, f.minions = append(f.agents, p), append(f.minions, m)
	return m.up()
}

// restart starts a process again that has ended.
func (f *fleet) restart(p *process) error {
	var number int
	if _, err := fmt.Sscanf(p.ip[len(f.block):], "%d", &number); err != nil {
		return err
	}
	return f.start(p, number)
}

// start opens the machine's path to the store and starts the process.
func (f *fleet) start(p *process, number int) error {
	var err error
	if p.link == nil {
		if p.link, err = newLink(f.address(number, linkPort), cmp.Or(p.storeAddress, f.address(1, storePort))); err != nil {
			return err
		}
	}
	seeds := f.address(10, registryPort)
	lines := []string{
		"nodeName=" + p.name, "role=" + p.role, "ip=" + p.ip, "zone=" + p.zone, "region=saint-louis",
		"internalPortRange=" + fmt.Sprintf("%d,%d", peerPort, peerPort+15), "seeds=" + seeds, "bootstrap=true",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.fileDescriptors=4100", "heartbeatMs=1500",
		"contracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing",
		"bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.drainMs=2000", "bounds.graceS=6", "bounds.configApplyMs=2000",
		"bounds.evacuationMs=5000", "bounds.holdMaxMs=6000", "bounds.stopTimeoutMs=900", "bounds.gangTimeoutMs=3000",
		"bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120",
		"bounds.leaseMs=3000", "bounds.pacingMs=100", "bounds.interferenceMs=4000", "orders=invocation",
		"platform.address=" + f.address(number, linkPort), "platform.form=log", "platform.writesPerS=800", "platform.readsPerS=2000",
		"platform.parts=24", "platform.recordBytes=262144", "platform.callBytes=2097152",
	}
	if p.role == "entry" {
		lines = append(lines, "machineClass=edge", "serves=edge", "listen.frontend="+f.address(number, frontendPort), "listen.ready="+f.address(number, readyPort))
	} else {
		lines = append(lines, "machineClass=side", "serves=side", "listen.controlPlane="+f.address(number, registryPort), "app="+f.address(number, workerPort), "service=bancs")
	}
	path := filepath.Join(f.dir, p.name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(f.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command("target/plantainrail", "node", p.role)
	p.command.Env = []string{"PLANTAINRAIL_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		return err
	}
	command, ended := p.command, make(chan struct{})
	p.ended = ended
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(ended)
	}()
	f.record.add("%s starts as process %d", p.name, p.command.Process.Pid)
	return nil
}

// close ends all processes and removes the temporary folder, unless STAGE_KEEP is set.
func (f *fleet) close() {
	for _, p := range append(append([]*process{}, f.entries...), f.agents...) {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		_ = p.command.Process.Kill()
		<-p.ended
	}
	if os.Getenv("STAGE_KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
}

// awaitReady waits until all entries report that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	until := time.Now().Add(limit)
	for _, p := range f.entries {
		for !ready(&client, p) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func ready(client *http.Client, p *process) bool {
	response, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", p.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// small starts three entries and minions in three zones.
func (f *fleet) small(minions int, o minionOptions) error {
	zones := []string{"sl-nord", "sl-centre", "sl-sud"}
	for _, zone := range zones {
		if err := f.startEntry(zone); err != nil {
			return err
		}
	}
	for i := range minions {
		o.zone = zones[i%len(zones)]
		if err := f.startSide(o); err != nil {
			return err
		}
	}
	return nil
}
