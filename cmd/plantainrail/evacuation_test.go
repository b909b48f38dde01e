package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/standin/keeper"
	"github.com/plantainrail/plantainrail/standin/runner"
)

// nodeCluster runs entries and agents of the users' platform as separate processes, with
// stand-ins of the store and of the workers in the process of the test. Worker i is in the
// availability zone zone-i.
type nodeCluster struct {
	store          *keeper.Store
	storeAddress   string
	entrySettings  []string
	entryAddresses []string
	entryCommands  []*exec.Cmd
	workers        []*runner.Worker
}

// evacuatedZone is the availability zone that the tests evacuate: that of the first worker.
const evacuatedZone = "zone-0"

// evacuationBound is how long after an evacuation tasks may still start in the zone.
const evacuationBound = 5 * time.Second

const nodeConfig = `{"version":1,"routes":[{"name":"q","host":"desk.example","pathPrefix":"/q/","service":"desk",
"maxAttempts":2,"stretchFactor":2,"targetLatencyMs":500}],"services":[{"name":"desk","rejectsOverload":true}]}`

func newNodeCluster(t *testing.T, entries, workers int) *nodeCluster {
	t.Helper()
	c := &nodeCluster{store: keeper.New()}
	c.storeAddress = serveStandin(t, c.store)
	c.store.Put("keyed.op", "config", []byte(nodeConfig))
	for i := range entries {
		frontend := freeAddress(t)
		c.entryAddresses = append(c.entryAddresses, frontend)
		c.entrySettings = append(c.entrySettings, c.writeNodeSettings(t, fmt.Sprint("entry-", i), fmt.Sprint("zone-", i),
			"listen.frontend="+frontend, "listen.ready="+freeAddress(t)))
		c.entryCommands = append(c.entryCommands, nil)
		c.startEntry(t, i)
	}
	for i := range workers {
		c.addWorker(t, i)
	}
	return c
}

// serveStandin serves a stand-in until the test ends, and returns its address.
func serveStandin(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// writeNodeSettings writes the platform's settings of a process and returns the path.
func (c *nodeCluster) writeNodeSettings(t *testing.T, name, zone string, lines ...string) string {
	t.Helper()
	_, peerPort, err := net.SplitHostPort(freeAddress(t))
	assert.NilError(t, err)
	lines = append(lines, "nodeName="+name, "ip=127.0.0.1", "zone="+zone, "internalPortRange="+peerPort+","+peerPort,
		"limits.cpuShare=1", "limits.cores=1", "heartbeatMs=1500", "platform.address="+c.storeAddress)
	path := filepath.Join(t.TempDir(), name+".conf")
	assert.NilError(t, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
	return path
}

func (c *nodeCluster) startEntry(t *testing.T, i int) {
	t.Helper()
	c.entryCommands[i] = startWith(t, []string{"PLANTAINRAIL_NODE_FILE=" + c.entrySettings[i]}, "node", "entry")
}

// addWorker starts a stand-in worker and its agent.
func (c *nodeCluster) addWorker(t *testing.T, i int) {
	t.Helper()
	zone, agentAddress := fmt.Sprint("zone-", i), freeAddress(t)
	var worker atomic.Pointer[runner.Worker]
	workerAddress := serveStandin(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { worker.Load().ServeHTTP(w, req) }))
	w := runner.New(runner.Options{
		ID: fmt.Sprint("w-", i), Service: "desk", Zone: zone, Address: workerAddress, AgentAddress: agentAddress,
		Client: &http.Client{Timeout: 2 * time.Second}, MaxRuns: 6, HeartbeatInterval: 1500 * time.Millisecond,
	})
	worker.Store(w)
	go w.Run(t.Context())
	c.workers = append(c.workers, w)
	settings := c.writeNodeSettings(t, fmt.Sprint("vm-", i), zone, "listen.controlPlane="+agentAddress, "app="+workerAddress, "service=desk")
	startWith(t, []string{"PLANTAINRAIL_NODE_FILE=" + settings}, "node", "agent")
}

// submit submits a job of tasks that last for the given time, until an entry accepts it.
func (c *nodeCluster) submit(t *testing.T, id string, tasks int, duration time.Duration) {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"spec": fmt.Sprint(duration.Milliseconds()), "steps": []map[string]any{{"count": tasks, "cpu": 1000, "estimateMs": duration.Milliseconds()}},
	})
	assert.NilError(t, err)
	eventually(t, "the job is accepted", func() bool { return c.call(http.MethodPost, id, body) == http.StatusOK })
}

// call makes a client's call to the first entry that answers it, and returns the HTTP status.
func (c *nodeCluster) call(method, id string, body []byte) int {
	client := &http.Client{Timeout: 3 * time.Second}
	for _, address := range c.entryAddresses {
		req, err := http.NewRequest(method, "http://"+address+"/q/"+id, bytes.NewReader(body))
		if err != nil {
			return 0
		}
		req.Host = "desk.example"
		response, err := client.Do(req)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	return 0
}

// runs returns the number of runs on a worker, and of those that began after an instant.
func runs(w *runner.Worker, after time.Time) (all, late int) {
	for _, span := range w.History() {
		all++
		if span.Start.After(after) {
			late++
		}
	}
	return all, late
}

// evacuate evacuates evacuatedZone and returns the time from which nothing may start there.
func (c *nodeCluster) evacuate() time.Time {
	c.store.Put("keyed.op", "evacuate/"+evacuatedZone, []byte("{}"))
	return time.Now().Add(evacuationBound)
}

// checkNothingStarted fails the test if a task started in the evacuated zone too late. It then ends
// the evacuation, and waits until a task has started there.
func (c *nodeCluster) checkNothingStarted(t *testing.T, limit time.Time) {
	t.Helper()
	_, late := runs(c.workers[0], limit)
	assert.Check(t, late == 0, "%d starts in the evacuated zone after the bound", late)
	c.store.Put("keyed.op", "evacuate/"+evacuatedZone, nil)
	end := time.Now()
	eventually(t, "tasks start in the zone again", func() bool {
		_, started := runs(c.workers[0], end)
		return started > 0
	})
	var histories [][]runner.Span
	for _, w := range c.workers {
		histories = append(histories, w.History())
	}
	assert.DeepEqual(t, runner.Violations(histories...), []string(nil))
}

// Guards against starts in an evacuated zone (EVAC) of runs that were assigned before all entries
// lost power while the store was slow.
func TestEntriesThatLostPowerStartNothingInAnEvacuatedZone(t *testing.T) {
	t.Parallel()
	c := newNodeCluster(t, 3, 2)
	c.submit(t, fmt.Sprintf("%016x", 1), 1, 10*time.Millisecond)
	eventually(t, "a task has run", func() bool {
		first, _ := runs(c.workers[0], time.Time{})
		second, _ := runs(c.workers[1], time.Time{})
		return first+second > 0
	})
	// The power goes while the assignments are being stored.
	c.store.SetAppendTime(300 * time.Millisecond)
	c.submit(t, fmt.Sprintf("%016x", 2), 300, 300*time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	for _, command := range c.entryCommands {
		assert.NilError(t, command.Process.Kill())
		// The error is that the process was killed.
		_ = command.Wait()
	}
	time.Sleep(300 * time.Millisecond)
	limit := c.evacuate()
	c.store.SetAppendTime(0)
	time.Sleep(9 * time.Second)
	for i := range c.entryCommands {
		c.startEntry(t, i)
	}
	time.Sleep(5 * time.Second)
	c.checkNothingStarted(t, limit)
}

// Guards against starts in an evacuated zone (EVAC) by an owner that was frozen when the zone was
// evacuated, with nobody up to take the ownership.
func TestFrozenOwnerStartsNothingInAnEvacuatedZone(t *testing.T) {
	t.Parallel()
	c := newNodeCluster(t, 1, 2)
	c.submit(t, fmt.Sprintf("%016x", 1), 600, 300*time.Millisecond)
	eventually(t, "tasks run", func() bool {
		n, _ := runs(c.workers[0], time.Time{})
		return n > 0
	})
	for range 3 {
		owner := c.entryCommands[0].Process
		assert.NilError(t, owner.Signal(syscall.SIGSTOP))
		limit := c.evacuate()
		time.Sleep(evacuationBound + 200*time.Millisecond)
		assert.NilError(t, owner.Signal(syscall.SIGCONT))
		time.Sleep(2 * time.Second)
		c.checkNothingStarted(t, limit)
	}
}
