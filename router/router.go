// Package router chooses targets by load: the better of two random choices by
// estimated wait (Mitzenmacher, "The Power of Two Choices in Randomized Load
// Balancing", 2001), with preference for the entry's own zone, slow start for
// new targets, and ejection of targets that fail or lag far behind their peers.
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/charter"
)

const (
	// latencyWeight is the weight of a new sample in a target's mean latency.
	latencyWeight = 0.2
	// latencyHalfLife is the time in which an idle target's mean latency halves.
	latencyHalfLife = time.Second
	maxHalvings     = 20
	// failureLimit is the number of failures in a row that eject a target.
	failureLimit = 3
	// ejectBase is the length of a first ejection; it doubles up to ejectMax.
	ejectBase = 2 * time.Second
	ejectMax  = 30 * time.Second
	// ejectShare is the largest share of a kind's targets ejected at once.
	ejectShare = 0.34
	// warmTime is how long a new target's share of the load grows.
	warmTime = 5 * time.Second
	// warmFloor is the share that a new target begins with.
	warmFloor = 0.1
	// otherZone is the factor by which a target in another zone must be better.
	otherZone = 1.3
	// laggard is the factor over its peers' median latency that makes a target slow.
	laggard = 4.0
	// laggardSamples is the number of answers before a target can be a laggard.
	laggardSamples = 8
	// budgetShare is the share of the sent load that retries and hedges may add.
	budgetShare = 0.08
	// budgetMax bounds the retries saved up in quiet times.
	budgetMax = 20
	// hedgeFactor is the multiple of a kind's high latency quantile after which
	// an attempt is hedged.
	hedgeFactor = 1.0
	// hedgeFloor is the shortest wait before a hedge.
	hedgeFloor = 5 * time.Millisecond
	// quantileSamples is the number of recent latencies kept for each kind.
	quantileSamples = 256
	// hedgeQuantile is the latency quantile at which a hedge is sent.
	hedgeQuantile = 0.95
)

var targetChart = charter.MustLoad("target")

// Target states, as the chart names them.
const (
	stateWarming charter.State = "warming"
	stateReady   charter.State = "ready"
	stateEjected charter.State = "ejected"
	stateLeaving charter.State = "leaving"
)

type target struct {
	view  plantainrail.TargetView
	state charter.State
	since time.Time
	until time.Time
	// sent holds when each attempt under way was sent, the oldest first.
	sent    []time.Time
	latency time.Duration
	// sampled is when the latency was last noted.
	sampled  time.Time
	samples  int
	failures int
	ejected  int
}

// Router implements plantainrail.Router.
type Router struct {
	zone    string
	random  *rand.Rand
	targets map[string]*target
	kinds   map[string]*kindStats
	budget  float64
}

type kindStats struct {
	recent []time.Duration
	at     int
	hedge  time.Duration
}

// New returns a Router for an entry in the zone.
func New(zone string, seed uint64) *Router {
	return &Router{
		zone: zone, random: rand.New(rand.NewPCG(seed, seed+1)),
		targets: map[string]*target{}, kinds: map[string]*kindStats{}, budget: budgetMax,
	}
}

// Update implements plantainrail.Router.
func (r *Router) Update(now time.Time, agent string, views []plantainrail.TargetView) {
	present := map[string]bool{}
	for _, v := range views {
		present[v.Info.Name] = true
		r.update(now, v)
	}
	for name, t := range r.targets {
		if t.view.Agent == agent && !present[name] {
			delete(r.targets, name)
		}
	}
}

func (r *Router) update(now time.Time, v plantainrail.TargetView) {
	t, ok := r.targets[v.Info.Name]
	if !ok || t.view.Info.Incarnation != v.Info.Incarnation {
		t = &target{state: targetChart.Initial, since: now}
		r.targets[v.Info.Name] = t
	}
	t.view = v
	if v.Leaving {
		t.step(now, "leave")
	}
	r.advance(now, t)
}

func (t *target) step(now time.Time, e charter.Event) {
	next, ok := targetChart.Next(t.state, e)
	if ok {
		t.state = next
		t.since = now
	}
}

// advance takes the steps that are due by time alone.
func (r *Router) advance(now time.Time, t *target) {
	if t.state == stateEjected && !now.Before(t.until) {
		t.step(now, "readmit")
		t.failures = 0
		t.samples = 0
		t.latency = 0
	}
	if t.state == stateWarming && now.Sub(t.since) >= warmTime {
		t.step(now, "warm")
	}
}

// Pick implements plantainrail.Router.
func (r *Router) Pick(now time.Time, kind string, exclude map[string]bool) (plantainrail.TargetView, bool) {
	candidates := r.candidates(now, kind, exclude)
	if len(candidates) == 0 {
		return plantainrail.TargetView{}, false
	}
	first := r.random.IntN(len(candidates))
	best := candidates[first]
	if len(candidates) > 1 {
		// A second choice that may fall on the first one again would leave a
		// slow target its share of such pairs.
		second := (first + 1 + r.random.IntN(len(candidates)-1)) % len(candidates)
		if r.score(now, candidates[second]) < r.score(now, best) {
			best = candidates[second]
		}
	}
	return best.view, true
}

// candidates lists the targets that may take a request, those with a free slot
// alone when there are any. Ejected targets are used when nothing else is left.
func (r *Router) candidates(now time.Time, kind string, exclude map[string]bool) []*target {
	var free, busy, ejected []*target
	for name, t := range r.targets {
		r.advance(now, t)
		if exclude[name] || t.state == stateLeaving || t.view.ZoneOut || !slices.Contains(t.view.Info.Kinds, kind) {
			continue
		}
		switch {
		case t.state == stateEjected:
			ejected = append(ejected, t)
		case t.load() < t.view.Info.Slots:
			free = append(free, t)
		default:
			busy = append(busy, t)
		}
	}
	for _, list := range [][]*target{free, busy, ejected} {
		if len(list) > 0 {
			slices.SortFunc(list, func(a, b *target) int {
				if a.view.Info.Name < b.view.Info.Name {
					return -1
				}
				return 1
			})
			return list
		}
	}
	return nil
}

// load is the larger of what this entry has there and what the agent reports.
func (t *target) load() int {
	return max(len(t.sent), t.view.Running+t.view.Queued)
}

// expected is the latency to reckon with: the mean, which fades while nothing
// is sent there, or the age of the oldest attempt under way if that is more. An
// answer that is late tells of a slow target before it arrives, unless the
// target's queue explains the wait.
func (t *target) expected(now time.Time) time.Duration {
	latency := t.latency
	if idle := now.Sub(t.sampled); latency > 0 && idle > 0 {
		latency >>= min(idle/latencyHalfLife, maxHalvings)
	}
	if len(t.sent) > 0 && t.load() <= t.view.Info.Slots {
		latency = max(latency, now.Sub(t.sent[0]))
	}
	return max(latency, time.Millisecond)
}

// score estimates the wait at a target; lower is better.
func (r *Router) score(now time.Time, t *target) float64 {
	score := float64(t.load()+1) / float64(max(t.view.Info.Slots, 1)) * float64(t.expected(now))
	if t.view.Zone != r.zone {
		score *= otherZone
	}
	if t.state == stateWarming {
		share := warmFloor + (1-warmFloor)*float64(now.Sub(t.since))/float64(warmTime)
		score /= min(max(share, warmFloor), 1)
	}
	return score
}

// Sent implements plantainrail.Router.
func (r *Router) Sent(now time.Time, name string) {
	r.budget = min(r.budget+budgetShare, budgetMax)
	if t, ok := r.targets[name]; ok {
		t.sent = append(t.sent, now)
	}
}

// ended drops the attempt that was sent last at or before the instant.
func (t *target) ended(sent time.Time) {
	for i := len(t.sent) - 1; i >= 0; i-- {
		if !t.sent[i].After(sent) || i == 0 {
			t.sent = slices.Delete(t.sent, i, i+1)
			return
		}
	}
}

// Done implements plantainrail.Router.
func (r *Router) Done(now time.Time, name string, took time.Duration, result plantainrail.Result) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	t.ended(now.Add(-took))
	switch result {
	case plantainrail.ResultAnswered:
		t.failures = 0
		t.note(now, took)
		r.noteKinds(t, took)
		if r.lags(t) {
			r.eject(now, t)
		}
	case plantainrail.ResultAbandoned:
		// An attempt that was given up took at least this long.
		if took > t.latency {
			t.note(now, took)
		}
	case plantainrail.ResultFailed:
		t.failures++
		if t.failures >= failureLimit {
			r.eject(now, t)
		}
	}
}

func (t *target) note(now time.Time, took time.Duration) {
	t.sampled = now
	t.samples++
	if t.latency == 0 {
		t.latency = took
		return
	}
	t.latency += time.Duration(latencyWeight * float64(took-t.latency))
}

func (r *Router) noteKinds(t *target, took time.Duration) {
	for _, kind := range t.view.Info.Kinds {
		k, ok := r.kinds[kind]
		if !ok {
			k = &kindStats{}
			r.kinds[kind] = k
		}
		k.note(took)
	}
}

func (k *kindStats) note(took time.Duration) {
	if len(k.recent) < quantileSamples {
		k.recent = append(k.recent, took)
	} else {
		k.recent[k.at%quantileSamples] = took
	}
	k.at++
	if k.at%(quantileSamples/8) != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(k.recent))
	k.hedge = time.Duration(hedgeFactor * float64(sorted[int(hedgeQuantile*float64(len(sorted)-1))]))
}

// lags tells whether a target's latency is far above its peers' median.
func (r *Router) lags(t *target) bool {
	if t.samples < laggardSamples {
		return false
	}
	var peers []time.Duration
	for _, p := range r.targets {
		if p != t && p.latency > 0 && slices.Equal(p.view.Info.Kinds, t.view.Info.Kinds) {
			peers = append(peers, p.latency)
		}
	}
	if len(peers) < 2 {
		return false
	}
	slices.Sort(peers)
	return float64(t.latency) > laggard*float64(max(peers[len(peers)/2], time.Millisecond))
}

// eject takes a target out for a while, unless too many peers are out already.
func (r *Router) eject(now time.Time, t *target) {
	peers, out := 0, 0
	for _, p := range r.targets {
		if !slices.Equal(p.view.Info.Kinds, t.view.Info.Kinds) {
			continue
		}
		peers++
		if p.state == stateEjected {
			out++
		}
	}
	if float64(out+1) > ejectShare*float64(peers) {
		return
	}
	if _, ok := targetChart.Next(t.state, "eject"); !ok {
		return
	}
	t.step(now, "eject")
	t.until = now.Add(min(ejectBase<<min(t.ejected, 4), ejectMax))
	t.ejected++
}

// HedgeAfter implements plantainrail.Router.
func (r *Router) HedgeAfter(kind string) time.Duration {
	k, ok := r.kinds[kind]
	if !ok || k.hedge == 0 {
		return 0
	}
	return max(k.hedge, hedgeFloor)
}

// Spend implements plantainrail.Router.
func (r *Router) Spend() bool {
	if r.budget < 1 {
		return false
	}
	r.budget--
	return true
}

// TargetState describes a target for operators.
type TargetState struct {
	View    plantainrail.TargetView
	State   charter.State
	Sent    int
	Latency time.Duration
}

// Targets lists the targets by name.
func (r *Router) Targets(now time.Time) []TargetState {
	var list []TargetState
	for _, t := range r.targets {
		r.advance(now, t)
		list = append(list, TargetState{t.view, t.state, len(t.sent), t.latency})
	}
	slices.SortFunc(list, func(a, b TargetState) int {
		if a.View.Info.Name < b.View.Info.Name {
			return -1
		}
		return 1
	})
	return list
}
