package assembler_test

import (
	"flag"
	"fmt"
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
	matrixSeed  = flag.Uint64("matrix.seed", 1, "seed of the pairs of faults that are tried")
	matrixPairs = flag.Int("matrix.pairs", 150, "number of pairs of faults that are tried")
)

// requestStep is a moment in the life of a request.
type requestStep struct {
	name string
	// at is the time from the request's arrival; negative is before it.
	at time.Duration
	// query shapes the request; busy fills the slots first.
	query string
	busy  bool
	// delay slows the network while the request is under way.
	delay time.Duration
}

const answerSize = 400_000

var requestSteps = []requestStep{
	{"before", -50 * time.Millisecond, "ms=100", false, 0},
	{"arriving", 0, "ms=100", false, 0},
	{"queued", 100 * time.Millisecond, "ms=100", true, 0},
	{"running", 100 * time.Millisecond, "ms=400", false, 0},
	{"running long", 100 * time.Millisecond, "ms=4000", false, 0},
	{"answering", 150 * time.Millisecond, "size=" + strconv.Itoa(answerSize), false, 5 * time.Millisecond},
	{"answered", 150 * time.Millisecond, "ms=100", false, 0},
}

// requestKind is a way to ask.
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

// plannedFault is a fault at a step.
type plannedFault struct {
	fault faultCase
	step  requestStep
}

// requestCell tries one request under faults and judges it.
func requestCell(t *testing.T, kind requestKind, faults ...plannedFault) {
	step := faults[0].step
	query := step.query
	inWorld(t, nil, func(w *world) {
		if step.busy {
			w.fillSlots()
		}
		w.net.setDelay(step.delay)
		time.Sleep(100 * time.Millisecond)
		arrival := time.Now().Add(100 * time.Millisecond)
		planned := true
		for _, f := range faults {
			planned = planned && f.fault.planned
			go func() {
				time.Sleep(time.Until(arrival.Add(f.step.at)))
				f.fault.apply(w, w.victim())
			}()
		}
		time.Sleep(time.Until(arrival))
		got := w.ask(w.Entries[0], kind.path+"?echo=first&"+query, kind.key)
		w.judge(kind, query, planned, got)
		if kind.key != "" {
			w.judgeRepeat(kind, query, got)
		}
	})
}

// fillSlots occupies every slot for a while.
func (w *world) fillSlots() {
	for i := range 12 {
		go w.ask(w.Entries[1], fmt.Sprintf("/match?ms=600&echo=busy-%d", i), "")
	}
	time.Sleep(50 * time.Millisecond)
}

// victim is the VM that has a request, or the first one.
func (w *world) victim() *assembler.VM {
	for _, v := range w.VMs {
		if v.Agent().Status().Open > 0 {
			return v
		}
	}
	return w.VMs[0]
}

func (w *world) judge(kind requestKind, query string, planned bool, got answer) {
	w.t.Helper()
	time.Sleep(30 * time.Second)
	runs := w.runs("first")
	if !kind.idempotent {
		assert.Assert(w.t, runs <= 1, "ran %d times: %+v", runs, got)
	}
	if got.err == nil && got.status == 200 {
		assert.Assert(w.t, wholeFor(query, "first", got), "not whole: %d bytes", len(got.body))
		assert.Assert(w.t, runs >= 1, "answered without a run")
	}
	if got.outcome == plantainrail.OutcomeNotRun {
		assert.Equal(w.t, runs, 0, "called not run: %+v", got)
	}
	if planned {
		assert.Assert(w.t, got.err == nil && got.status == 200, "cut off by a planned stop: %+v", got)
	}
	if got.err == nil && got.status != 200 {
		assert.Assert(w.t, got.code != "" && got.outcome != "", "no result code: %+v", got)
	}
}

// judgeRepeat sends the key again through the other entry.
func (w *world) judgeRepeat(kind requestKind, query string, first answer) {
	w.t.Helper()
	again := w.ask(w.Entries[1], kind.path+"?echo=first&"+query, kind.key)
	time.Sleep(30 * time.Second)
	runs := w.runs("first")
	assert.Assert(w.t, runs <= 1, "the key ran %d times: first %+v, again %+v", runs, first, again)
	if again.err == nil && again.status == 200 {
		assert.Assert(w.t, wholeFor(query, "first", again), "not whole: %d bytes", len(again.body))
		assert.Equal(w.t, runs, 1)
	}
}

func wholeFor(query, echo string, got answer) bool {
	if strings.HasPrefix(query, "size=") {
		return len(got.body) == answerSize
	}
	return got.whole(echo)
}

func TestRequestMatrix(t *testing.T) {
	for _, step := range requestSteps {
		for _, f := range faultCases {
			for _, kind := range requestKinds {
				t.Run(strings.ReplaceAll(fmt.Sprintf("%s/%s/%s", step.name, f.name, kind.name), " ", "-"), func(t *testing.T) {
					t.Parallel()
					requestCell(t, kind, plannedFault{f, step})
				})
			}
		}
	}
}

func TestRequestMatrixInPairs(t *testing.T) {
	random := rand.New(rand.NewPCG(*matrixSeed, 0))
	for range *matrixPairs {
		step := requestSteps[random.IntN(len(requestSteps))]
		later := requestSteps[random.IntN(len(requestSteps))]
		later.at = max(later.at, step.at)
		a, b := faultCases[random.IntN(len(faultCases))], faultCases[random.IntN(len(faultCases))]
		kind := requestKinds[random.IntN(len(requestKinds))]
		name := fmt.Sprintf("%s/%s/%s/%s/%s", step.name, a.name, later.name, b.name, kind.name)
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			requestCell(t, kind, plannedFault{a, step}, plannedFault{b, later})
		})
	}
}
