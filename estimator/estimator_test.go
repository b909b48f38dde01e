package estimator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/estimator"
)

const (
	// floor is the tail of an idle service and target its bound, both in
	// milliseconds; step is the time between two reports.
	floor  = 25
	target = 125
	step   = 500 * time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

// tail is the latency of a service whose VM is under a pressure, as a rough
// figure.
func tail(pressure float64, random *rand.Rand) int {
	rough := 1 + 0.05*(2*random.Float64()-1)
	return int(floor / (1 - min(pressure, 0.98)) * rough)
}

// swing is the own pressure of a service in the course of the day.
func swing(at time.Duration) float64 { return 0.45 + 0.2*math.Sin(2*math.Pi*at.Seconds()/20) }

// Pattern: neighbours. The pairs that press have to be told from those that do
// not within half a minute, beside a load that swings by as much.
func TestPairsThatPressAreToldFromOthers(t *testing.T) {
	fillers := []struct {
		image string
		press float64
	}{{"heavy", 0.03}, {"light", 0.002}}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		e := estimator.New()
		for at := time.Duration(0); at < 30*time.Second; at += step {
			for vm := range 4 {
				cores, pressure := map[string]float64{}, swing(at)
				for i, f := range fillers {
					if (int(at/(3*time.Second))+vm)%3 != i {
						cores[f.image] = 7
						pressure += 7 * f.press
					}
				}
				e.Observe(start.Add(at), []estimator.Service{{Group: "job", Image: "s", Tail: tail(pressure, random), Target: target}}, cores)
			}
		}
		heavy, light := e.Press("s", "heavy"), e.Press("s", "light")
		assert.Assert(t, heavy > 0.02 && heavy < 0.05, "seed %d: heavy %.4f", seed, heavy)
		assert.Assert(t, light < 0.01, "seed %d: light %.4f", seed, light)
	}
}

// The estimates are in units of the distance between the lowest tail and an
// endless one, so that a service at its target has the bound's pressure.
func TestOwnLoadAndBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	e := estimator.New()
	s := estimator.Service{Group: "job", Image: "s", Target: target}
	for at := time.Duration(0); at < time.Minute; at += step {
		s.Tail = tail(swing(at), random)
		e.Observe(start.Add(at), []estimator.Service{s}, nil)
	}
	// The lowest pressure that was seen, 0.25, counts as none.
	own, idle := swing(time.Minute), 0.25
	assert.Assert(t, math.Abs(e.Own("job")-(own-idle)/(1-idle)) < 0.12, "own pressure %.2f", e.Own("job"))
	assert.Assert(t, math.Abs(e.Bound(s)-(0.8-idle)/(1-idle)) < 0.05, "bound %.2f", e.Bound(s))
}

func TestUnknownServicesAndFigures(t *testing.T) {
	e := estimator.New()
	s := estimator.Service{Group: "job", Image: "s", Target: target}
	e.Observe(start, []estimator.Service{s}, map[string]float64{"f": 5})
	assert.Equal(t, e.Own("job"), 0.0, "a tail that was not measured tells nothing")
	assert.Equal(t, e.Bound(s), 1.0, "a service that is not known bears all")
	first := e.Press("s", "f")
	assert.Assert(t, first > 0, "a filler that is not known is taken to press a little")
	assert.Equal(t, e.Pressed("s", map[string]float64{"f": 3}), 3*first)
}

func TestWhatIsLearnedIsBounded(t *testing.T) {
	e := estimator.New()
	for i := range 20_000 {
		image := fmt.Sprint("s", i)
		e.Observe(start, []estimator.Service{{Group: image, Image: image, Tail: 50, Target: target}}, map[string]float64{"f": 1})
	}
	kept := 0
	for i := range 20_000 {
		if e.Own(fmt.Sprint("s", i)) > 0 {
			kept++
		}
	}
	assert.Assert(t, kept <= 4096, "%d groups are kept", kept)
}

func ExampleEstimator() {
	e := estimator.New()
	s := estimator.Service{Group: "feeds", Image: "feed", Target: 100}
	for at := range 60 {
		s.Tail = 20
		cores := map[string]float64{}
		if at%2 == 0 {
			// Four cores of a rebuild lengthen the tail of the feeds by a quarter.
			s.Tail, cores["rebuild"] = 25, 4
		}
		e.Observe(start.Add(time.Duration(at)*time.Second), []estimator.Service{s}, cores)
	}
	fmt.Printf("bound %.1f, four cores press %.1f\n", e.Bound(s), e.Pressed("feed", map[string]float64{"rebuild": 4}))
	// Output: bound 0.8, four cores press 0.2
}
