package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/receiver"
)

// waitTimeout bounds every wait. It is generous, since these tests do not check
// speed.
const waitTimeout = 60 * time.Second

// programPath is the path of the program under test.
var programPath string

// TestMain builds the program, so that the tests can run it in separate processes.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "plantainrail")
	if err != nil {
		panic(err)
	}
	programPath = filepath.Join(dir, "plantainrail")
	build := exec.Command("go", "build", "-o", programPath, ".")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// start starts the program with the given arguments. The process is killed when the
// test ends; its output is logged if the test failed.
func start(t *testing.T, args ...string) *exec.Cmd {
	t.Helper()
	return startWith(t, nil, args...)
}

// startWith is start with variables in addition to the environment of the test.
func startWith(t *testing.T, variables []string, args ...string) *exec.Cmd {
	t.Helper()
	command := exec.Command(programPath, args...)
	command.Env = append(os.Environ(), variables...)
	output, err := os.CreateTemp(t.TempDir(), "output")
	assert.NilError(t, err)
	command.Stdout = output
	command.Stderr = output
	assert.NilError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGCONT)
		_ = command.Process.Kill()
		_ = command.Wait()
		if t.Failed() {
			raw, _ := os.ReadFile(output.Name())
			t.Logf("%v:\n%s", args, tail(raw))
		}
	})
	return command
}

// tail returns the end of a process's output.
func tail(raw []byte) []byte {
	const limit = 4000
	return raw[max(0, len(raw)-limit):]
}

const (
	// The tests' processes listen on portCount ports from firstPort. They are below
	// the ephemeral port range, so that no outgoing connection can take a port after
	// it was chosen and before its process listens on it.
	firstPort = 20_000
	portCount = 10_000
)

// portsChosen counts the ports that freeAddress has tried.
var portsChosen atomic.Int64

// freeAddress returns a loopback address with a free port. It returns no port twice
// in a run of the tests and skips ports that are in use. The process ID makes
// concurrent runs of the tests begin at different ports.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range portCount {
		port := firstPort + (os.Getpid()+int(portsChosen.Add(1)))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", address); err == nil {
			assert.NilError(t, l.Close())
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// TestFreeAddressesAvoidEphemeralPorts guards against a fault of the tests themselves:
// an outgoing connection that takes the port of a process before it listens.
func TestFreeAddressesAvoidEphemeralPorts(t *testing.T) {
	low, high := 32_768, 65_535
	if raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range"); err == nil {
		_, err = fmt.Sscan(string(raw), &low, &high)
		assert.NilError(t, err)
	}
	seen := map[string]bool{}
	for range 200 {
		address := freeAddress(t)
		assert.Assert(t, !seen[address], "%s was chosen twice", address)
		seen[address] = true
		_, port, err := net.SplitHostPort(address)
		assert.NilError(t, err)
		number, err := strconv.Atoi(port)
		assert.NilError(t, err)
		assert.Assert(t, number < low || number > high, "%d is in the ephemeral port range", number)
	}
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, settings map[string]any) string {
	t.Helper()
	raw, err := json.Marshal(settings)
	assert.NilError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	assert.NilError(t, os.WriteFile(path, raw, 0o600))
	return path
}

// eventually waits until the condition holds. If it does not hold within waitTimeout,
// the test fails with a message that names what was waited for.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

const testTable = `kind,path,class,weight,idempotent,deadline_ms,processors,memory_mb
match,/match,latency-critical,5,no,30000,,
status,/status,latency-critical,1,yes,30000,,
feed,/feed,latency-critical,1,yes,30000,,
rebuild,,batch,3,,,1,512
`

// testCluster is a cluster of separate processes. The lists have one element for each
// entry or VM.
type testCluster struct {
	// The following are the addresses on which the processes listen.
	log     string
	entries []string
	agents  []string
	targets []string
	workers []string

	logCommand    *exec.Cmd
	entryCommands []*exec.Cmd
	agentCommands []*exec.Cmd
	// agentSettings holds the paths of the agents' settings files.
	agentSettings  []string
	entryClients   []*caller.Client
	targetNames    []string
	workerCommands []*exec.Cmd
}

// newTestCluster starts a log service, entries, and VMs with an agent, a target and a
// worker each, publishes testTable, and waits until every entry knows the table and
// the targets. A route, unless nil, maps the address of an entry to the one that agents
// use for it.
func newTestCluster(t *testing.T, entries, vms int, route func(string) string) *testCluster {
	t.Helper()
	p := &testCluster{log: freeAddress(t)}
	p.logCommand = start(t, "standin", "log", "--listen", p.log)
	var routed []string
	for i := range entries {
		address := freeAddress(t)
		public := address
		if route != nil {
			public = route(address)
		}
		routed = append(routed, public)
		settings := writeSettings(t, map[string]any{
			"role": "entry", "name": fmt.Sprintf("entry-%d", i), "zone": "zone-0", "listen": address, "address": public,
			"log_service": "http://" + p.log,
		})
		p.entries = append(p.entries, address)
		p.entryCommands = append(p.entryCommands, start(t, "entry", "--settings", settings))
		p.entryClients = append(p.entryClients, caller.New(address, "", nil))
	}
	for i := range vms {
		p.addVM(t, i, routed)
	}
	eventually(t, "table published", func() bool {
		_, err := p.entryClients[0].Publish(context.Background(), receiver.PublishRequest{ID: "first", CSV: testTable, Editor: "test"})
		return err == nil
	})
	for _, c := range p.entryClients {
		eventually(t, "targets known", func() bool {
			targets, err := c.Targets(context.Background())
			table, tableErr := c.Table(context.Background())
			return err == nil && tableErr == nil && len(targets) == vms && table.Revision == 1
		})
	}
	return p
}

// addVM starts the processes of VM i, whose agent connects to the entries. Each VM is
// in its own availability zone.
func (p *testCluster) addVM(t *testing.T, i int, entries []string) {
	t.Helper()
	agent, target, worker := freeAddress(t), freeAddress(t), freeAddress(t)
	zone := fmt.Sprintf("zone-%d", i)
	name := fmt.Sprintf("vm-%d", i)
	p.workerCommands = append(p.workerCommands, start(t, "standin", "worker", "--listen", worker, "--name", name, "--zone", zone))
	settings := writeSettings(t, map[string]any{
		"role": "agent", "name": name, "zone": zone, "listen": agent, "entries": entries,
		"capacity": map[string]any{"processors": 32000, "memory_mb": 128000}, "runtime": "http://" + worker,
	})
	eventually(t, "worker up", func() bool { return reachable(worker) })
	p.agentSettings = append(p.agentSettings, settings)
	p.agentCommands = append(p.agentCommands, start(t, "agent", "--settings", settings))
	start(t, "standin", "target", "--listen", target, "--name", name+"-target", "--agent", "http://"+agent, "--kinds", "match,status,feed")
	p.agents = append(p.agents, agent)
	p.targets = append(p.targets, target)
	p.workers = append(p.workers, worker)
	p.targetNames = append(p.targetNames, name+"-target")
}

// reachable reports whether a process listens on the address.
func reachable(address string) bool {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// callResult is the response or error that a caller received.
type callResult struct {
	status  int
	outcome string
	body    string
	id      string
	err     error
}

// post sends a request to an entry, with an Idempotency-Key unless key is empty.
func post(address, path, key string) callResult {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader("slot"))
	if err != nil {
		return callResult{err: err}
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header.Get("X-Outcome"), string(body), response.Header.Get("X-Request-Id"), err}
}

func TestRequestAndJobThroughSeparateProcesses(t *testing.T) {
	p := newTestCluster(t, 1, 1, nil)
	got := post(p.entries[0], "/match?echo=hello", "")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	// A target responds with the request's ID, its echo and the length of its body.
	assert.Equal(t, got.body, got.id+" hello 4\n")

	ctx := context.Background()
	job, err := p.entryClients[0].Submit(ctx, receiver.JobSubmission{ID: "week-49", Kind: "rebuild", Team: "rota", Tasks: 3, Work: 300})
	assert.NilError(t, err)
	eventually(t, "job finished", func() bool {
		shown, err := p.entryClients[0].Job(ctx, job.ID)
		return err == nil && shown.States["finished"] == 3
	})
}
