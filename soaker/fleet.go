// Package soaker plays seeded series of faults against the program's real processes. Entries and agents
// run as separate processes, with stand-ins of the platform's store and workers, and every connection
// between them goes through a link that can break it. Clients submit jobs throughout. Nothing may wait that
// could run (LOST), and nothing may run twice (TWICE), while the faults are played and at the end.
package soaker

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/plantainrail/plantainrail/standin/keeper"
	"github.com/plantainrail/plantainrail/standin/runner"
)

const (
	pool              = "desk"
	host              = "desk.example"
	heartbeatInterval = 1500 * time.Millisecond
	// maxRuns is the capacity of a worker in tasks of one core.
	maxRuns = 8
)

// operatorConfig has one queue and one service.
const operatorConfig = `{"version":1,"routes":[{"name":"q","host":"desk.example","pathPrefix":"/q/","service":"desk",
"maxAttempts":2,"stretchFactor":2,"targetLatencyMs":500}],"services":[{"name":"desk","rejectsOverload":true}]}`

// Options describe a soak.
type Options struct {
	// Program is the path of the program.
	Program string
	// Folder receives the logs of the processes and the record of the soak.
	Folder string
	// Seed determines the series of faults.
	Seed uint64
	// Bursts is the number of bursts of faults, each of which is followed by a calm time.
	Entries, Agents, Bursts int
	// Kinds holds the names of the kinds of faults; all kinds if it is empty.
	Kinds []string
}

// fleet is the program's processes and the stand-ins around them.
type fleet struct {
	Options
	ctx     context.Context
	started time.Time
	// block is the second number of all addresses of the fleet; lock keeps it from other fleets.
	block int
	lock  net.Listener
	store *keeper.Store
	// record receives the record of the soak.
	record    *os.File
	processes []*process

	// mu guards the fields below and those of the processes.
	mu    sync.Mutex
	lives int
	links []*fleetLink
	// workersLost counts the workers that are gone for good.
	workersLost int
	// faults holds what has been played; the end is zero while it goes on.
	faults []*playedFault
	// stalls holds stretches in which the soak itself stood still.
	stalls []*playedFault
	// full holds stretches in which half of the workers' room was in use.
	full    []Stretch
	jobs    []Job
	lastJob int
	// cancelled holds when the cancellations of jobs were acknowledged, by ID.
	cancelled map[string]time.Time
	findings  []string
	// reported holds the waits that have been reported.
	reported map[string]bool
}

// fleetLink is a link of a kind between two processes. A link to a worker or the store has no to.
type fleetLink struct {
	*Link
	kind     string
	from, to *process
}

// linkKinds are all kinds of links.
var linkKinds = []string{"entry-store", "agent-store", "agent-worker", "worker-agent", "agent-entry", "entry-entry"}

// playedFault is a fault of the series.
type playedFault struct {
	name string
	Stretch
}

// newFleet starts a fleet.
func newFleet(ctx context.Context, o Options) (f *fleet, err error) {
	f = &fleet{Options: o, ctx: ctx, started: time.Now(), store: keeper.New(), reported: map[string]bool{}, cancelled: map[string]time.Time{}}
	if err := f.takeBlock(); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.record, err = os.Create(filepath.Join(o.Folder, "record")); err != nil {
		return f, err
	}
	// With two zones, entries of one zone share a replica.
	zones := 2 + int(o.Seed%2)
	f.store.Put("keyed.op", "config", []byte(operatorConfig))
	for i := range o.Entries + o.Agents {
		p := &process{fleet: f, number: i, role: "entry", name: fmt.Sprint("entry-", i+1), zone: fmt.Sprint("z-", i%zones)}
		if i >= o.Entries {
			n := i - o.Entries
			p.role, p.name, p.zone = "agent", fmt.Sprint("agent-", n+1), fmt.Sprint("z-", n%zones)
		}
		f.processes = append(f.processes, p)
	}
	for _, p := range f.processes {
		if err = f.prepare(p); err != nil {
			return f, err
		}
	}
	for _, p := range f.processes {
		if err = p.start(); err != nil {
			return f, err
		}
	}
	return f, nil
}

// takeBlock finds a block of addresses that no other fleet uses.
func (f *fleet) takeBlock() (err error) {
	// Numbers of three digits; see rewrite.
	const first, blocks = 100, 150
	for range blocks {
		f.block = first + rand.IntN(blocks)
		if f.lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", f.block, peerPort)); err == nil {
			return nil
		}
	}
	return err
}

// address returns the address at which a reader reaches the process that has the number of an address
// (a life). Reader 0 is the process itself, and the one with number n is n+1. All addresses have the same
// length.
func (f *fleet) address(reader, life int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.block, 100+reader, 100+life)
}

// link adds a link between two processes.
func (f *fleet) link(kind string, from, to *process, address, target string) (*Link, error) {
	k, err := NewLink(address, target)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links = append(f.links, &fleetLink{k, kind, from, to})
	return k, nil
}

// anyPort is a free port of the loopback address.
const anyPort = "127.0.0.1:0"

// prepare makes the links of a process, and the worker of an agent.
func (f *fleet) prepare(p *process) error {
	address, err := f.serve(f.storeOf(p))
	if err != nil {
		return err
	}
	k, err := f.link(p.role+"-store", p, nil, anyPort, address)
	if err != nil {
		return err
	}
	p.storeAddress = k.Address()
	if err := f.move(p); err != nil || p.role == "entry" {
		return err
	}
	var worker *runner.Worker
	if address, err = f.serve(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { worker.ServeHTTP(w, req) })); err != nil {
		return err
	}
	if p.workerLink, err = f.link("agent-worker", p, nil, anyPort, address); err != nil {
		return err
	}
	if p.heartbeat, err = f.link("worker-agent", p, nil, anyPort, fmt.Sprint(p.ip(), ":", registryPort)); err != nil {
		return err
	}
	worker = runner.New(runner.Options{
		ID: "w-" + p.name, Service: pool, Zone: p.zone, Address: p.workerLink.Address(), AgentAddress: p.heartbeat.Address(),
		Client: &http.Client{Timeout: time.Second, Transport: &http.Transport{}}, MaxRuns: maxRuns, HeartbeatInterval: heartbeatInterval,
	})
	p.worker = worker
	go worker.Run(f.ctx)
	return nil
}

// maxLives is the number of addresses: the last number is at most 255.
const maxLives = 156

// move gives a process a new address, if one is left, and links from all others to it.
func (f *fleet) move(p *process) error {
	f.mu.Lock()
	if f.lives == maxLives {
		f.mu.Unlock()
		return nil
	}
	p.life = f.lives
	f.lives++
	life, target := p.life, fmt.Sprint(p.ip(), ":", peerPort)
	f.mu.Unlock()
	if p.heartbeat != nil {
		p.heartbeat.SetTarget(fmt.Sprint(p.ip(), ":", registryPort))
	}
	if p.role != "entry" {
		return nil
	}
	for _, from := range f.processes {
		k, err := f.link(from.role+"-entry", from, p, fmt.Sprint(f.address(from.number+1, life), ":", peerPort), target)
		if err != nil {
			return err
		}
		k.mu.Lock()
		k.rewrite = func(raw []byte) []byte { return f.rewrite(from, raw) }
		k.mu.Unlock()
	}
	return nil
}

// publishedAddress is an address at which an entry is reached by others.
var publishedAddress = regexp.MustCompile(`127\.(\d{3})\.\d{3}\.(\d{3}):20101`)

// rewrite puts the addresses at which a process reaches the entries through its links in the place of those
// that the entries have published. The process finds its own address as it has published it.
func (f *fleet) rewrite(reader *process, raw []byte) []byte {
	if !bytes.Contains(raw, []byte(":20101")) {
		return raw
	}
	f.mu.Lock()
	own := reader.life
	f.mu.Unlock()
	return publishedAddress.ReplaceAllFunc(raw, func(address []byte) []byte {
		parts := publishedAddress.FindSubmatch(address)
		octet, err := strconv.Atoi(string(parts[2]))
		if err != nil || string(parts[1]) != strconv.Itoa(f.block) {
			return address
		}
		number := reader.number + 1
		if octet-100 == own {
			number = 0
		}
		return fmt.Appendf(nil, "%s:%d", f.address(number, octet-100), peerPort)
	})
}

// storeOf returns the store as a process reaches it.
func (f *fleet) storeOf(p *process) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		topic := req.URL.Query().Get("topic")
		if strings.Contains(topic, "members") || strings.Contains(topic, "replicas") {
			w = &addressWriter{w, func(raw []byte) []byte { return f.rewrite(p, raw) }, req.URL.Path == "/log-newest"}
		}
		f.store.ServeHTTP(w, req)
	})
}

// addressWriter changes the addresses in an answer, which is written at once.
type addressWriter struct {
	http.ResponseWriter
	rewrite func([]byte) []byte
	// encoded is set if the answer is a list of base64 values.
	encoded bool
}

func (w *addressWriter) Write(raw []byte) (int, error) {
	var list map[string]any
	if !w.encoded || json.Unmarshal(raw, &list) != nil {
		return w.ResponseWriter.Write(w.rewrite(raw))
	}
	items, _ := list["items"].([]any)
	for _, item := range items {
		fields, _ := item.(map[string]any)
		value, _ := fields["value"].(string)
		if decoded, err := base64.StdEncoding.DecodeString(value); err == nil {
			fields["value"] = base64.StdEncoding.EncodeToString(w.rewrite(decoded))
		}
	}
	return len(raw), json.NewEncoder(w.ResponseWriter).Encode(list)
}

// serve serves a stand-in until the soak ends, and returns its address.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(f.ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// note writes a line to the record.
func (f *fleet) note(format string, arguments ...any) {
	_, _ = fmt.Fprintf(f.record, "%s %8.3f %s\n", time.Now().UTC().Format("15:04:05.000"), f.seconds(time.Now()), fmt.Sprintf(format, arguments...))
}

// seconds returns a time since the start of the fleet, in seconds.
func (f *fleet) seconds(t time.Time) float64 { return t.Sub(f.started).Seconds() }

// noteLinks writes to the record how many connections the links of each kind have open.
func (f *fleet) noteLinks() {
	for _, kind := range linkKinds {
		n := f.breakLinks(func(k *fleetLink) bool { return k.kind == kind }, func(k *Link) int { return k.Silence(false, false) })
		f.note("%d connections on %s links", n, kind)
	}
}

// close ends all processes that the fleet has started, and its links.
func (f *fleet) close() {
	var group sync.WaitGroup
	for _, p := range f.processes {
		if p.command != nil {
			group.Go(func() { p.stop(syscall.SIGKILL) })
		}
	}
	group.Wait()
	for _, k := range f.links {
		k.Close()
	}
	_ = f.lock.Close()
	_ = f.record.Close()
}

// workers returns all workers.
func (f *fleet) workers() []*runner.Worker {
	var out []*runner.Worker
	for _, p := range f.processes {
		if p.worker != nil {
			out = append(out, p.worker)
		}
	}
	return out
}

// histories returns the runs on each worker.
func (f *fleet) histories() [][]runner.Span {
	var out [][]runner.Span
	for _, w := range f.workers() {
		out = append(out, w.History())
	}
	return out
}
