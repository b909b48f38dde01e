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
	// callerCount callers send requests concurrently, each with a random pause of
	// less than maxPause between two requests.
	callerCount = 8
	maxPause    = 20 * time.Millisecond
	// A job of tasksPerJob tasks is submitted every jobInterval. Its tasks run for
	// less than maxTaskWorkMS milliseconds.
	jobInterval   = 700 * time.Millisecond
	tasksPerJob   = 4
	maxTaskWorkMS = 1500
	// readyTimeout bounds the wait for the targets before the load starts, and
	// jobsTimeout the wait for unfinished jobs after it has ended.
	readyTimeout = 20 * time.Second
	jobsTimeout  = 30 * time.Second
	// maxServiceTime bounds the random time that a target takes for a request.
	maxServiceTime = 8 * time.Millisecond
	// requestTimeout bounds one request of a caller, and the call that returns the
	// zone to service.
	requestTimeout    = 10 * time.Second
	readyPollInterval = 50 * time.Millisecond
	jobsPollInterval  = 100 * time.Millisecond
	// A zone is taken out of service or returned every zoneChangeInterval. Tasks may
	// still start in it for zoneGrace after it is taken out, and requests may still
	// start at a target for the same time after the target was told to leave (LeaveGrace).
	zoneChangeInterval = 4 * time.Second
	zoneGrace          = 3 * time.Second
)

// notIdempotentPath is the path of the only kind in devTable that may not run twice.
const notIdempotentPath = "/match"

const devTable = `kind,path,class,weight,idempotent,deadline_ms,slo_ms,processors,memory_mb,quotas
visit-match,/match,latency-critical,5,no,5000,100,,,
watch-status,/status,latency-critical,1,yes,5000,100,,,
plaque-confirmation,/plaque,latency-critical,8,yes,5000,50,,,
rota-rebuild,,batch,3,,,,1,512,rota=1000
contribution-notices,,batch,1,,,,0.5,256,office=1000
`

// demoCluster is the cluster of the dev command and the load on it.
type demoCluster struct {
	options *Options
	cluster *assembler.Cluster
	// client sends the callers' requests, and operatorClient the operator's calls.
	client         *http.Client
	operatorClient *caller.Client

	// mu guards the fields below.
	mu sync.Mutex
	// totals holds the counts of requests; summary adds the others.
	totals Summary
	// jobIDs holds the IDs of the submitted jobs.
	jobIDs  []string
	outages []zoneOutage
}

// zoneOutage is a period in which no task may start in a zone.
type zoneOutage struct {
	zone     string
	from, to time.Time
}

// Summary counts what the callers and the stand-ins observed. The JSON names are part of
// the command's output; some differ from the terms of the fields, such as requests_whole
// for complete responses and tasks_doubled for tasks that ran twice.
type Summary struct {
	// Each request that was sent counts as complete, wrong, not run or uncertain. A
	// wrong response is a complete one that belongs to another request.
	RequestsSent      int `json:"requests_sent"`
	RequestsComplete  int `json:"requests_whole"`
	RequestsNotRun    int `json:"requests_not_run"`
	RequestsUncertain int `json:"requests_uncertain"`
	RequestsWrong     int `json:"requests_wrong"`
	// RequestsRunTwice counts the requests of a kind that is not idempotent that ran
	// more than once.
	RequestsRunTwice int `json:"requests_run_twice"`
	JobsSubmitted    int `json:"jobs_submitted"`
	JobsFinished     int `json:"jobs_finished"`
	// JobsLost counts the submitted jobs that have not finished. In the final summary
	// they are lost; before it they may still be running.
	JobsLost int `json:"jobs_lost"`
	// TasksStarted counts every start of a task.
	TasksStarted int `json:"tasks_started"`
	// TasksRunTwice counts the tasks that ran twice at the same time or again after
	// they had finished.
	TasksRunTwice int `json:"tasks_doubled"`
	// Evictions counts the attempts that ended without finishing, for any reason.
	Evictions int `json:"evictions"`
	// Overcommits counts the starts beyond a VM's capacity.
	Overcommits int `json:"overcommits"`
	// ZoneLateStarts counts the starts in a zone that was out of service for longer
	// than zoneGrace.
	ZoneLateStarts int `json:"zone_late_starts"`
}

// String returns the summary as one line of text.
func (s Summary) String() string {
	return fmt.Sprintf(
		"requests: %d sent, %d answered, %d not run, %d uncertain, %d run twice; jobs: %d submitted, %d finished, %d lost; tasks: %d started, %d run twice, %d evictions; %d overcommits, %d late starts",
		s.RequestsSent, s.RequestsComplete, s.RequestsNotRun, s.RequestsUncertain, s.RequestsRunTwice,
		s.JobsSubmitted, s.JobsFinished, s.JobsLost, s.TasksStarted, s.TasksRunTwice, s.Evictions,
		s.Overcommits, s.ZoneLateStarts,
	)
}

// newDemoCluster starts a cluster whose targets take a random time for each request.
// The cluster's context does not end at an interruption, so that the summary can be
// read then.
func newDemoCluster(o *Options) (*demoCluster, error) {
	random := rand.New(rand.NewPCG(o.Seed, 0))
	// The targets call ServiceTime concurrently; mu guards random.
	var mu sync.Mutex
	cluster, err := assembler.New(context.WithoutCancel(o.Context), assembler.Options{
		Network: assembler.Loopback{}, Entries: 1,
		Zones: []assembler.Zone{{Name: "aarhus-1", Agents: 1}, {Name: "aarhus-2", Agents: 1}, {Name: "aarhus-3", Agents: 1}},
		Kinds: []string{"visit-match", "watch-status", "plaque-confirmation"}, Slots: 8, Connections: 64,
		Capacity: plantainrail.Resources{Processors: 8000, Memory: 16000}, Seed: o.Seed,
		ServiceTime: func(*http.Request) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(random.Int64N(int64(maxServiceTime)))
		},
		Logger: o.Logger(o.LogLevel), LeaveGrace: zoneGrace,
	})
	if err != nil {
		return nil, err
	}
	s := &demoCluster{options: o, cluster: cluster, client: cluster.Client("caller")}
	s.operatorClient = caller.New(cluster.Entries[0].Address, "", cluster.Client("operator"))
	return s, nil
}

func (s *demoCluster) close() { _ = s.cluster.Close() }

// publishTable publishes devTable and waits until the entry knows every target.
func (s *demoCluster) publishTable(ctx context.Context) error {
	fmt.Fprintf(s.options.Err, "entry at http://%s\n", s.cluster.Entries[0].Address)
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	_, err := s.operatorClient.Publish(ctx, receiver.PublishRequest{Base: 0, CSV: devTable, Editor: "dev"})
	if err != nil {
		return errors.Wrap(err, "publish")
	}
	for {
		targets, err := s.operatorClient.Targets(ctx)
		if err == nil && len(targets) == len(s.cluster.VMs) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("the targets did not become ready in time")
		case <-time.After(readyPollInterval):
		}
	}
}

// runLoad sends requests, submits jobs, and repeatedly takes a zone out of service
// and returns it to service, until the context ends. Then it waits for the jobs.
func (s *demoCluster) runLoad(ctx context.Context) error {
	group, _ := errgroup.WithContext(ctx)
	for i := range callerCount {
		group.Go(func() error {
			s.sendRequests(ctx, rand.New(rand.NewPCG(s.options.Seed, uint64(i+1))))
			return nil
		})
	}
	group.Go(func() error {
		s.submitJobs(ctx, rand.New(rand.NewPCG(s.options.Seed, callerCount+1)))
		return nil
	})
	group.Go(func() error {
		s.cycleZone(ctx, "aarhus-2")
		return nil
	})
	if err := group.Wait(); err != nil {
		return err
	}
	s.waitForJobs()
	return nil
}

var requestPaths = []string{"/match", "/status", "/plaque"}

// sendRequests sends random requests one after the other until the context ends.
func (s *demoCluster) sendRequests(ctx context.Context, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		path := requestPaths[random.IntN(len(requestPaths))]
		s.sendRequest(path, fmt.Sprintf("%d-%d", random.Uint64(), n))
		_ = clocker.Sleep(ctx, time.Duration(random.Int64N(int64(maxPause))))
	}
}

// sendRequest sends one request and counts whether its response is complete and
// belongs to this request. A target's response contains the echo. The request does
// not end with the load, so that an interruption makes no outcome uncertain.
func (s *demoCluster) sendRequest(path, echo string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
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
	complete := err == nil && response.StatusCode == http.StatusOK
	outcome := plantainrail.Outcome(response.Header.Get("X-Outcome"))
	s.update(func(c *Summary) {
		switch {
		case complete && strings.Contains(string(body), " "+echo+" "):
			c.RequestsComplete++
		case complete:
			c.RequestsWrong++
		case outcome == plantainrail.OutcomeNotRun:
			c.RequestsNotRun++
		default:
			c.RequestsUncertain++
		}
	})
}

// update changes the counts of requests with the lock held.
func (s *demoCluster) update(change func(*Summary)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.totals)
}

// submitJobs submits jobs until the context ends. A failed submission is not counted.
func (s *demoCluster) submitJobs(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		submission := receiver.JobSubmission{Kind: "rota-rebuild", Team: "rota", Tasks: tasksPerJob, Work: random.IntN(maxTaskWorkMS)}
		job, err := s.operatorClient.Submit(ctx, submission)
		if err == nil {
			s.mu.Lock()
			s.jobIDs = append(s.jobIDs, job.ID)
			s.mu.Unlock()
		}
		_ = clocker.Sleep(ctx, jobInterval)
	}
}

// cycleZone repeatedly takes a zone out of service and returns it to service, until the
// context ends. If it ends while the zone is out, the zone is returned to service.
func (s *demoCluster) cycleZone(ctx context.Context, zone string) {
	for {
		_ = clocker.Sleep(ctx, zoneChangeInterval)
		if ctx.Err() != nil {
			return
		}
		if _, err := s.operatorClient.SetZone(ctx, receiver.ZoneChange{Zone: zone, Out: true, Operator: "dev"}); err != nil {
			continue
		}
		from := time.Now().Add(zoneGrace)
		_ = clocker.Sleep(ctx, zoneChangeInterval)
		to := time.Now()
		s.mu.Lock()
		s.outages = append(s.outages, zoneOutage{zone, from, to})
		s.mu.Unlock()
		callCtx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		// If the call fails, the next round returns the zone, unless this is the last.
		_, _ = s.operatorClient.SetZone(callCtx, receiver.ZoneChange{Zone: zone, Out: false, Operator: "dev"})
		cancel()
	}
}

// waitForJobs waits until all submitted jobs have finished, up to jobsTimeout.
func (s *demoCluster) waitForJobs() {
	deadline := time.Now().Add(jobsTimeout)
	for time.Now().Before(deadline) {
		if sum := s.summary(); sum.JobsFinished == sum.JobsSubmitted {
			return
		}
		time.Sleep(jobsPollInterval)
	}
}

// summary returns the counts of what the callers and the stand-ins observed so far.
func (s *demoCluster) summary() Summary {
	tallies := s.cluster.Tallies()
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.totals
	out.RequestsRunTwice = tallies.RequestsRunTwice(notIdempotentPath)
	out.JobsSubmitted = len(s.jobIDs)
	for _, job := range s.jobIDs {
		if tallies.FinishedTasks(job) == tasksPerJob {
			out.JobsFinished++
		}
	}
	out.JobsLost = out.JobsSubmitted - out.JobsFinished
	out.TasksStarted = len(tallies.Spans)
	out.TasksRunTwice = tallies.DuplicateTasks()
	out.Evictions = tallies.Evictions()
	out.Overcommits = tallies.Overcommits
	for _, z := range s.outages {
		out.ZoneLateStarts += tallies.StartsIn(z.zone, z.from, z.to)
	}
	return out
}
