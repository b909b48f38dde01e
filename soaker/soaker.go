package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail/standin/runner"
)

// Report is the result of a soak.
type Report struct {
	Accepted, Faults int
	// LongestWait is the longest time in which a job had nothing running, and LongestCalmWait the
	// longest part of such a time that nothing excuses.
	LongestWait, LongestCalmWait time.Duration
	// Findings describes the rules that were broken.
	Findings []string
}

const (
	// startTime is how long the fleet may take to start.
	startTime = 4 * time.Second
	// checkInterval is the time between two checks, and between two looks at the capacity in use.
	checkInterval = 250 * time.Millisecond
	// stallTime is how late a check has to be for the record to tell that the soak itself stood still, and
	// probably its processes too. That excuses nothing.
	stallTime = 500 * time.Millisecond
	// blameTime is how long before a wait the faults are printed that began or ended there.
	blameTime = 10 * time.Second
)

// Run starts a fleet, plays a series of faults while clients submit jobs, and reports what it has found.
func Run(ctx context.Context, o Options) (Report, error) {
	if len(kindsNamed(o.Kinds)) == 0 {
		return Report{}, errors.Errorf("no kind of faults is named %v", o.Kinds)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	f, err := newFleet(ctx, o)
	if err != nil {
		return Report{}, err
	}
	defer f.close()
	time.Sleep(startTime)
	f.noteLinks()
	done, checked := make(chan struct{}), make(chan struct{})
	var clients, checks sync.WaitGroup
	checks.Go(func() { f.checkUntil(checked) })
	f.newClient(0).submit(3, 0)
	for i := range max(3, o.Entries) {
		c, r := f.newClient(i), rand.New(rand.NewPCG(o.Seed, uint64(i)+1))
		clients.Go(func() { c.load(r, done) })
		leaving := rand.New(rand.NewPCG(o.Seed, uint64(i)+1000))
		clients.Go(func() { f.newClient(i).leave(leaving, done) })
	}
	time.Sleep(time.Second)
	second := time.AfterFunc(startTime, func() { f.newClient(1).submit(2, 0) })
	defer second.Stop()
	f.playBursts()
	close(done)
	clients.Wait()
	time.Sleep(AskTime)
	close(checked)
	checks.Wait()
	f.checkEnd()
	return f.report(), nil
}

// find records a finding.
func (f *fleet) find(format string, arguments ...any) {
	text := fmt.Sprintf("seed %d: ", f.Seed) + fmt.Sprintf(format, arguments...)
	f.note("BROKEN %s", text)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.findings = append(f.findings, text)
}

// checkUntil checks the rule on waiting tasks until the channel is closed.
func (f *fleet) checkUntil(done <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(checkInterval):
		}
		now := time.Now()
		if late := now.Sub(last) - checkInterval; late > stallTime {
			f.mu.Lock()
			f.stalls = append(f.stalls, &playedFault{"stall of the soak itself", Stretch{last, now}})
			f.mu.Unlock()
			f.note("the soak itself stood still for %s", late)
		}
		last = now
		if HalfFull(f.workers()) {
			f.mu.Lock()
			f.full = append(f.full, Stretch{now.Add(-checkInterval), now})
			f.mu.Unlock()
		}
		for _, w := range f.ruleRecord(now).Broken(now) {
			f.reportWait(w)
		}
	}
}

// reportWait records a wait that breaks the rule, once.
func (f *fleet) reportWait(w Wait) {
	f.mu.Lock()
	key := fmt.Sprint(w.What, w.From)
	reported := f.reported[key]
	f.reported[key] = true
	var faults []string
	for _, p := range slices.Concat(f.faults, f.stalls) {
		if p.From.Before(w.Calm.To) && (p.To.IsZero() || p.To.After(w.Calm.From.Add(-blameTime))) {
			faults = append(faults, fmt.Sprintf("%s (%.1f to %.1f)", p.name, f.seconds(p.From), f.seconds(p.To)))
		}
	}
	f.mu.Unlock()
	if !reported {
		f.find("LOST %s: nothing ran from %.1f to %.1f at least, calm since %.1f; faults before: %s",
			w.What, f.seconds(w.From), f.seconds(w.To), f.seconds(w.Calm.From), strings.Join(faults, ", "))
	}
}

// ruleRecord returns what the rule on waiting tasks is checked against.
func (f *fleet) ruleRecord(now time.Time) Record {
	runs := slices.Concat(f.histories()...)
	f.mu.Lock()
	defer f.mu.Unlock()
	r := Record{Jobs: slices.Clone(f.jobs), Runs: runs, Full: slices.Clone(f.full)}
	for _, p := range f.faults {
		s := p.Stretch
		if s.To.IsZero() {
			s.To = now
		}
		r.Faults = append(r.Faults, s)
	}
	return r
}

// checkEnd checks that all accepted jobs are done, as the workers and the entries tell, and that nothing ran
// twice, after its cancellation, or beyond a worker's capacity.
func (f *fleet) checkEnd() {
	done := map[string]bool{}
	for _, s := range slices.Concat(f.histories()...) {
		done[s.Task] = done[s.Task] || s.Outcome == "done"
	}
	c := f.newClient(0)
	for _, j := range f.ruleRecord(time.Now()).Jobs {
		if j.LongRunning {
			continue
		}
		for n := range j.Steps * j.Count {
			if !done[j.task(n)] {
				f.find("LOST %s: not done at the end", j.task(n))
			}
		}
		if state := c.state(j.ID); state != "completed" {
			f.find("LOST job %s is %q at the end", j.ID, state)
		}
	}
	for _, v := range runner.Violations(f.histories()...) {
		f.find("TWICE %s", v)
	}
	f.mu.Lock()
	late := LateStarts(f.cancelled, slices.Concat(f.histories()...))
	f.mu.Unlock()
	for _, v := range late {
		f.find("UNASKED %s", v)
	}
	for _, w := range f.workers() {
		for _, v := range w.Overloads() {
			f.find("LIMIT %s", v)
		}
	}
}

// report sums the soak up and writes all runs to the record.
func (f *fleet) report() Report {
	now := time.Now()
	r := f.ruleRecord(now)
	out := Report{Accepted: len(r.Jobs), Faults: len(r.Faults)}
	for _, w := range r.Waits(now) {
		out.LongestWait = max(out.LongestWait, w.Duration())
		out.LongestCalmWait = max(out.LongestCalmWait, w.Calm.Duration())
	}
	for _, p := range f.processes {
		if p.worker == nil {
			continue
		}
		for _, s := range p.worker.History() {
			f.note("run %s %d on %s from %.3f to %.3f %s", s.Task, s.Run, p.name, f.seconds(s.Start), max(0, f.seconds(s.End)), s.Outcome)
		}
	}
	for _, j := range r.Jobs {
		f.note("job %s accepted at %.3f", j.ID, f.seconds(j.Accepted))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	out.Findings = slices.Clone(f.findings)
	return out
}
