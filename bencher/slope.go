package bencher

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/assembler"
	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/parser"
	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/reducer"
)

// Slope is a cost as a linear function of a size, fitted by least squares over at
// least four sizes.
type Slope struct {
	// Name is the measured cost. In names, "fold" means the replay of the log into a
	// state.
	Name string `json:"name"`
	// Unit is the unit of the cost.
	Unit string `json:"unit"`
	// Per is what the size counts.
	Per   string    `json:"per"`
	Sizes []float64 `json:"sizes"`
	// Costs holds the measured cost at each size.
	Costs []float64 `json:"costs"`
	// Slope and Intercept are the fitted parameters: cost = Intercept + Slope * size.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"base"`
	// Residual is the root mean square of the errors of the fit, each relative to the
	// measured cost.
	Residual float64 `json:"residual"`
}

// Slopes measures the costs of state, table parsing, idle sessions and requests on
// this machine.
func Slopes(ctx context.Context) ([]Slope, error) {
	slopes := []Slope{replayTime(), stateMemory(), snapshotSize(), parseTime()}
	idle, err := sessionCosts(ctx)
	if err != nil {
		return nil, err
	}
	slopes = append(slopes, idle...)
	request, err := requestCosts(ctx)
	return append(slopes, request...), err
}

// fitSlope returns s with the parameters that fit its sizes and costs, by linear least
// squares.
func fitSlope(s Slope) Slope {
	n := float64(len(s.Sizes))
	var sx, sy, sxx, sxy float64
	for i, x := range s.Sizes {
		y := s.Costs[i]
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	s.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Intercept = (sy - s.Slope*sx) / n
	var squares float64
	for i, x := range s.Sizes {
		// The lower bound avoids a division by zero.
		relative := (s.Costs[i] - s.Intercept - s.Slope*x) / math.Max(math.Abs(s.Costs[i]), 1e-9)
		squares += relative * relative
	}
	s.Residual = math.Sqrt(squares / n)
	return s
}

// measure measures a cost at each size and fits the slope.
func measure(s Slope, sizes []int, cost func(int) float64) Slope {
	for _, size := range sizes {
		s.Sizes = append(s.Sizes, float64(size))
		s.Costs = append(s.Costs, cost(size))
	}
	return fitSlope(s)
}

// taskCounts are the sizes of the measured states.
var taskCounts = []int{2000, 4000, 8000, 12_000, 16_000}

// stateWithTasks replays a log in which the given number of tasks were assigned,
// and returns the resulting state. The tasks belong to jobs of four tasks each, spread
// over 280 teams and 660 workers.
func stateWithTasks(tasks int) *reducer.State {
	s := reducer.New()
	var nextOffset plantainrail.Offset
	add := func(r plantainrail.Record) {
		r.Offset = nextOffset
		r.ID = fmt.Sprintf("%024d", nextOffset)
		r.Time = time.Now()
		nextOffset++
		s.Apply(r)
	}
	const perJob = 4
	for j := range tasks / perJob {
		job := fmt.Sprintf("job-%08d", j)
		add(plantainrail.Record{Job: &plantainrail.JobRecord{ID: job, Kind: "rebuild", Team: fmt.Sprint(j % 280), Tasks: perJob}})
		for i := range perJob {
			ref := plantainrail.AttemptRef{Task: assembler.TaskID(job, i), Attempt: 1}
			worker := fmt.Sprintf("vm-%d", j%660)
			add(plantainrail.Record{Task: &plantainrail.TaskRecord{AttemptRef: ref, Event: plantainrail.TaskAssign, Worker: worker, Incarnation: "1"}})
		}
	}
	return s
}

// replayTime measures the time to replay the log.
func replayTime() Slope {
	return measure(Slope{Name: "fold of the log", Unit: "ms", Per: "assigned task"}, taskCounts, func(n int) float64 {
		start := time.Now()
		stateWithTasks(n)
		return float64(time.Since(start)) / float64(time.Millisecond)
	})
}

// heapKiB collects garbage and returns the allocated heap in KiB.
func heapKiB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1024
}

// stateMemory measures the heap that the state of package reducer uses.
func stateMemory() Slope {
	return measure(Slope{Name: "memory of the fold", Unit: "KiB", Per: "assigned task"}, taskCounts, func(n int) float64 {
		before := heapKiB()
		s := stateWithTasks(n)
		after := heapKiB()
		runtime.KeepAlive(s)
		return after - before
	})
}

// snapshotSize measures the size of the snapshot of the state in the log. A failed
// snapshot makes the slope NaN.
func snapshotSize() Slope {
	return measure(Slope{Name: "snapshot record", Unit: "KiB", Per: "assigned task"}, taskCounts, func(n int) float64 {
		record, err := stateWithTasks(n).Snapshot()
		if err != nil {
			return math.NaN()
		}
		return float64(len(record.State)) / 1024
	})
}

// parseTime measures the time to parse a table.
func parseTime() Slope {
	const repeats = 20
	return measure(Slope{Name: "reading a table", Unit: "ms", Per: "row"}, []int{100, 200, 400, 800}, func(n int) float64 {
		var t plantainrail.Table
		for i := range n {
			t.Kinds = append(t.Kinds, plantainrail.Kind{Name: fmt.Sprintf("kind-%d", i), Class: plantainrail.ClassBatch, Weight: 1, DeadlineMS: 1000})
		}
		csv := parser.Format(t)
		start := time.Now()
		for range repeats {
			// The table comes from Format, so it can be parsed.
			_, _ = parser.Parse(csv)
		}
		return float64(time.Since(start)) / float64(time.Millisecond) / repeats
	})
}

// processorTimeMS returns the processor time that the process has used, in ms. The
// error is ignored, because the call cannot fail for the process itself.
func processorTimeMS() float64 {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano()+u.Stime.Nano()) / float64(time.Millisecond)
}

// smallCluster starts a cluster with one entry and the given number of VMs in one zone.
// Each VM has an agent, a target and a simulated worker.
func smallCluster(ctx context.Context, agents int) (*assembler.Cluster, error) {
	return assembler.New(ctx, assembler.Options{
		Network: assembler.Loopback{}, Entries: 1, Zones: []assembler.Zone{{Name: "a", Agents: agents}},
		Kinds: []string{"match"}, Slots: 8, Connections: 64, Capacity: plantainrail.Resources{Processors: 32_000, Memory: 64_000},
	})
}

// idleDuration is how long idle sessions are measured.
const idleDuration = 4 * time.Second

// sessionCosts measures idle sessions between one entry and a number of agents: the
// bytes of messages in both directions, and the processor time and memory of the whole
// cluster, which includes the announcements of its targets. The name "frames both ways"
// means the bytes of all messages, each of which holds one or more frames. "Stand-ins" are
// the simulated log, targets and workers that smallCluster also starts.
func sessionCosts(ctx context.Context) ([]Slope, error) {
	traffic := Slope{Name: "idle sessions, frames both ways", Unit: "B/s", Per: "session"}
	processor := Slope{Name: "idle agents with entry and stand-ins", Unit: "ms/s", Per: "agent"}
	memory := Slope{Name: "idle agents with entry and stand-ins", Unit: "KiB", Per: "agent"}
	for _, agents := range []int{5, 10, 20, 40} {
		before := heapKiB()
		c, err := smallCluster(ctx, agents)
		if err != nil {
			return nil, err
		}
		if err := awaitEntry(ctx, c.Entries[0], agents, 0); err != nil {
			return nil, err
		}
		// Wait, so that the startup is not measured.
		time.Sleep(idleDuration / 4)
		bytesBefore, usedBefore := c.Entries[0].SessionBytes(), processorTimeMS()
		time.Sleep(idleDuration)
		size := float64(agents)
		seconds := idleDuration.Seconds()
		traffic.Sizes, traffic.Costs = append(traffic.Sizes, size), append(traffic.Costs, float64(c.Entries[0].SessionBytes()-bytesBefore)/seconds)
		processor.Sizes, processor.Costs = append(processor.Sizes, size), append(processor.Costs, (processorTimeMS()-usedBefore)/seconds)
		memory.Sizes, memory.Costs = append(memory.Sizes, size), append(memory.Costs, heapKiB()-before)
		if err := c.Close(); err != nil {
			return nil, err
		}
	}
	return []Slope{fitSlope(traffic), fitSlope(processor), fitSlope(memory)}, nil
}

// requestCosts measures the total time of small requests that are sent through an entry
// and an agent, and of those that are sent directly to the target, each with 16 callers
// and with one. For requests through entry and agent from 16 callers it also measures
// the processor time of the whole process, callers included. It sends some requests
// before it measures, so that the connections are open.
func requestCosts(ctx context.Context) ([]Slope, error) {
	c, err := smallCluster(ctx, 1)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := awaitEntry(ctx, c.Entries[0], 1, 0); err != nil {
		return nil, err
	}
	entry := c.Entries[0]
	if _, err := caller.New(entry.Address, "", nil).Publish(ctx, receiver.PublishRequest{CSV: "kind,path,class,queue,deadline_ms\nmatch,/match,latency-critical,64,20000\n"}); err != nil {
		return nil, errors.Wrap(err, "publish table")
	}
	if err := awaitEntry(ctx, entry, 1, 1); err != nil {
		return nil, err
	}
	client := c.Client("caller")
	through, direct := "http://"+entry.Address+"/match", "http://"+c.VMs[0].TargetAddress()+"/match"
	sendRequests(client, through, 2000, 16)
	sendRequests(client, direct, 2000, 16)
	sizes := []int{2000, 4000, 8000, 12_000}
	list := []Slope{}
	for _, w := range []struct {
		name, url string
		callers   int
	}{{"requests through entry and agent, 16 callers", through, 16}, {"requests straight to the target, 16 callers", direct, 16}, {"requests through entry and agent, 1 caller", through, 1}, {"requests straight to the target, 1 caller", direct, 1}} {
		list = append(list, measure(Slope{Name: w.name, Unit: "ms", Per: "request"}, sizes, func(n int) float64 { return sendRequests(client, w.url, n, w.callers) }))
	}
	list = append(list, measure(Slope{Name: "processor time of requests with their callers", Unit: "ms", Per: "request"}, sizes, func(n int) float64 {
		before := processorTimeMS()
		sendRequests(client, through, n, 16)
		return processorTimeMS() - before
	}))
	return list, nil
}

// sendRequests sends requests from concurrent callers, each of which waits for the
// response before its next request (closed loop). It returns the total time in ms. Failed
// requests are not repeated, and count like the others.
func sendRequests(client *http.Client, url string, total, callers int) float64 {
	start := time.Now()
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for range total / callers {
				response, err := client.Post(url, "text/plain", strings.NewReader("slot"))
				if err != nil {
					continue
				}
				buffer := make([]byte, 512)
				for err == nil {
					_, err = response.Body.Read(buffer)
				}
				_ = response.Body.Close()
			}
		})
	}
	group.Wait()
	return float64(time.Since(start)) / float64(time.Millisecond)
}
