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

const table = `kind,path,class,weight,queue,idempotent,feed,deadline_ms,processors,memory_mb
match,/match,latency-critical,5,64,no,no,20000,,
status,/status,latency-critical,1,64,yes,no,20000,,
feed,/feed,latency-critical,1,64,yes,yes,20000,,
rebuild,,batch,3,,,,,1,512
`

// world is a cluster on a network in memory, in virtual time.
type world struct {
	*assembler.Cluster
	t   *testing.T
	net *network
	ctx context.Context
}

// inWorld runs a test in a cluster with two entries and three zones of one VM.
func inWorld(t *testing.T, change func(*assembler.Options), test func(*world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		o := assembler.Options{
			Network: n, Entries: 2, Kinds: []string{"match", "status", "feed"}, Slots: 4, Connections: 32,
			Zones:    []assembler.Zone{{Name: "a", Agents: 1}, {Name: "b", Agents: 1}, {Name: "c", Agents: 1}},
			Capacity: plantainrail.Resources{Processors: 4000, Memory: 16_000}, Seed: 1, Grace: 3 * time.Second,
			Logger: logger(),
		}
		if change != nil {
			change(&o)
		}
		c, err := assembler.New(t.Context(), o)
		assert.NilError(t, err)
		w := &world{c, t, n, t.Context()}
		w.publish(0, table)
		w.until("targets known", func() bool {
			for _, e := range c.Entries {
				targets, err := w.operator(e).Targets(w.ctx)
				if err != nil || len(targets) != len(c.VMs) || e.Table().Revision != 1 {
					return false
				}
			}
			return true
		})
		test(w)
		assert.NilError(t, c.Close())
		// Timers that were running end; a goroutine that is stuck does not, and
		// fails the test.
		time.Sleep(3 * time.Minute)
	})
}

// logger writes the parts' logs when TEST_LOG names a level.
func logger() *zap.Logger {
	level, err := zapcore.ParseLevel(os.Getenv("TEST_LOG"))
	if err != nil || os.Getenv("TEST_LOG") == "" {
		return zap.NewNop()
	}
	return zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig()), os.Stderr, level))
}

func (w *world) operator(e *assembler.Entry) *caller.Caller {
	return caller.New(e.Address, "", w.Client("operator"))
}

func (w *world) publish(base int64, csv string) {
	w.t.Helper()
	w.until("published", func() bool {
		_, err := w.operator(w.Entries[0]).Publish(w.ctx, receiver.Publish{ID: fmt.Sprintf("publish-%d", base), Base: base, CSV: csv, Editor: "test"})
		return err == nil
	})
}

// until waits in virtual time until the condition holds.
func (w *world) until(what string, condition func() bool) {
	w.t.Helper()
	w.within(5*time.Minute, what, condition)
}

func (w *world) within(limit time.Duration, what string, condition func() bool) {
	w.t.Helper()
	deadline := time.Now().Add(limit)
	pause := 10 * time.Millisecond
	for !condition() {
		if time.Now().After(deadline) {
			w.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(pause)
		pause = min(pause*11/10, time.Second)
	}
}

// answer is what a caller got.
type answer struct {
	status   int
	outcome  plantainrail.Outcome
	code     string
	id       string
	body     string
	replayed bool
	err      error
}

// whole tells whether the answer is the whole answer to the request.
func (a answer) whole(echo string) bool {
	return a.err == nil && a.status == http.StatusOK && strings.Contains(a.body, " "+echo+" ")
}

func (w *world) ask(e *assembler.Entry, path, key string) answer {
	return w.askBody(e, path, key, strings.NewReader("slot 7"))
}

func (w *world) askBody(e *assembler.Entry, path, key string, body io.Reader) answer {
	ctx, cancel := context.WithTimeout(w.ctx, time.Minute)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+path, body)
	assert.NilError(w.t, err)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	client := w.Client("caller")
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	h := response.Header
	return answer{
		response.StatusCode, plantainrail.Outcome(h.Get("X-Outcome")), h.Get("X-Result-Code"), h.Get("X-Request-Id"),
		string(raw), h.Get("X-Replayed") != "", err,
	}
}

// runs counts the runs of the requests that carry the echo, by any ID.
func (w *world) runs(echo string) int {
	n := 0
	for _, v := range w.VMs {
		n += v.Target.Tally().Echoes[echo]
	}
	return n
}

func TestRequestIsAnsweredWhole(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		got := w.ask(w.Entries[0], "/match?echo=e1&ms=50", "")
		assert.Assert(t, got.whole("e1"), "%+v", got)
		assert.Equal(t, w.runs("e1"), 1)
	})
}

func TestLargeBodiesStreamBothWays(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		const size = 3 << 20
		got := w.askBody(w.Entries[0], "/status?echo=big", "", strings.NewReader(strings.Repeat("x", size)))
		assert.Assert(t, got.whole("big"), "%v", got.err)
		assert.Assert(t, strings.HasSuffix(got.body, fmt.Sprintf(" %d\n", size)), got.body)
		got = w.ask(w.Entries[0], fmt.Sprintf("/status?size=%d", size), "")
		assert.NilError(t, got.err)
		assert.Equal(t, len(got.body), size)
	})
}

func TestFeedEndsBetweenEventsOnDrainAndResumes(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		done := make(chan answer, 1)
		go func() { done <- w.ask(w.Entries[0], "/feed?feed=1", "") }()
		time.Sleep(time.Second)
		assert.NilError(t, w.Entries[0].Stop(w.ctx))
		got := <-done
		assert.NilError(t, got.err)
		assert.Assert(t, strings.HasSuffix(got.body, "\n\n"), "%q", got.body)
		assert.Assert(t, strings.Contains(got.body, "id: 5\n"), "%q", got.body)
	})
}

func cancelTeam(team string) plantainrail.CancelRecord {
	return plantainrail.CancelRecord{Team: team}
}

// TestCallerThatLeavesAFeedBurnsNoBudget checks the burn report against what
// the caller saw.
func TestCallerThatLeavesAFeedBurnsNoBudget(t *testing.T) {
	inWorld(t, nil, func(w *world) {
		ctx, cancel := context.WithTimeout(w.ctx, time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.Entries[0].Address+"/feed?feed=1", nil)
		assert.NilError(t, err)
		response, err := w.Client("caller").Do(request)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		time.Sleep(time.Second)
		burn, err := w.operator(w.Entries[0]).Burn(w.ctx)
		assert.NilError(t, err)
		for _, b := range burn {
			assert.Equal(t, b.Long.Bad, int64(0), "%+v", b)
		}
	})
}
