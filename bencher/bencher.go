// Package bencher runs benchmarks. A scenario puts the product and a naive
// baseline under the same load and the same faults in one run, on loopback, and
// compares what the callers and the simulated targets and workers recorded. Slopes
// measures how costs grow with a size.
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
	Sent int `json:"sent"`
	// Completed counts the requests that succeeded within the deadline.
	Completed int `json:"completed"`
	// Weighted is the sum of the weights of the completed requests.
	Weighted int `json:"weighted"`
	NotRun   int `json:"not_run"`
	// Uncertain counts the failed requests that may have run.
	Uncertain int `json:"uncertain"`
	// Late counts the requests that succeeded after the deadline.
	Late int `json:"late"`
	// Cut counts the requests whose connection broke or timed out.
	Cut  int     `json:"cut"`
	P50  float64 `json:"p50_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	// SendsPerRequest is the mean number of times that a request was run by a
	// target.
	SendsPerRequest float64 `json:"sends_per_request"`
	// Kinds holds the latencies of each kind.
	Kinds map[string]KindFigures `json:"kinds"`
	// Batch is nil in scenarios without batch work.
	Batch *BatchFigures `json:"batch,omitempty"`
}

// KindFigures holds the number of successful requests of one kind, late ones
// included, and the quantiles of their latency.
type KindFigures struct {
	Completed int     `json:"completed"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
}

// Result holds the results of both sides of a scenario.
type Result struct {
	Scenario     string  `json:"scenario"`
	Seed         uint64  `json:"seed"`
	Naive        Figures `json:"naive"`
	Plantainrail Figures `json:"plantainrail"`
	// Ratios compares the product with the naive baseline.
	Ratios map[string]float64 `json:"ratios"`
	// Violations describes the product's violations of its guarantees.
	Violations []string `json:"violations"`
}

// Scenario is a load together with injected faults.
type Scenario struct {
	Name    string
	Summary string
	// Rate is the number of requests per second.
	Rate int
	// Length is how long the load lasts.
	Length time.Duration
	// Service is the mean service time of a request at a target.
	Service time.Duration
	// DeadlineMS is the deadline of a request, in ms after it was sent.
	DeadlineMS int
	// Slots is the number of requests that a target can run concurrently.
	Slots int
	// Planned is set if the faults are planned stops only, which must not cut off
	// any request.
	Planned bool
	// Batch is set if batch work runs on the VMs of the targets. Both sides then
	// route requests in the same way, so that their results differ only by how
	// tasks are placed and throttled.
	Batch bool
	// InjectFaults injects the faults until the context ends; nil means none.
	InjectFaults func(context.Context, *scenarioRun)
}

// scenarioRun is the run of one side of a scenario.
type scenarioRun struct {
	scenario Scenario
	cluster  *assembler.Cluster
	network  *silenceableNetwork
	random   *rand.Rand

	submittedTasks atomic.Int64
	// urgentSubmitted holds the time at which each urgent task was submitted.
	urgentSubmitted map[string]time.Time
	// zoneOutFrom and zoneOutTo bound the time in which no task may start in zone b.
	zoneOutFrom, zoneOutTo time.Time

	mu sync.Mutex
	// serving holds the entries that receive requests.
	serving []*assembler.Entry
	tally   *tally
}

// Run runs both sides of a scenario, the naive one first. The seed determines the
// kinds of the requests and the service times.
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
	out.Ratios["capacity"] = float64(out.Plantainrail.Completed) / (s.capacity() * s.Length.Seconds())
	if s.Batch {
		out.Ratios["batch_work"] = ratio(out.Plantainrail.Batch.WorkS, out.Naive.Batch.WorkS)
		out.Ratios["batch_finished"] = ratio(float64(out.Plantainrail.Batch.Finished), float64(out.Naive.Batch.Finished))
	}
	return out, nil
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// capacity returns the number of requests per second that the targets can run.
func (s Scenario) capacity() float64 {
	return float64(targetCount*s.Slots) / s.Service.Seconds()
}

const (
	targetCount       = 6
	readyTimeout      = 20 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

func runSide(ctx context.Context, s Scenario, seed uint64, naive bool) (Figures, []string, error) {
	t, err := newScenarioRun(ctx, s, seed, naive)
	if err != nil {
		return Figures{}, nil, err
	}
	defer t.cluster.Close()
	if err := t.publishTable(ctx); err != nil {
		return Figures{}, nil, err
	}
	disturbed, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	if s.InjectFaults != nil {
		group.Go(func() { s.InjectFaults(disturbed, t) })
	}
	t.load(ctx)
	stop()
	group.Wait()
	tallies := t.cluster.Tallies()
	figures, violations := t.tally.figures(tallies, s)
	if s.Batch {
		batch, wrong := t.batchFigures(tallies)
		figures.Batch = &batch
		violations = append(violations, wrong...)
	}
	return figures, violations, nil
}

func newScenarioRun(ctx context.Context, s Scenario, seed uint64, naive bool) (*scenarioRun, error) {
	t := &scenarioRun{scenario: s, network: newNetwork(), random: rand.New(rand.NewPCG(seed, 1)), tally: newTally(), urgentSubmitted: map[string]time.Time{}}
	serviceRandom := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	o := assembler.Options{
		Network: t.network, Entries: 2, Kinds: []string{"match", "status"}, Slots: s.Slots, Connections: 64,
		Zones: []assembler.Zone{{Name: "a", Agents: 2}, {Name: "b", Agents: 2}, {Name: "c", Agents: 2}}, Seed: seed,
		ServiceTime: func(*http.Request) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(float64(s.Service) * (0.5 + serviceRandom.Float64()))
		},
		Grace: 3 * time.Second,
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
	t.serving = append(t.serving, cluster.Entries...)
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
	if _, err := t.operator(0).Publish(ctx, receiver.PublishRequest{CSV: csv}); err != nil {
		return errors.Wrap(err, "publish table")
	}
	for _, e := range t.serving {
		if err := awaitEntry(ctx, e, targetCount, 1); err != nil {
			return err
		}
	}
	return nil
}

// awaitEntry waits until an entry knows the number of targets and has applied the
// revision of the table or a later one.
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

// entryFor returns the entry for the nth request, round robin over the serving
// entries as a load balancer does.
func (t *scenarioRun) entryFor(n int) *assembler.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serving[n%len(t.serving)]
}

// operator returns a client for operator calls to an entry.
func (t *scenarioRun) operator(n int) *caller.Client {
	return caller.New(t.entryFor(n).Address, "", nil)
}

// replaceEntry starts an entry and then shuts the oldest one down gracefully.
func (t *scenarioRun) replaceEntry(ctx context.Context, name string) {
	added, err := t.cluster.StartEntry(name, "a")
	if err != nil {
		return
	}
	if err := awaitEntry(ctx, added, targetCount, 1); err != nil {
		return
	}
	t.mu.Lock()
	old := t.serving[0]
	t.serving = append(t.serving[1:len(t.serving):len(t.serving)], added)
	t.mu.Unlock()
	_ = old.Stop(context.WithoutCancel(ctx))
}
