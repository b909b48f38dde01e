// Package bencher runs benchmarks on clusters of package assembler. A scenario puts
// the product and a naive baseline (packages rotator and packer) under the same load
// and the same faults, one after the other, on loopback. It compares what the callers
// and the simulated targets and workers recorded. Slopes measures how costs grow with
// a size.
package bencher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/assembler"
	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/packer"
	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/rotator"
)

// Figures holds the results of one side of a scenario.
type Figures struct {
	// Sent counts the requests that were sent. Each of them is counted in one of
	// Completed, NotRun, Uncertain, Late and Cut.
	Sent int `json:"sent"`
	// Completed counts the requests that succeeded within the deadline.
	Completed int `json:"completed"`
	// Weighted is the sum of the weights of the completed requests.
	Weighted int `json:"weighted"`
	// NotRun counts the failed requests that an entry reported as not run.
	NotRun int `json:"not_run"`
	// Uncertain counts the other failed requests, which may have run.
	Uncertain int `json:"uncertain"`
	// Late counts the requests that succeeded after the deadline.
	Late int `json:"late"`
	// Cut counts the requests whose connection broke or timed out.
	Cut int `json:"cut"`
	// P50, P99 and P999 are the quantiles of the latency of all successful requests,
	// late ones included, in ms.
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	// SendsPerRequest is the mean number of times that targets ran a request.
	SendsPerRequest float64 `json:"sends_per_request"`
	// Kinds holds the latencies of each kind.
	Kinds map[string]KindFigures `json:"kinds"`
	// Batch is nil in scenarios without batch work.
	Batch *BatchFigures `json:"batch,omitempty"`
}

// KindFigures holds the number of successful requests of one kind, late ones
// included, and the quantiles of their latency in ms.
type KindFigures struct {
	Succeeded int     `json:"completed"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
}

// Result holds the results of both sides of a scenario: the product and the naive
// baseline.
type Result struct {
	Scenario     string  `json:"scenario"`
	Seed         uint64  `json:"seed"`
	Naive        Figures `json:"naive"`
	Plantainrail Figures `json:"plantainrail"`
	// Ratios holds figures of the product divided by those of the naive baseline, 0
	// if the latter is 0. The exception is "capacity": the product's completed
	// requests divided by the number that the targets can run in the time.
	Ratios map[string]float64 `json:"ratios"`
	// Violations describes the product's violations of its guarantees.
	Violations []string `json:"violations"`
}

// Scenario is a load of requests, optionally with a disturbance.
type Scenario struct {
	Name    string
	Summary string
	// Rate is the number of requests per second.
	Rate int
	// Duration is how long requests are sent.
	Duration time.Duration
	// ServiceTime is the mean service time of a request at a target.
	ServiceTime time.Duration
	// DeadlineMS is the deadline of a request, in ms after it was sent.
	DeadlineMS int
	// Slots is the number of requests that a target can run concurrently.
	Slots int
	// Planned is set if all faults are planned, such as planned stops, so that no
	// request may be cut off.
	Planned bool
	// Batch is set if batch work runs on the VMs of the targets. Both sides then
	// route requests in the same way, so that their results differ only by how
	// tasks are placed and throttled.
	Batch bool
	// Disturb disturbs the run until the context ends: it injects faults, submits extra
	// work or does both. Nil means that nothing disturbs the run.
	Disturb func(context.Context, *scenarioRun)
}

// scenarioRun is the run of one side of a scenario.
type scenarioRun struct {
	scenario Scenario
	cluster  *assembler.Cluster
	network  *silenceableNetwork
	// random chooses the kinds of the requests.
	random *rand.Rand

	// submittedTasks counts the tasks of the accepted jobs of all waves.
	submittedTasks atomic.Int64
	// urgentSubmitted holds the time at which each urgent task was submitted.
	urgentSubmitted map[string]time.Time
	// zoneOutFrom and zoneOutTo bound the time in which no task may start in zone b;
	// zero if the zone was not taken out of service.
	zoneOutFrom, zoneOutTo time.Time

	// mu guards urgentSubmitted and servingEntries.
	mu sync.Mutex
	// servingEntries holds the entries that receive requests.
	servingEntries []*assembler.Entry
	tally          *callerTally
}

// Run runs both sides of a scenario, the naive one first. The seed determines the
// kinds of the requests and the service times, and it seeds the routers.
func Run(ctx context.Context, s Scenario, seed uint64) (Result, error) {
	out := Result{Scenario: s.Name, Seed: seed, Ratios: map[string]float64{}, Violations: []string{}}
	var err error
	if out.Naive, _, err = runSide(ctx, s, seed, true); err != nil {
		return out, err
	}
	var violations []string
	if out.Plantainrail, violations, err = runSide(ctx, s, seed, false); err != nil {
		return out, err
	}
	out.Violations = append(out.Violations, violations...)
	out.Ratios["p50"] = ratio(out.Plantainrail.P50, out.Naive.P50)
	out.Ratios["p99"] = ratio(out.Plantainrail.P99, out.Naive.P99)
	out.Ratios["p999"] = ratio(out.Plantainrail.P999, out.Naive.P999)
	out.Ratios["weighted"] = ratio(float64(out.Plantainrail.Weighted), float64(out.Naive.Weighted))
	out.Ratios["capacity"] = float64(out.Plantainrail.Completed) / (s.capacity() * s.Duration.Seconds())
	if s.Batch {
		out.Ratios["batch_work"] = ratio(out.Plantainrail.Batch.WorkS, out.Naive.Batch.WorkS)
		out.Ratios["batch_finished"] = ratio(float64(out.Plantainrail.Batch.Finished), float64(out.Naive.Batch.Finished))
	}
	return out, nil
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// capacity returns the number of requests per second that the targets can run.
func (s Scenario) capacity() float64 {
	return float64(targetCount*s.Slots) / s.ServiceTime.Seconds()
}

const (
	// targetCount is the number of VMs of a scenario; each has one target.
	targetCount = 6
	// readyTimeout bounds the time until a cluster or a new entry is ready.
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// runSide runs a scenario with the product or with the naive baseline. It returns the
// results and a description of each violation of the product's guarantees.
func runSide(ctx context.Context, s Scenario, seed uint64, naive bool) (Figures, []string, error) {
	t, err := newScenarioRun(ctx, s, seed, naive)
	if err != nil {
		return Figures{}, nil, err
	}
	defer t.cluster.Close()
	if err := t.publishTable(ctx); err != nil {
		return Figures{}, nil, err
	}
	disturbCtx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	if s.Disturb != nil {
		group.Go(func() { s.Disturb(disturbCtx, t) })
	}
	t.sendLoad(ctx)
	stop()
	group.Wait()
	tallies := t.cluster.Tallies()
	figures, violations := t.tally.figures(tallies, s)
	if s.Batch {
		batch, batchViolations := t.batchFigures(tallies)
		figures.Batch = &batch
		violations = append(violations, batchViolations...)
	}
	return figures, violations, nil
}

// newScenarioRun starts the cluster of one side: two entries, and two agents in each
// of three zones. Service times are evenly distributed between half and one and a half
// times the mean.
func newScenarioRun(ctx context.Context, s Scenario, seed uint64, naive bool) (*scenarioRun, error) {
	t := &scenarioRun{scenario: s, network: newNetwork(), random: rand.New(rand.NewPCG(seed, 1)), tally: newCallerTally(), urgentSubmitted: map[string]time.Time{}}
	serviceRandom := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	o := assembler.Options{
		Network: t.network, Entries: 2, Kinds: []string{"match", "status"}, Slots: s.Slots, Connections: 64,
		Zones: []assembler.Zone{{Name: "a", Agents: 2}, {Name: "b", Agents: 2}, {Name: "c", Agents: 2}}, Seed: seed,
		ServiceTime: func(*http.Request) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(float64(s.ServiceTime) * (0.5 + serviceRandom.Float64()))
		},
		LeaveGrace: 3 * time.Second,
	}
	if s.Batch {
		o.Capacity = plantainrail.Resources{Processors: 4000, Memory: 16_000}
		o.KindProfiles = batchProfiles()
	}
	if naive {
		s.configureNaive(&o)
	}
	cluster, err := assembler.New(ctx, o)
	if err != nil {
		return nil, err
	}
	t.cluster = cluster
	t.servingEntries = append(t.servingEntries, cluster.Entries...)
	return t, nil
}

// configureNaive replaces the part of the product that the scenario measures by
// the naive baseline: for batch work, first-fit placement by declared sizes
// without throttling; otherwise, round-robin routing with unbounded queues at the
// targets.
func (s Scenario) configureNaive(o *assembler.Options) {
	if s.Batch {
		o.PlaceTasks = packer.Place
		o.DisableThrottling = true
		o.DeclaredResourcesOnly = true
		return
	}
	o.Router = func(string, uint64) plantainrail.Router { return rotator.New() }
	o.UnlimitedQueues = true
}

// publishTable publishes the table and waits until every entry has applied it and
// knows every target.
func (t *scenarioRun) publishTable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	deadline := strconv.Itoa(t.scenario.DeadlineMS)
	csv := "kind,path,class,weight,queue,idempotent,deadline_ms,slo_ms,processors,memory_mb\n" +
		"match,/match,latency-critical,5,16,no," + deadline + ",40,,\n" +
		"status,/status,latency-critical,1,16,yes," + deadline + ",40,,\n" + batchRows
	if _, err := t.operatorClient(0).Publish(ctx, receiver.PublishRequest{CSV: csv}); err != nil {
		return errors.Wrap(err, "publish table")
	}
	for _, e := range t.servingEntries {
		if err := awaitEntry(ctx, e, targetCount, 1); err != nil {
			return err
		}
	}
	return nil
}

// awaitEntry waits until an entry knows at least minTargets targets and has applied
// the table's revision minRevision or a later one. It returns an error after
// readyTimeout or when ctx ends.
func awaitEntry(ctx context.Context, e *assembler.Entry, minTargets int, minRevision int64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for e.Table().Revision < minRevision || e.TargetCount() < minTargets {
		select {
		case <-ctx.Done():
			return errors.New("timed out waiting for an entry to learn its targets and the table")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// entryFor returns the entry that gets the nth request. It goes round robin over the
// serving entries, as a load balancer does.
func (t *scenarioRun) entryFor(n int) *assembler.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.servingEntries[n%len(t.servingEntries)]
}

// operatorClient returns a client for operator calls to the entry that entryFor returns
// for n.
func (t *scenarioRun) operatorClient(n int) *caller.Client {
	return caller.New(t.entryFor(n).Address, "", nil)
}

// replaceEntry starts an entry and then drains and stops the oldest serving one. If the
// new entry does not get ready, the old ones keep serving. The drain is completed even
// if the load ends meanwhile.
func (t *scenarioRun) replaceEntry(ctx context.Context, name string) {
	added, err := t.cluster.StartEntry(name, "a")
	if err != nil {
		return
	}
	if err := awaitEntry(ctx, added, targetCount, 1); err != nil {
		return
	}
	t.mu.Lock()
	old := t.servingEntries[0]
	// With the capacity limited to the length, append copies the slice.
	t.servingEntries = append(t.servingEntries[1:len(t.servingEntries):len(t.servingEntries)], added)
	t.mu.Unlock()
	_ = old.Stop(context.WithoutCancel(ctx))
}
