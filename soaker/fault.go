package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"
)

// plannedFault is a fault of a series. Its play function returns when the fault is over.
type plannedFault struct {
	name string
	play func()
}

// faultKind is a kind of faults. Its draw function draws one.
type faultKind struct {
	name string
	draw func(f *fleet, r *rand.Rand) plannedFault
	// byName is set if the kind is only drawn in series that name it, so that the other seeds keep
	// their series.
	byName bool
}

// faultKinds are drawn equally often.
var faultKinds = []faultKind{
	{name: "silence", draw: silence},
	{name: "silence", draw: silence},
	{name: "silence", draw: silence},
	{name: "cut", draw: cut},
	{name: "reset", draw: resetLinks},
	{name: "delay", draw: delay},
	{name: "restart", draw: ending("restart", syscall.SIGTERM, 1000, false)},
	{name: "kill", draw: ending("kill", syscall.SIGKILL, 3000, false)},
	{name: "move", draw: ending("move", 0, 2000, true)},
	{name: "pause", draw: pause},
	{name: "worker-restart", draw: restartWorker},
	{name: "worker-loss", draw: loseWorker},
	{name: "kill-all", draw: killAll},
	{name: "wave", draw: stopInWaves},
	{name: "entries-move", draw: moveEntries, byName: true},
	{name: "wake", draw: wake, byName: true},
	{name: "late-writes", draw: lateWrites, byName: true},
}

// kindsNamed returns the kinds with the names, or all usual kinds without a name.
func kindsNamed(names []string) []faultKind {
	return slices.DeleteFunc(slices.Clone(faultKinds), func(k faultKind) bool {
		return len(names) == 0 && k.byName || len(names) > 0 && !slices.Contains(names, k.name)
	})
}

// milliseconds draws a duration between two bounds.
func milliseconds(r *rand.Rand, low, high int) time.Duration {
	return time.Duration(low+r.IntN(high-low)) * time.Millisecond
}

// anyOf draws a process of a role, or of any role if it is empty.
func (f *fleet) anyOf(r *rand.Rand, role string) *process {
	for {
		if p := f.processes[r.IntN(len(f.processes))]; role == "" || p.role == role {
			return p
		}
	}
}

// someRole draws entries as often as agents.
func someRole(r *rand.Rand) string { return []string{"entry", "agent"}[r.IntN(2)] }

// anyLinks draws some links: those of all processes, a zone or a process, of all kinds or one.
func (f *fleet) anyLinks(r *rand.Rand) (string, func(*fleetLink) bool) {
	kind := linkKinds[r.IntN(len(linkKinds))]
	ofKind := func(k *fleetLink) bool { return k.kind == kind }
	if r.IntN(2) == 0 {
		kind, ofKind = "all", func(*fleetLink) bool { return true }
	}
	p := f.anyOf(r, someRole(r))
	switch r.IntN(4) {
	case 0:
		return kind + " links of " + p.zone, func(k *fleetLink) bool {
			return ofKind(k) && (k.from.zone == p.zone || k.to != nil && k.to.zone == p.zone)
		}
	case 1:
		return kind + " links of " + p.name, func(k *fleetLink) bool { return ofKind(k) && (k.from == p || k.to == p) }
	}
	return kind + " links", ofKind
}

// breakLinks calls a function for each fitting link, and returns the sum of the results.
func (f *fleet) breakLinks(fits func(*fleetLink) bool, do func(*Link) int) int {
	f.mu.Lock()
	links := f.links
	f.mu.Unlock()
	n := 0
	for _, k := range links {
		if fits(k) {
			n += do(k.Link)
		}
	}
	return n
}

// silence makes open connections go silent for good, mostly in both directions.
func silence(f *fleet, r *rand.Rand) plannedFault {
	name, fits := f.anyLinks(r)
	clients, servers, way := true, true, ""
	switch r.IntN(6) {
	case 0:
		servers, way = false, " to servers"
	case 1:
		clients, way = false, " to clients"
	}
	return plannedFault{"silence" + way + " on " + name, func() {
		f.note("%d connections go silent", f.breakLinks(fits, func(k *Link) int { return k.Silence(clients, servers) }))
	}}
}

func cut(f *fleet, r *rand.Rand) plannedFault {
	name, fits := f.anyLinks(r)
	d := milliseconds(r, 300, 4000)
	return plannedFault{fmt.Sprint("cut of ", d, " of ", name), func() {
		f.breakLinks(fits, func(k *Link) int { k.Cut(d); return 0 })
		time.Sleep(d)
	}}
}

func resetLinks(f *fleet, r *rand.Rand) plannedFault {
	name, fits := f.anyLinks(r)
	return plannedFault{"reset of " + name, func() { f.breakLinks(fits, (*Link).Reset) }}
}

func delay(f *fleet, r *rand.Rand) plannedFault {
	name, fits := f.anyLinks(r)
	by, d := milliseconds(r, 20, 600), milliseconds(r, 1000, 4000)
	return plannedFault{fmt.Sprint("delay by ", by, " for ", d, " of ", name), func() {
		f.breakLinks(fits, func(k *Link) int { k.Delay(by, d); return 0 })
		time.Sleep(d)
	}}
}

// again ends a process by a signal and starts it after a downtime, at a new address if moved is set.
func (f *fleet) again(p *process, signal syscall.Signal, downtime time.Duration, moved bool) {
	p.turn.Lock()
	defer p.turn.Unlock()
	p.stop(signal)
	time.Sleep(downtime)
	if moved {
		if err := f.move(p); err != nil {
			f.find("%s: %v", p.name, err)
		}
	}
	if err := p.start(); err != nil {
		f.find("%s: %v", p.name, err)
	}
}

// ending returns a function that draws a fault: a process ends by a signal, or a drawn one if it is 0, and
// starts again after up to maxDowntime milliseconds, at a new address if moved is set.
func ending(name string, signal syscall.Signal, maxDowntime int, moved bool) func(*fleet, *rand.Rand) plannedFault {
	return func(f *fleet, r *rand.Rand) plannedFault {
		p, downtime, signal := f.anyOf(r, someRole(r)), milliseconds(r, 50, maxDowntime), signal
		if signal == 0 {
			signal = []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[r.IntN(2)]
		}
		return plannedFault{fmt.Sprint(name, " of ", p.name, " by ", signal), func() { f.again(p, signal, downtime, moved) }}
	}
}

func pause(f *fleet, r *rand.Rand) plannedFault {
	p, d := f.anyOf(r, someRole(r)), milliseconds(r, 300, 4500)
	return plannedFault{fmt.Sprint("pause of ", p.name, " for ", d), func() { p.pause(d) }}
}

// wake pauses all entries but one while the store answers late. Shortly before they go on, their sessions are reset, and
// some agents are paused until after it: the entries accept the next sessions before they read what they have missed.
func wake(f *fleet, r *rand.Rand) plannedFault {
	d, by, lead := milliseconds(r, 1200, 3000), milliseconds(r, 50, 300), milliseconds(r, 20, 400)
	awake := r.IntN(f.Entries)
	entries := slices.Delete(slices.Clone(f.processes[:f.Entries]), awake, awake+1)
	var agents []*process
	var pauses []time.Duration
	for _, agent := range f.processes[f.Entries:] {
		if r.IntN(2) == 0 {
			agents, pauses = append(agents, agent), append(pauses, milliseconds(r, 50, 700))
		}
	}
	ofStore := func(k *fleetLink) bool { return k.kind == "entry-store" }
	toEntries := func(k *fleetLink) bool { return k.kind == "agent-entry" && slices.Contains(entries, k.to) }
	return plannedFault{fmt.Sprint("wake of all entries but ", f.processes[awake].name, " after ", d, ", store late by ", by), func() {
		f.breakLinks(ofStore, func(k *Link) int { k.Delay(by, d+time.Second); return 0 })
		var group sync.WaitGroup
		group.Go(func() { f.eachOf(entries, func(_ int, p *process) { p.pause(d) }) })
		time.Sleep(d - lead)
		f.breakLinks(toEntries, (*Link).Reset)
		time.Sleep(lead - lead/4)
		f.eachOf(agents, func(i int, agent *process) { agent.pause(lead/4 + pauses[i]) })
		group.Wait()
	}}
}

// pause stops a process for a time. It may have ended for good.
func (p *process) pause(d time.Duration) {
	p.turn.Lock()
	defer p.turn.Unlock()
	_ = p.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// lateWrites makes the store carry out a share of the appends one to six seconds late, without an answer.
func lateWrites(f *fleet, r *rand.Rand) plannedFault {
	const share, earliest, latest = 0.35, 1000, 6000
	d, seed := milliseconds(r, 1000, 6000), r.Uint64()
	return plannedFault{fmt.Sprint("late writes for ", d), func() {
		var mu sync.Mutex
		r := rand.New(rand.NewPCG(seed, 0))
		f.store.SetLateness(func(string) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			if r.Float64() >= share {
				return 0
			}
			return milliseconds(r, earliest, latest)
		})
		time.Sleep(d)
		f.store.SetLateness(nil)
	}}
}

func restartWorker(f *fleet, r *rand.Rand) plannedFault {
	p, downtime := f.anyOf(r, "agent"), milliseconds(r, 10, 2000)
	return plannedFault{"restart of the worker of " + p.name, func() {
		p.turn.Lock()
		defer p.turn.Unlock()
		if p.worker.MaxRuns() == 0 {
			// The worker is gone for good.
			return
		}
		p.worker.Crash()
		time.Sleep(downtime)
		p.worker.Restart()
	}}
}

// loseWorker ends a worker for good, in half of the cases with its agent. At most a third of the workers
// are lost.
func loseWorker(f *fleet, r *rand.Rand) plannedFault {
	p, both, with := f.anyOf(r, "agent"), r.IntN(2) == 0, ""
	if both {
		with = " and its agent"
	}
	return plannedFault{"loss of the worker of " + p.name + with, func() {
		p.turn.Lock()
		defer p.turn.Unlock()
		f.mu.Lock()
		allowed := !p.workerLost && 3*(f.workersLost+1) <= f.Agents
		if allowed {
			p.workerLost, p.gone = true, both
			f.workersLost++
		}
		f.mu.Unlock()
		if !allowed {
			return
		}
		p.worker.Crash()
		if both {
			f.breakLinks(func(k *fleetLink) bool { return k.from == p }, func(k *Link) int { return k.Silence(true, true) })
			p.stop(syscall.SIGKILL)
		}
	}}
}

// killAll ends all processes at once, in half of the cases without power: no end of a connection is told.
func killAll(f *fleet, r *rand.Rand) plannedFault {
	power, name := r.IntN(2) == 0, "kill of all processes"
	if power {
		name = "power loss of all processes"
	}
	var downtimes []time.Duration
	low := 100 + r.IntN(2000)
	for range f.processes {
		downtimes = append(downtimes, milliseconds(r, low, low+300))
	}
	return plannedFault{name, func() {
		if power {
			f.breakLinks(func(*fleetLink) bool { return true }, func(k *Link) int { return k.Silence(true, true) })
		}
		f.eachOf(f.processes, func(i int, p *process) { f.again(p, syscall.SIGKILL, downtimes[i], false) })
	}}
}

// stopInWaves stops the entries, or the agents of a zone, one after the other before the first is back.
func stopInWaves(f *fleet, r *rand.Rand) plannedFault {
	role, first, step := someRole(r), f.anyOf(r, ""), milliseconds(r, 50, 1500)
	downtime := milliseconds(r, 50, 1500)
	var wave []*process
	for _, p := range f.processes {
		if p.role == role && (role == "entry" || p.zone == first.zone) {
			wave = append(wave, p)
		}
	}
	return plannedFault{fmt.Sprint("wave of restarts of ", len(wave), " of role ", role, " from ", wave[0].name), func() {
		f.eachOf(wave, func(i int, p *process) {
			time.Sleep(time.Duration(i) * step)
			f.again(p, syscall.SIGTERM, downtime, false)
		})
	}}
}

// moveEntries replaces all entries by processes at new addresses, one after the other.
func moveEntries(f *fleet, r *rand.Rand) plannedFault {
	step, downtime := milliseconds(r, 50, 1500), milliseconds(r, 50, 1000)
	signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[r.IntN(2)]
	return plannedFault{fmt.Sprint("move of all entries by ", signal, " every ", step), func() {
		f.eachOf(f.processes[:f.Entries], func(i int, p *process) {
			time.Sleep(time.Duration(i) * step)
			f.again(p, signal, downtime, true)
		})
	}}
}

// eachOf calls a function for all processes at once, and waits for the calls.
func (f *fleet) eachOf(processes []*process, do func(i int, p *process)) {
	var group sync.WaitGroup
	for i, p := range processes {
		group.Go(func() { do(i, p) })
	}
	group.Wait()
}

// play plays a fault and records when it was.
func (f *fleet) play(p plannedFault) {
	fault := &playedFault{p.name, Stretch{From: time.Now()}}
	f.mu.Lock()
	f.faults = append(f.faults, fault)
	f.mu.Unlock()
	f.note("FAULT %s", p.name)
	p.play()
	f.mu.Lock()
	fault.To = time.Now()
	f.mu.Unlock()
	f.note("over: %s", p.name)
}

const (
	// maxFaults is the number of faults in a burst, and burstTime the time in which they begin.
	maxFaults = 4
	burstTime = 2500 * time.Millisecond
)

// playBursts plays the series. Each burst of faults that overlap is followed by a calm time, which is
// longer than CalmTime and IdleTime together.
func (f *fleet) playBursts() {
	r, kinds := rand.New(rand.NewPCG(f.Seed, 0)), kindsNamed(f.Kinds)
	for range f.Bursts {
		var group sync.WaitGroup
		for range 1 + r.IntN(maxFaults) {
			p, after := kinds[r.IntN(len(kinds))].draw(f, r), milliseconds(r, 0, int(burstTime.Milliseconds()))
			group.Go(func() {
				time.Sleep(after)
				f.play(p)
			})
		}
		group.Wait()
		time.Sleep(CalmTime + IdleTime + milliseconds(r, 500, 2500))
	}
}
