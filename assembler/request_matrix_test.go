package assembler_test

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/assembler"
)

var (
	matrixSeed  = flag.Uint64("matrix.seed", 1, "seed of the random fault pairs")
	matrixPairs = flag.Int("matrix.pairs", 150, "number of fault pairs to test")
)

// requestStep is a moment in the processing of a request at which a fault is
// injected, and the conditions under which the request is sent.
type requestStep struct {
	name string
	// offset is the time from the sending of the request to the fault; negative
	// means that the fault comes first.
	offset time.Duration
	// query sets the service time (ms) or the response size (size) of the request;
	// see responder.Responder.
	query string
	// slotsFull is set if other requests occupy all slots of all targets first, so
	// that the request has to wait in a queue.
	slotsFull bool
	// delay is the network delay during the request.
	delay time.Duration
}

// responseSize is the size of the response, in bytes, if the query asks for one.
const responseSize = 400_000

var requestSteps = []requestStep{
	{"before", -50 * time.Millisecond, "ms=100", false, 0},
	{"arriving", 0, "ms=100", false, 0},
	{"queued", 100 * time.Millisecond, "ms=100", true, 0},
	{"running", 100 * time.Millisecond, "ms=400", false, 0},
	{"running long", 100 * time.Millisecond, "ms=4000", false, 0},
	{"answering", 150 * time.Millisecond, "size=" + strconv.Itoa(responseSize), false, 5 * time.Millisecond},
	{"answered", 150 * time.Millisecond, "ms=100", false, 0},
}

// requestKind is a kind of request: its path, its idempotency key if any, and
// whether the table marks it as idempotent.
type requestKind struct {
	name       string
	path       string
	key        string
	idempotent bool
}

var requestKinds = []requestKind{
	{"plain", "/match", "", false},
	{"keyed", "/match", "booking-7", false},
	{"idempotent", "/status", "", true},
}

// timedFault is a fault that is injected at a step.
type timedFault struct {
	faultCase faultCase
	step      requestStep
}

// testRequest sends one request while the faults are injected and checks its
// result. The conditions of the request are those of the first fault's step. A request
// with an idempotency key is then repeated.
func testRequest(t *testing.T, kind requestKind, faults ...timedFault) {
	step := faults[0].step
	query := step.query
	runInCluster(t, nil, func(tc *cluster) {
		if step.slotsFull {
			tc.fillSlots()
		}
		tc.net.setDelay(step.delay)
		time.Sleep(100 * time.Millisecond)
		sendTime := time.Now().Add(100 * time.Millisecond)
		planned := true
		for _, f := range faults {
			planned = planned && f.faultCase.planned
			go func() {
				time.Sleep(time.Until(sendTime.Add(f.step.offset)))
				f.faultCase.apply(tc, tc.servingVM())
			}()
		}
		time.Sleep(time.Until(sendTime))
		got := tc.send(tc.Entries[0], kind.path+"?echo=first&"+query, kind.key)
		tc.checkResult(kind, query, planned, got)
		if kind.key != "" {
			tc.checkRepeat(kind, query, got)
		}
	})
}

// fillSlots sends enough requests of 600 ms to occupy every slot: three targets have
// four each.
func (tc *cluster) fillSlots() {
	for i := range 12 {
		go tc.send(tc.Entries[1], fmt.Sprintf("/match?ms=600&echo=busy-%d", i), "")
	}
	time.Sleep(50 * time.Millisecond)
}

// servingVM returns a VM whose target has an open request, or the first VM if there
// is none.
func (tc *cluster) servingVM() *assembler.VM {
	for _, v := range tc.VMs {
		if v.Agent().Status().Open > 0 {
			return v
		}
	}
	return tc.VMs[0]
}

// checkResult checks the result of a request. It first waits 30 s, in which late tries
// may still run. Only idempotent requests may run more than once. A successful response
// must be complete and a target must have run the request. A request that is reported
// as not run must not have run. Planned shutdowns must fail no request. Every error
// response must have a result code and an outcome.
func (tc *cluster) checkResult(kind requestKind, query string, planned bool, got callResult) {
	tc.t.Helper()
	time.Sleep(30 * time.Second)
	runs := tc.runs("first")
	if !kind.idempotent {
		assert.Assert(tc.t, runs <= 1, "a request that is not idempotent ran %d times: %+v", runs, got)
	}
	if got.err == nil && got.status == 200 {
		assert.Assert(tc.t, completeFor(query, "first", got), "incomplete response: %d bytes", len(got.body))
		assert.Assert(tc.t, runs >= 1, "successful response, but no target ran the request")
	}
	if got.outcome == plantainrail.OutcomeNotRun {
		assert.Equal(tc.t, runs, 0, "reported as not run, but ran: %+v", got)
	}
	if planned {
		assert.Assert(tc.t, got.err == nil && got.status == 200, "the request failed although all faults were planned: %+v", got)
	}
	if got.err == nil && got.status != 200 {
		assert.Assert(tc.t, got.code != "" && got.outcome != "", "error response without a result code or an outcome: %+v", got)
	}
}

// checkRepeat repeats the request with its idempotency key through the other
// entry and checks that both together ran at most once, and exactly once if the
// repeat succeeded.
func (tc *cluster) checkRepeat(kind requestKind, query string, first callResult) {
	tc.t.Helper()
	again := tc.send(tc.Entries[1], kind.path+"?echo=first&"+query, kind.key)
	time.Sleep(30 * time.Second)
	runs := tc.runs("first")
	assert.Assert(tc.t, runs <= 1, "the request ran %d times: first %+v, repeat %+v", runs, first, again)
	if again.err == nil && again.status == 200 {
		assert.Assert(tc.t, completeFor(query, "first", again), "incomplete response: %d bytes", len(again.body))
		assert.Equal(tc.t, runs, 1)
	}
}

// completeFor reports whether the result is a complete response to the request with
// this query and echo.
func completeFor(query, echo string, got callResult) bool {
	if strings.HasPrefix(query, "size=") {
		return len(got.body) == responseSize
	}
	return got.complete(echo)
}

// TestRequestMatrix injects each fault at each step of each kind of request.
func TestRequestMatrix(t *testing.T) {
	for _, step := range requestSteps {
		for _, f := range faultCases {
			for _, kind := range requestKinds {
				t.Run(strings.ReplaceAll(fmt.Sprintf("%s/%s/%s", step.name, f.name, kind.name), " ", "-"), func(t *testing.T) {
					t.Parallel()
					testRequest(t, kind, timedFault{f, step})
				})
			}
		}
	}
}

// TestRequestMatrixInPairs injects two random faults during one request. The second
// fault never precedes the first.
func TestRequestMatrixInPairs(t *testing.T) {
	random := rand.New(rand.NewPCG(*matrixSeed, 0))
	for range *matrixPairs {
		step := requestSteps[random.IntN(len(requestSteps))]
		later := requestSteps[random.IntN(len(requestSteps))]
		later.offset = max(later.offset, step.offset)
		a, b := faultCases[random.IntN(len(faultCases))], faultCases[random.IntN(len(faultCases))]
		kind := requestKinds[random.IntN(len(requestKinds))]
		name := fmt.Sprintf("%s/%s/%s/%s/%s", step.name, a.name, later.name, b.name, kind.name)
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testRequest(t, kind, timedFault{a, step}, timedFault{b, later})
		})
	}
}

// Guards against a body that stops short of its end and holds a connection, and a place at the target, for longer than the
// request's deadline.
func TestUnfinishedBodyEndsAtDeadline(t *testing.T) {
	for sent, outcome := range map[int]plantainrail.Outcome{1: plantainrail.OutcomeNotRun, 40_000: plantainrail.OutcomeUncertain} {
		runInCluster(t, nil, func(tc *cluster) {
			body, writer := io.Pipe()
			defer func() { _ = writer.Close() }()
			go func() { _, _ = writer.Write(make([]byte, sent)) }()
			began := time.Now()
			got := tc.sendBody(tc.Entries[0], "/match", "", body)
			assert.Equal(t, got.outcome, outcome, "%d bytes", sent)
			assert.Assert(t, time.Since(began) < 21*time.Second, "after %s", time.Since(began))
			tc.waitWithin(25*time.Second, "the target has ended the request", func() bool {
				for _, v := range tc.VMs {
					if v.Agent().Status().Open > 0 {
						return false
					}
				}
				return true
			})
		})
	}
}
