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
	// lowestTail is the tail latency of an idle service and tailObjective its
	// latency objective, both in milliseconds; reportInterval is the time between
	// two reports. The objective is reached at a load of
	// 1-lowestTail/tailObjective, which is 0.8.
	lowestTail     = 25
	tailObjective  = 125
	reportInterval = 500 * time.Millisecond
)

var start = time.Unix(1_700_000_000, 0)

// noisyTail returns the tail latency of a service under a load, with a random
// error of up to 5 percent.
func noisyTail(load float64, random *rand.Rand) float64 {
	noise := 1 + 0.05*(2*random.Float64()-1)
	return lowestTail / (1 - min(load, 0.98)) * noise
}

// ownLoad returns the own load of a service, which varies between 0.25 and 0.65
// with a period of 20 seconds.
func ownLoad(at time.Duration) float64 { return 0.45 + 0.2*math.Sin(2*math.Pi*at.Seconds()/20) }

// Load pattern: neighbours. Guards against placement that mistakes a service's own
// load for interference: pairs of images that interfere must be distinguished
// from others within half a minute, while the own load varies by as much.
func TestInterferingPairsAreDistinguished(t *testing.T) {
	fillers := []struct {
		image        string
		interference float64
	}{{"heavy", 0.03}, {"light", 0.002}}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		e := estimator.New()
		for at := time.Duration(0); at < 30*time.Second; at += reportInterval {
			for vm := range 4 {
				cores, load := map[string]float64{}, ownLoad(at)
				// Each filler uses seven cores on each VM, except in three of every
				// nine seconds.
				for i, f := range fillers {
					if (int(at/(3*time.Second))+vm)%3 != i {
						cores[f.image] = 7
						load += 7 * f.interference
					}
				}
				e.Observe(start.Add(at), []estimator.Service{{Group: "job", Image: "s", TailLatency: noisyTail(load, random), TailObjective: tailObjective}}, estimator.NewUses(cores))
			}
		}
		heavy, light := e.LoadPerCore("s", "heavy"), e.LoadPerCore("s", "light")
		assert.Assert(t, heavy > 0.02 && heavy < 0.05, "seed %d: interference per core of the heavy filler %.4f, want 0.02 to 0.05", seed, heavy)
		assert.Assert(t, light < 0.01, "seed %d: interference per core of the light filler %.4f, want below 0.01", seed, light)
	}
}

// Loads are measured relative to the lowest tail latency that was observed: the
// own load and the load at the latency objective must be correct on that scale.
func TestOwnLoadAndLoadAtTailObjective(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	e := estimator.New()
	s := estimator.Service{Group: "job", Image: "s", TailObjective: tailObjective}
	for at := time.Duration(0); at < time.Minute; at += reportInterval {
		s.TailLatency = noisyTail(ownLoad(at), random)
		e.Observe(start.Add(at), []estimator.Service{s}, nil)
	}
	// The lowest load that was observed, 0.25, counts as none.
	own, idle := ownLoad(time.Minute), 0.25
	assert.Assert(t, math.Abs(e.OwnLoad("job")-(own-idle)/(1-idle)) < 0.12, "own load %.2f", e.OwnLoad("job"))
	assert.Assert(t, math.Abs(e.LoadAtTailObjective(s)-(0.8-idle)/(1-idle)) < 0.05, "load at objective %.2f", e.LoadAtTailObjective(s))
}

func TestDefaultsBeforeMeasurements(t *testing.T) {
	e := estimator.New()
	s := estimator.Service{Group: "job", Image: "s", TailObjective: tailObjective}
	e.Observe(start, []estimator.Service{s}, []estimator.Use{{Image: "f", Cores: 5}})
	assert.Equal(t, e.OwnLoad("job"), 0.0, "a service without a tail latency must be skipped")
	assert.Equal(t, e.LoadAtTailObjective(s), 1.0, "an unknown service must be assumed to tolerate any load")
	first := e.LoadPerCore("s", "f")
	assert.Assert(t, first > 0, "an unknown filler must be assumed to interfere a little")
	assert.Assert(t, e.CautiousLoadPerCore("s", "f") > first, "an unknown filler must count as interfering more than is expected")
	assert.Equal(t, e.FillerLoad("s", []estimator.Use{{Image: "f", Cores: 3}}), 3*e.CautiousLoadPerCore("s", "f"))
}

func TestMemoryIsBounded(t *testing.T) {
	e := estimator.New()
	for i := range 20_000 {
		image := fmt.Sprint("s", i)
		e.Observe(start, []estimator.Service{{Group: image, Image: image, TailLatency: 50, TailObjective: tailObjective}}, []estimator.Use{{Image: "f", Cores: 1}})
	}
	kept := 0
	for i := range 20_000 {
		if e.OwnLoad(fmt.Sprint("s", i)) > 0 {
			kept++
		}
	}
	assert.Assert(t, kept <= 4096, "%d groups are kept", kept)
}

func ExampleEstimator() {
	e := estimator.New()
	s := estimator.Service{Group: "feeds", Image: "feed", TailObjective: 100}
	for at := range 60 {
		s.TailLatency = 20
		cores := map[string]float64{}
		if at%2 == 0 {
			// Four cores of a rebuild raise the tail of the feeds by a quarter.
			s.TailLatency, cores["rebuild"] = 25, 4
		}
		e.Observe(start.Add(time.Duration(at)*time.Second), []estimator.Service{s}, estimator.NewUses(cores))
	}
	fmt.Printf("load at objective %.1f, four cores add %.1f\n", e.LoadAtTailObjective(s), e.FillerLoad("feed", []estimator.Use{{Image: "rebuild", Cores: 4}}))
	// Output: load at objective 0.8, four cores add 0.2
}
