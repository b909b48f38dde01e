// Package router balances an entry's requests over targets. It picks the better of two
// random targets by estimated wait (Mitzenmacher, "The Power of Two Choices in Randomized
// Load Balancing", 2001), prefers the entry's own zone, ramps up new targets by slow
// start, and ejects targets that fail or are much slower than their peers. Package
// receiver calls it for each try of a request. It performs no I/O and reads no clock.
package router

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/charter"
)

const (
	// latencyEMAWeight is the weight of a new sample in the exponential moving average
	// of a target's latency.
	latencyEMAWeight = 0.2
	// latencyHalfLife is the time in which an idle target's mean latency halves.
	latencyHalfLife = time.Second
	// maxLatencyHalvings bounds how many times an idle target's mean latency is halved.
	maxLatencyHalvings = 20
	// maxConsecutiveFailures is the number of failures in a row that ejects a target.
	maxConsecutiveFailures = 3
	// minEjection is the duration of a target's first ejection. It doubles with each
	// further one, up to maxEjection.
	minEjection = 2 * time.Second
	maxEjection = 30 * time.Second
	// maxEjectedShare is the largest share of the targets with the same kinds that may
	// be ejected at once.
	maxEjectedShare = 0.34
	// slowStartDuration is how long a new or readmitted target takes to reach its normal
	// share of the load.
	slowStartDuration = 5 * time.Second
	// minSlowStartShare is the fraction of its normal load that a new or readmitted target
	// starts with.
	minSlowStartShare = 0.1
	// otherZonePenalty multiplies the score of a target in another zone, so that it is
	// preferred only if its estimated wait is shorter by more than this factor.
	otherZonePenalty = 1.3
	// outlierFactor is the multiple of its peers' median latency above which a target
	// is ejected as too slow.
	outlierFactor = 4.0
	// minOutlierSamples is the number of latency samples required before a target can
	// be an outlier.
	minOutlierSamples = 8
	// retryBudgetShare is the number of retries and hedges that each try adds to the retry
	// budget when it is sent.
	retryBudgetShare = 0.08
	// maxRetryBudget bounds the retry budget that accumulates while few retries are
	// needed. A Router starts with this budget.
	maxRetryBudget = 20
	// hedgeDelayFactor is the multiple of the kind's hedgeQuantile latency after which a
	// request is hedged.
	hedgeDelayFactor = 1.0
	// minHedgeDelay is the shortest wait before a hedge.
	minHedgeDelay = 5 * time.Millisecond
	// maxLatencySamples is the number of recent latencies kept for each kind.
	maxLatencySamples = 256
	// hedgeQuantile is the latency quantile that the hedge delay is based on.
	hedgeQuantile = 0.95
)

var targetChart = charter.MustLoad("target")

// Target states of the state chart "target".
const (
	stateWarming charter.State = "warming"
	stateReady   charter.State = "ready"
	stateEjected charter.State = "ejected"
	stateLeaving charter.State = "leaving"
)

// target is a target and what this entry has measured of it.
type target struct {
	view  plantainrail.TargetView
	state charter.State
	// stateSince is when the target entered its state.
	stateSince   time.Time
	ejectedUntil time.Time
	// sentTimes holds when each try in flight was sent, the oldest first.
	sentTimes []time.Time
	// meanLatency is an exponential moving average; 0 before the first sample.
	meanLatency time.Duration
	// lastSampleAt is when meanLatency was last updated.
	lastSampleAt time.Time
	// samples counts the latency samples since the target was new or readmitted.
	samples             int
	consecutiveFailures int
	// ejections counts how many times the target was ejected.
	ejections int
}

// Router implements plantainrail.Router.
type Router struct {
	// zone is the entry's zone.
	zone    string
	random  *rand.Rand
	targets map[string]*target
	kinds   map[string]*kindStats
	// retryBudget is the number of retries and hedges that may be sent now.
	retryBudget float64
}

// kindStats holds the recent latencies of a kind in a ring buffer.
type kindStats struct {
	latencies []time.Duration
	// count is the number of latencies recorded so far.
	count int
	// hedgeDelay is 0 until maxLatencySamples/8 latencies were recorded.
	hedgeDelay time.Duration
}

// New returns a Router for an entry in the zone. The seed determines its random choices.
func New(zone string, seed uint64) *Router {
	return &Router{
		zone: zone, random: rand.New(rand.NewPCG(seed, seed+1)),
		targets: map[string]*target{}, kinds: map[string]*kindStats{}, retryBudget: maxRetryBudget,
	}
}

// Update implements plantainrail.Router.
func (r *Router) Update(now time.Time, agent string, views []plantainrail.TargetView) {
	present := map[string]bool{}
	for _, v := range views {
		present[v.Info.Name] = true
		r.updateTarget(now, v)
	}
	for name, t := range r.targets {
		if t.view.Agent == agent && !present[name] {
			delete(r.targets, name)
		}
	}
}

// updateTarget records a target's view. A new incarnation starts with empty statistics.
func (r *Router) updateTarget(now time.Time, v plantainrail.TargetView) {
	t, ok := r.targets[v.Info.Name]
	if !ok || t.view.Info.Incarnation != v.Info.Incarnation {
		t = &target{state: targetChart.Initial, stateSince: now}
		r.targets[v.Info.Name] = t
	}
	t.view = v
	if v.Leaving {
		t.transition(now, "leave")
	}
	r.applyTimedTransitions(now, t)
}

// transition applies an event to the target's state. An event that the state does not
// accept is ignored.
func (t *target) transition(now time.Time, e charter.Event) {
	next, ok := targetChart.Next(t.state, e)
	if ok {
		t.state = next
		t.stateSince = now
	}
}

// applyTimedTransitions ends an ejection or a slow start whose time is over. A readmitted
// target starts with empty latency statistics and a new slow start.
func (r *Router) applyTimedTransitions(now time.Time, t *target) {
	if t.state == stateEjected && !now.Before(t.ejectedUntil) {
		t.transition(now, "readmit")
		t.consecutiveFailures = 0
		t.samples = 0
		t.meanLatency = 0
	}
	if t.state == stateWarming && now.Sub(t.stateSince) >= slowStartDuration {
		t.transition(now, "warm")
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
		// The second choice excludes the first one. Otherwise a slow target would still
		// be picked whenever both choices fell on it.
		second := (first + 1 + r.random.IntN(len(candidates)-1)) % len(candidates)
		if r.score(now, candidates[second]) < r.score(now, best) {
			best = candidates[second]
		}
	}
	return best.view, true
}

// candidates returns the targets that a request may be sent to: those with a free slot,
// or the busy ones if there are none, or the ejected ones if there are no others. They
// are sorted by name so that the random choice depends only on the seed.
func (r *Router) candidates(now time.Time, kind string, exclude map[string]bool) []*target {
	var free, busy, ejected []*target
	for name, t := range r.targets {
		r.applyTimedTransitions(now, t)
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

// load returns the number of requests at the target: the number of tries that this entry
// has in flight there, or the number that the agent reported if that is larger.
func (t *target) load() int {
	return max(len(t.sentTimes), t.view.Running+t.view.Queued)
}

// expectedLatency returns the mean latency, which decays while the target is idle, or
// the age of the oldest try in flight if that is higher. The age shows that a target is
// slow before its response arrives. The age is not used while the target has a queue,
// since the queue may explain the wait. The result is at least 1 ms, so that load and zone
// also affect the score of a target without samples.
func (t *target) expectedLatency(now time.Time) time.Duration {
	latency := t.meanLatency
	if idle := now.Sub(t.lastSampleAt); latency > 0 && idle > 0 {
		latency >>= min(idle/latencyHalfLife, maxLatencyHalvings)
	}
	if len(t.sentTimes) > 0 && t.load() <= t.view.Info.Slots {
		latency = max(latency, now.Sub(t.sentTimes[0]))
	}
	return max(latency, time.Millisecond)
}

// score estimates the wait at a target, in nanoseconds weighted by zone and slow start;
// lower is better.
func (r *Router) score(now time.Time, t *target) float64 {
	score := float64(t.load()+1) / float64(max(t.view.Info.Slots, 1)) * float64(t.expectedLatency(now))
	if t.view.Zone != r.zone {
		score *= otherZonePenalty
	}
	if t.state == stateWarming {
		share := minSlowStartShare + (1-minSlowStartShare)*float64(now.Sub(t.stateSince))/float64(slowStartDuration)
		score /= min(max(share, minSlowStartShare), 1)
	}
	return score
}

// Sent implements plantainrail.Router. Every try, also a retry or a hedge, adds to the
// retry budget.
func (r *Router) Sent(now time.Time, name string) {
	r.retryBudget = min(r.retryBudget+retryBudgetShare, maxRetryBudget)
	if t, ok := r.targets[name]; ok {
		t.sentTimes = append(t.sentTimes, now)
	}
}

// removeSent removes the try that was sent at the given time, which the caller computed
// and which may be inexact: the latest one that was sent at or before it, or the oldest
// one if all were sent later.
func (t *target) removeSent(sentAt time.Time) {
	for i := len(t.sentTimes) - 1; i >= 0; i-- {
		if !t.sentTimes[i].After(sentAt) || i == 0 {
			t.sentTimes = slices.Delete(t.sentTimes, i, i+1)
			return
		}
	}
}

// Done implements plantainrail.Router. ResultRefused only removes the try and changes no
// statistics, since such a try says nothing about the target's speed or health.
func (r *Router) Done(now time.Time, name string, duration time.Duration, result plantainrail.TryResult) {
	t, ok := r.targets[name]
	if !ok {
		return
	}
	t.removeSent(now.Add(-duration))
	switch result {
	case plantainrail.ResultAnswered:
		t.consecutiveFailures = 0
		t.recordLatency(now, duration)
		r.recordKindLatency(t, duration)
		if r.isOutlier(t) {
			r.eject(now, t)
		}
	case plantainrail.ResultAbandoned:
		// The response would have taken at least this long, so the sample counts only if
		// it raises the mean.
		if duration > t.meanLatency {
			t.recordLatency(now, duration)
		}
	case plantainrail.ResultFailed:
		t.consecutiveFailures++
		if t.consecutiveFailures >= maxConsecutiveFailures {
			r.eject(now, t)
		}
	}
}

// recordLatency adds a latency to the target's exponential moving average.
func (t *target) recordLatency(now time.Time, latency time.Duration) {
	t.lastSampleAt = now
	t.samples++
	if t.meanLatency == 0 {
		t.meanLatency = latency
		return
	}
	t.meanLatency += time.Duration(latencyEMAWeight * float64(latency-t.meanLatency))
}

// recordKindLatency adds a latency to the statistics of every kind that the target
// serves, since Done does not get the kind of the request.
func (r *Router) recordKindLatency(t *target, latency time.Duration) {
	for _, kind := range t.view.Info.Kinds {
		k, ok := r.kinds[kind]
		if !ok {
			k = &kindStats{}
			r.kinds[kind] = k
		}
		k.recordLatency(latency)
	}
}

// recordLatency adds a latency to the ring buffer. It recomputes the hedge delay each time
// that maxLatencySamples/8 further latencies were added.
func (k *kindStats) recordLatency(latency time.Duration) {
	if len(k.latencies) < maxLatencySamples {
		k.latencies = append(k.latencies, latency)
	} else {
		k.latencies[k.count%maxLatencySamples] = latency
	}
	k.count++
	if k.count%(maxLatencySamples/8) != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(k.latencies))
	k.hedgeDelay = time.Duration(hedgeDelayFactor * float64(sorted[int(hedgeQuantile*float64(len(sorted)-1))]))
}

// isOutlier reports whether a target's mean latency is above outlierFactor times the
// median of its peers, which counts as at least 1 ms. Peers are the other targets with the
// same kinds and a measured latency; with fewer than two of them no target is an outlier.
func (r *Router) isOutlier(t *target) bool {
	if t.samples < minOutlierSamples {
		return false
	}
	var peerLatencies []time.Duration
	for _, p := range r.targets {
		if p != t && p.meanLatency > 0 && slices.Equal(p.view.Info.Kinds, t.view.Info.Kinds) {
			peerLatencies = append(peerLatencies, p.meanLatency)
		}
	}
	if len(peerLatencies) < 2 {
		return false
	}
	slices.Sort(peerLatencies)
	return float64(t.meanLatency) > outlierFactor*float64(max(peerLatencies[len(peerLatencies)/2], time.Millisecond))
}

// eject ejects a target for a limited time, unless that would exceed maxEjectedShare of
// the targets with the same kinds. The duration is doubled at most four times, since
// minEjection<<4 is above maxEjection.
func (r *Router) eject(now time.Time, t *target) {
	peers, ejected := 0, 0
	for _, p := range r.targets {
		if !slices.Equal(p.view.Info.Kinds, t.view.Info.Kinds) {
			continue
		}
		peers++
		if p.state == stateEjected {
			ejected++
		}
	}
	if float64(ejected+1) > maxEjectedShare*float64(peers) {
		return
	}
	if _, ok := targetChart.Next(t.state, "eject"); !ok {
		return
	}
	t.transition(now, "eject")
	t.ejectedUntil = now.Add(min(minEjection<<min(t.ejections, 4), maxEjection))
	t.ejections++
}

// HedgeAfter implements plantainrail.Router.
func (r *Router) HedgeAfter(kind string) time.Duration {
	k, ok := r.kinds[kind]
	if !ok || k.hedgeDelay == 0 {
		return 0
	}
	return max(k.hedgeDelay, minHedgeDelay)
}

// TakeRetry implements plantainrail.Router.
func (r *Router) TakeRetry() bool {
	if r.retryBudget < 1 {
		return false
	}
	r.retryBudget--
	return true
}

// TargetState is the state of a target as shown to operators.
type TargetState struct {
	View  plantainrail.TargetView
	State charter.State
	// Sent is the number of tries that this entry has in flight at the target.
	Sent int
	// Latency is the mean latency; 0 before the first sample.
	Latency time.Duration
}

// Targets returns the state of every target, sorted by name.
func (r *Router) Targets(now time.Time) []TargetState {
	var list []TargetState
	for _, t := range r.targets {
		r.applyTimedTransitions(now, t)
		list = append(list, TargetState{t.view, t.state, len(t.sentTimes), t.meanLatency})
	}
	slices.SortFunc(list, func(a, b TargetState) int {
		if a.View.Info.Name < b.View.Info.Name {
			return -1
		}
		return 1
	})
	return list
}
