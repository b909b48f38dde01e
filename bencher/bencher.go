// Package bencher is the load and experiment tool: it puts the product and a
// naive version under the same load and the same disturbance in one run, on
// loopback, and counts what the callers and the stand-ins saw.
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
	"github.com/plantainrail/plantainrail/filler"
	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/rotator"
)

// Figures are what one side of a scenario reached.
type Figures struct {
	Sent      int     `json:"sent"`
	Completed int     `json:"completed"`
	Weighted  int     `json:"weighted"`
	NotRun    int     `json:"not_run"`
	Uncertain int     `json:"uncertain"`
	Late      int     `json:"late"`
	Cut       int     `json:"cut"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
	// SendsPerRequest counts the hand-overs to targets for each request.
	SendsPerRequest float64 `json:"sends_per_request"`
	// Kinds holds the latencies by kind.
	Kinds map[string]KindFigures `json:"kinds"`
	// Batch is set in scenarios with batch work.
	Batch *BatchFigures `json:"batch,omitempty"`
}

// KindFigures are the latencies of one kind's completed requests.
type KindFigures struct {
	Completed int     `json:"completed"`
	P50       float64 `json:"p50_ms"`
	P99       float64 `json:"p99_ms"`
	P999      float64 `json:"p999_ms"`
}

// Result is the outcome of a scenario.
type Result struct {
	Scenario     string             `json:"scenario"`
	Seed         uint64             `json:"seed"`
	Naive        Figures            `json:"naive"`
	Plantainrail Figures            `json:"plantainrail"`
	Ratios       map[string]float64 `json:"ratios"`
	Violations   []string           `json:"violations"`
}

// Scenario is a load with a disturbance.
type Scenario struct {
	Name    string
	Summary string
	// Rate is the number of requests a second.
	Rate int
	// Length is how long the load lasts.
	Length time.Duration
	// Service is the mean time of a request at a target.
	Service time.Duration
	// Deadline is the time in ms that a request has.
	DeadlineMS int
	Slots      int
	// Planned is set when the disturbance is made of planned stops alone, which
	// may cut off nothing.
	Planned bool
	// Batch is set when batch work shares the VMs. Both sides route requests
	// alike then, so that the difference is that of the task path.
	Batch   bool
	Disturb func(context.Context, *trial)
}

// trial is one side of a scenario while it runs.
type trial struct {
	scenario Scenario
	cluster  *assembler.Cluster
	gates    *gates
	random   *rand.Rand

	submitted atomic.Int64
	// urgent holds when each urgent task was submitted.
	urgent map[string]time.Time
	// outFrom and outTo bound the time in which nothing may start in zone b.
	outFrom, outTo time.Time

	mu      sync.Mutex
	serving []*assembler.Entry
	tally   *tally
}

// Run runs both sides of a scenario, the naive one first.
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

// capacity is the number of requests a second that the targets can run.
func (s Scenario) capacity() float64 {
	return float64(targets*s.Slots) / s.Service.Seconds()
}

const (
	targets    = 6
	readyLimit = 20 * time.Second
	readyPoll  = 20 * time.Millisecond
)

func runSide(ctx context.Context, s Scenario, seed uint64, naive bool) (Figures, []string, error) {
	t, err := newTrial(ctx, s, seed, naive)
	if err != nil {
		return Figures{}, nil, err
	}
	defer t.cluster.Close()
	if err := t.ready(ctx); err != nil {
		return Figures{}, nil, err
	}
	disturbed, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	if s.Disturb != nil {
		group.Go(func() { s.Disturb(disturbed, t) })
	}
	t.load(ctx)
	stop()
	group.Wait()
	seen := t.cluster.Tallies()
	figures, violations := t.tally.figures(seen, s)
	if s.Batch {
		batch, wrong := t.batch(seen)
		figures.Batch = &batch
		violations = append(violations, wrong...)
	}
	return figures, violations, nil
}

func newTrial(ctx context.Context, s Scenario, seed uint64, naive bool) (*trial, error) {
	t := &trial{scenario: s, gates: newGates(), random: rand.New(rand.NewPCG(seed, 1)), tally: newTally(), urgent: map[string]time.Time{}}
	service := rand.New(rand.NewPCG(seed, 2))
	var mu sync.Mutex
	o := assembler.Options{
		Network: t.gates, Entries: 2, Kinds: []string{"match", "status"}, Slots: s.Slots, Connections: 64,
		Zones: []assembler.Zone{{Name: "a", Agents: 2}, {Name: "b", Agents: 2}, {Name: "c", Agents: 2}}, Seed: seed,
		Service: func(*http.Request) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(float64(s.Service) * (0.5 + service.Float64()))
		},
		Grace: 3 * time.Second,
	}
	if s.Batch {
		o.Capacity = plantainrail.Resources{Processors: 4000, Memory: 16_000}
		o.Natures = natures()
	}
	if naive {
		s.makeNaive(&o)
	}
	cluster, err := assembler.New(ctx, o)
	if err != nil {
		return nil, err
	}
	t.cluster = cluster
	t.serving = append(t.serving, cluster.Entries...)
	return t, nil
}

// makeNaive turns the half of the product that the scenario measures into its
// naive version.
func (s Scenario) makeNaive(o *assembler.Options) {
	if s.Batch {
		o.Placing = filler.Place
		o.Unthrottled = true
		o.Declared = true
		return
	}
	o.Router = func(string, uint64) plantainrail.Router { return rotator.New() }
	o.Unlimited = true
}

// ready publishes the table and waits until every entry knows every target.
func (t *trial) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	deadline := strconv.Itoa(t.scenario.DeadlineMS)
	csv := "kind,path,class,weight,queue,idempotent,deadline_ms,slo_ms,processors,memory_mb\n" +
		"match,/match,latency-critical,5,16,no," + deadline + ",40,,\n" +
		"status,/status,latency-critical,1,16,yes," + deadline + ",40,,\n" + batchRows
	if _, err := t.operator(0).Publish(ctx, receiver.Publish{CSV: csv}); err != nil {
		return errors.Wrap(err, "publish")
	}
	for _, e := range t.serving {
		if err := awaitEntry(ctx, e, targets, 1); err != nil {
			return err
		}
	}
	return nil
}

// awaitEntry waits until an entry knows the targets and has the revision of the
// table, or a later one, in force.
func awaitEntry(ctx context.Context, e *assembler.Entry, targets int, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for e.Table().Revision < revision || e.TargetCount() < targets {
		select {
		case <-ctx.Done():
			return errors.New("the cluster did not come up")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// entry returns an entry that takes requests, as a balancer would choose.
func (t *trial) entry(n int) *assembler.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serving[n%len(t.serving)]
}

// operator calls an entry as an operator does.
func (t *trial) operator(n int) *caller.Caller {
	return caller.New(t.entry(n).Address, "", nil)
}

// replaceEntry adds an entry and then stops the oldest one as planned.
func (t *trial) replaceEntry(ctx context.Context, name string) {
	added, err := t.cluster.StartEntry(name, "a")
	if err != nil {
		return
	}
	if err := awaitEntry(ctx, added, targets, 1); err != nil {
		return
	}
	t.mu.Lock()
	old := t.serving[0]
	t.serving = append(t.serving[1:len(t.serving):len(t.serving)], added)
	t.mu.Unlock()
	_ = old.Stop(context.WithoutCancel(ctx))
}
