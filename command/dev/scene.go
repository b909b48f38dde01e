package dev

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/assembler"
	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/receiver"
)

const (
	callers       = 8
	pauseMax      = 20 * time.Millisecond
	jobEvery      = 700 * time.Millisecond
	jobTasks      = 4
	jobWorkMax    = 1500
	readyLimit    = 20 * time.Second
	settleLimit   = 30 * time.Second
	serviceMax    = 8 * time.Millisecond
	requestLimit  = 10 * time.Second
	readyPoll     = 50 * time.Millisecond
	drainedPoll   = 100 * time.Millisecond
	zoneStepAfter = 4 * time.Second
	zoneGrace     = 3 * time.Second
)

// notIdempotentPath is the path of the kind in devTable that is not idempotent.
const notIdempotentPath = "/match"

const devTable = `kind,path,class,weight,idempotent,deadline_ms,slo_ms,processors,memory_mb,quotas
visit-match,/match,latency-critical,5,no,5000,100,,,
watch-status,/status,latency-critical,1,yes,5000,100,,,
plaque-confirmation,/plaque,latency-critical,8,yes,5000,50,,,
rota-rebuild,,batch,3,,,,1,512,rota=1000
contribution-notices,,batch,1,,,,0.5,256,office=1000
`

// scene is the cluster of the dev command and the load on it.
type scene struct {
	options *Options
	cluster *assembler.Cluster
	client  *http.Client
	caller  *caller.Caller

	mu    sync.Mutex
	count Summary
	jobs  []string
	outs  []zoneOut
}

type zoneOut struct {
	zone     string
	from, to time.Time
}

// Summary is what the callers and the stand-ins saw.
type Summary struct {
	RequestsSent      int `json:"requests_sent"`
	RequestsWhole     int `json:"requests_whole"`
	RequestsNotRun    int `json:"requests_not_run"`
	RequestsUncertain int `json:"requests_uncertain"`
	RequestsWrong     int `json:"requests_wrong"`
	RequestsRunTwice  int `json:"requests_run_twice"`
	JobsSubmitted     int `json:"jobs_submitted"`
	JobsFinished      int `json:"jobs_finished"`
	JobsLost          int `json:"jobs_lost"`
	TasksStarted      int `json:"tasks_started"`
	TasksDoubled      int `json:"tasks_doubled"`
	Evictions         int `json:"evictions"`
	Overcommits       int `json:"overcommits"`
	ZoneLateStarts    int `json:"zone_late_starts"`
}

// String is the live summary in one line.
func (s Summary) String() string {
	return fmt.Sprintf(
		"requests %d sent, %d whole, %d not run, %d uncertain, %d run twice; jobs %d submitted, %d finished, %d lost; tasks %d started, %d doubled, %d evictions; %d overcommits, %d late starts",
		s.RequestsSent, s.RequestsWhole, s.RequestsNotRun, s.RequestsUncertain, s.RequestsRunTwice,
		s.JobsSubmitted, s.JobsFinished, s.JobsLost, s.TasksStarted, s.TasksDoubled, s.Evictions,
		s.Overcommits, s.ZoneLateStarts,
	)
}

func newScene(o *Options) (*scene, error) {
	random := rand.New(rand.NewPCG(o.Seed, 0))
	var mu sync.Mutex
	cluster, err := assembler.New(context.WithoutCancel(o.Context), assembler.Options{
		Network: assembler.Loopback{}, Entries: 1,
		Zones: []assembler.Zone{{Name: "aarhus-1", Agents: 1}, {Name: "aarhus-2", Agents: 1}, {Name: "aarhus-3", Agents: 1}},
		Kinds: []string{"visit-match", "watch-status", "plaque-confirmation"}, Slots: 8, Connections: 64,
		Capacity: plantainrail.Resources{Processors: 8000, Memory: 16000}, Seed: o.Seed,
		Service: func(*http.Request) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(random.Int64N(int64(serviceMax)))
		},
		Logger: o.Logger(o.LogLevel), Grace: zoneGrace,
	})
	if err != nil {
		return nil, err
	}
	s := &scene{options: o, cluster: cluster, client: cluster.Client("caller")}
	s.caller = caller.New(cluster.Entries[0].Address, "", cluster.Client("operator"))
	return s, nil
}

func (s *scene) close() { _ = s.cluster.Close() }

// publish publishes the table and waits until every target can be reached.
func (s *scene) publish(ctx context.Context) error {
	fmt.Fprintf(s.options.Err, "entry at http://%s\n", s.cluster.Entries[0].Address)
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	_, err := s.caller.Publish(ctx, receiver.Publish{Base: 0, CSV: devTable, Editor: "dev"})
	if err != nil {
		return errors.Wrap(err, "publish")
	}
	for {
		targets, err := s.caller.Targets(ctx)
		if err == nil && len(targets) == len(s.cluster.VMs) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the targets did not come up")
		case <-time.After(readyPoll):
		}
	}
}

// load sends requests, submits jobs, and takes a zone out and brings it back,
// until the context ends; then it waits for the jobs.
func (s *scene) load(ctx context.Context) error {
	group, _ := errgroup.WithContext(ctx)
	for i := range callers {
		group.Go(func() error {
			s.callAll(ctx, rand.New(rand.NewPCG(s.options.Seed, uint64(i+1))))
			return nil
		})
	}
	group.Go(func() error {
		s.submitAll(ctx, rand.New(rand.NewPCG(s.options.Seed, callers+1)))
		return nil
	})
	group.Go(func() error {
		s.cycleZone(ctx, "aarhus-2")
		return nil
	})
	if err := group.Wait(); err != nil {
		return err
	}
	s.settle()
	return nil
}

var requestPaths = []string{"/match", "/status", "/plaque"}

func (s *scene) callAll(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		path := requestPaths[random.IntN(len(requestPaths))]
		s.callOnce(path, fmt.Sprintf("%d-%d", random.Uint64(), n))
		_ = clocker.Sleep(ctx, time.Duration(random.Int64N(int64(pauseMax))))
	}
}

// callOnce sends one request and checks that the answer is the whole answer to
// this request.
func (s *scene) callOnce(path, echo string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestLimit)
	defer cancel()
	url := "http://" + s.cluster.Entries[0].Address + path + "?echo=" + echo
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("booking"))
	if err != nil {
		return
	}
	s.update(func(c *Summary) { c.RequestsSent++ })
	response, err := s.client.Do(request)
	if err != nil {
		s.update(func(c *Summary) { c.RequestsUncertain++ })
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	whole := err == nil && response.StatusCode == http.StatusOK
	outcome := plantainrail.Outcome(response.Header.Get("X-Outcome"))
	s.update(func(c *Summary) {
		switch {
		case whole && strings.Contains(string(body), " "+echo+" "):
			c.RequestsWhole++
		case whole:
			c.RequestsWrong++
		case outcome == plantainrail.OutcomeNotRun:
			c.RequestsNotRun++
		default:
			c.RequestsUncertain++
		}
	})
}

func (s *scene) update(change func(*Summary)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.count)
}

func (s *scene) submitAll(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		submission := receiver.JobSubmission{Kind: "rota-rebuild", Team: "rota", Tasks: jobTasks, Work: random.IntN(jobWorkMax)}
		job, err := s.caller.Submit(ctx, submission)
		if err == nil {
			s.mu.Lock()
			s.jobs = append(s.jobs, job.ID)
			s.mu.Unlock()
		}
		_ = clocker.Sleep(ctx, jobEvery)
	}
}

// cycleZone takes a zone out and brings it back, again and again.
func (s *scene) cycleZone(ctx context.Context, zone string) {
	for {
		_ = clocker.Sleep(ctx, zoneStepAfter)
		if ctx.Err() != nil {
			return
		}
		if _, err := s.caller.SetZone(ctx, receiver.ZoneChange{Zone: zone, Out: true, Operator: "dev"}); err != nil {
			continue
		}
		from := time.Now().Add(zoneGrace)
		_ = clocker.Sleep(ctx, zoneStepAfter)
		to := time.Now()
		s.mu.Lock()
		s.outs = append(s.outs, zoneOut{zone, from, to})
		s.mu.Unlock()
		back, cancel := context.WithTimeout(context.Background(), requestLimit)
		_, _ = s.caller.SetZone(back, receiver.ZoneChange{Zone: zone, Out: false, Operator: "dev"})
		cancel()
	}
}

// settle waits until the jobs that were submitted have run.
func (s *scene) settle() {
	deadline := time.Now().Add(settleLimit)
	for time.Now().Before(deadline) {
		if sum := s.summary(); sum.JobsFinished == sum.JobsSubmitted {
			return
		}
		time.Sleep(drainedPoll)
	}
}

// summary counts from what the callers and the stand-ins saw.
func (s *scene) summary() Summary {
	tallies := s.cluster.Tallies()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.count
	out.RequestsRunTwice = tallies.RunTwice(notIdempotentPath)
	out.JobsSubmitted = len(s.jobs)
	for _, job := range s.jobs {
		if tallies.FinishedTasks(job) == jobTasks {
			out.JobsFinished++
		}
	}
	out.JobsLost = out.JobsSubmitted - out.JobsFinished
	out.TasksStarted = len(tallies.Spans)
	out.TasksDoubled = tallies.Doubled()
	out.Evictions = tallies.Evictions()
	out.Overcommits = tallies.Overcommits
	for _, z := range s.outs {
		out.ZoneLateStarts += tallies.StartsIn(z.zone, z.from, z.to)
	}
	return out
}
