package assembler_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/assembler"
	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/receiver"
)

// table is the table that runInCluster publishes.
const table = `kind,path,class,weight,queue,idempotent,feed,deadline_ms,processors,memory_mb
match,/match,latency-critical,5,64,no,no,20000,,
status,/status,latency-critical,1,64,yes,no,20000,,
feed,/feed,latency-critical,1,64,yes,yes,20000,,
rebuild,,batch,3,,,,,1,512
`

// cluster is an assembler.Cluster on an in-memory network, in virtual time: entries
// of package receiver, agents of package agent, and the product's own jobs. Compare
// fleet, which runs the packages decider and minder.
type cluster struct {
	*assembler.Cluster
	t   *testing.T
	net *network
	ctx context.Context
}

// runInCluster runs a test in a cluster with two entries and three availability
// zones of one VM each, in which the table is published and every entry knows every
// target. configure may change the options; nil keeps them.
func runInCluster(t *testing.T, configure func(*assembler.Options), test func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		o := assembler.Options{
			Network: n, Entries: 2, Kinds: []string{"match", "status", "feed"}, Slots: 4, Connections: 32,
			Zones:    []assembler.Zone{{Name: "a", Agents: 1}, {Name: "b", Agents: 1}, {Name: "c", Agents: 1}},
			Capacity: plantainrail.Resources{Processors: 4000, Memory: 16_000}, Seed: 1, LeaveGrace: 3 * time.Second,
			Logger: logger(),
		}
		if configure != nil {
			configure(&o)
		}
		c, err := assembler.New(t.Context(), o)
		assert.NilError(t, err)
		tc := &cluster{c, t, n, t.Context()}
		tc.publish(0, table)
		tc.waitFor("targets known", func() bool {
			for _, e := range c.Entries {
				targets, err := tc.operatorClient(e).Targets(tc.ctx)
				if err != nil || len(targets) != len(c.VMs) || e.Table().Revision != 1 {
					return false
				}
			}
			return true
		})
		test(tc)
		assert.NilError(t, c.Close())
		// All pending timers fire within this time. A goroutine that is still
		// blocked afterwards has leaked and fails the test.
		time.Sleep(3 * time.Minute)
	})
}

// logger returns a logger to standard error at the level in TEST_LOG, or one
// that discards logs when TEST_LOG names no level.
func logger() *zap.Logger {
	level, err := zapcore.ParseLevel(os.Getenv("TEST_LOG"))
	if err != nil || os.Getenv("TEST_LOG") == "" {
		return zap.NewNop()
	}
	return zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig()), os.Stderr, level))
}

// operatorClient returns a client for operator calls to the entry.
func (tc *cluster) operatorClient(e *assembler.Entry) *caller.Client {
	return caller.New(e.Address, "", tc.Client("operator"))
}

// publish publishes a table that replaces the one of baseRevision, and repeats the call
// until it succeeds. The repeats have one ID, so that they publish only once.
func (tc *cluster) publish(baseRevision int64, csv string) {
	tc.t.Helper()
	tc.waitFor("published", func() bool {
		_, err := tc.operatorClient(tc.Entries[0]).Publish(tc.ctx, receiver.PublishRequest{ID: fmt.Sprintf("publish-%d", baseRevision), Base: baseRevision, CSV: csv, Editor: "test"})
		return err == nil
	})
}

// waitFor waits until the condition holds, and fails the test after five minutes of
// virtual time.
func (tc *cluster) waitFor(description string, condition func() bool) {
	tc.t.Helper()
	tc.waitWithin(5*time.Minute, description, condition)
}

// waitWithin waits until the condition holds, and fails the test after the limit.
func (tc *cluster) waitWithin(limit time.Duration, description string, condition func() bool) {
	tc.t.Helper()
	deadline := time.Now().Add(limit)
	pause := 10 * time.Millisecond
	for !condition() {
		if time.Now().After(deadline) {
			tc.t.Fatalf("timed out after %v waiting for: %s", limit, description)
		}
		time.Sleep(pause)
		pause = min(pause*11/10, time.Second)
	}
}

// callResult is the result of one request as its caller sees it.
type callResult struct {
	status   int
	outcome  plantainrail.Outcome
	code     string
	id       string
	body     string
	replayed bool
	err      error
}

// complete reports whether the result is a successful and complete response to
// the request with this echo, which the target returns between two spaces.
func (r callResult) complete(echo string) bool {
	return r.err == nil && r.status == http.StatusOK && strings.Contains(r.body, " "+echo+" ")
}

// send sends a small request through an entry, with an idempotency key if key is
// not empty.
func (tc *cluster) send(e *assembler.Entry, path, key string) callResult {
	return tc.sendBody(e, path, key, strings.NewReader("slot 7"))
}

// sendBody sends a request with this body, as send does, and waits up to a minute for
// the response.
func (tc *cluster) sendBody(e *assembler.Entry, path, key string, body io.Reader) callResult {
	ctx, cancel := context.WithTimeout(tc.ctx, time.Minute)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+path, body)
	assert.NilError(tc.t, err)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	client := tc.Client("caller")
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	h := response.Header
	return callResult{
		response.StatusCode, plantainrail.Outcome(h.Get("X-Outcome")), h.Get("X-Result-Code"), h.Get("X-Request-Id"),
		string(raw), h.Get("X-Replayed") != "", err,
	}
}

// runs returns how many times targets ran the request with this echo, under any
// request ID.
func (tc *cluster) runs(echo string) int {
	n := 0
	for _, v := range tc.VMs {
		n += v.Target.Tally().Echoes[echo]
	}
	return n
}

func TestRequestGetsCompleteResponse(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		got := tc.send(tc.Entries[0], "/match?echo=e1&ms=50", "")
		assert.Assert(t, got.complete("e1"), "%+v", got)
		assert.Equal(t, tc.runs("e1"), 1)
	})
}

func TestLargeBodiesStreamBothWays(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		const size = 3 << 20
		got := tc.sendBody(tc.Entries[0], "/status?echo=big", "", strings.NewReader(strings.Repeat("x", size)))
		assert.Assert(t, got.complete("big"), "%v", got.err)
		assert.Assert(t, strings.HasSuffix(got.body, fmt.Sprintf(" %d\n", size)), got.body)
		got = tc.send(tc.Entries[0], fmt.Sprintf("/status?size=%d", size), "")
		assert.NilError(t, got.err)
		assert.Equal(t, len(got.body), size)
	})
}

// An entry that drains ends an open event feed, but only after a whole event, so
// that the caller can resume after the last ID.
func TestDrainEndsFeedBetweenEvents(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		done := make(chan callResult, 1)
		go func() { done <- tc.send(tc.Entries[0], "/feed?feed=1", "") }()
		time.Sleep(time.Second)
		assert.NilError(t, tc.Entries[0].Stop(tc.ctx))
		got := <-done
		assert.NilError(t, got.err)
		assert.Assert(t, strings.HasSuffix(got.body, "\n\n"), "%q", got.body)
		// About ten events were sent before the drain.
		assert.Assert(t, strings.Contains(got.body, "id: 5\n"), "%q", got.body)
	})
}

func cancelTeam(team string) plantainrail.CancelRecord {
	return plantainrail.CancelRecord{Team: team}
}

// A feed that its caller closes early is not a failed request, so it must not count
// against the error budget in the burn report.
func TestClosedFeedBurnsNoErrorBudget(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		ctx, cancel := context.WithTimeout(tc.ctx, time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+tc.Entries[0].Address+"/feed?feed=1", nil)
		assert.NilError(t, err)
		response, err := tc.Client("caller").Do(request)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		time.Sleep(time.Second)
		burn, err := tc.operatorClient(tc.Entries[0]).Burn(tc.ctx)
		assert.NilError(t, err)
		for _, b := range burn {
			assert.Equal(t, b.Long.Bad, int64(0), "%+v", b)
		}
	})
}
