package assembler_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/decider"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/platform"
)

// silencer is a store whose reads can be made to hang, as those on a connection that has gone
// silent: their answers are lost, and new reads work. It can also be slowed down, refuse reads,
// and return nothing for a while, as to a process that is frozen.
type silencer struct {
	plantainrail.Store

	mu sync.Mutex
	// silencedAt is when the reads of a topic that were open then became silent.
	silencedAt map[string]time.Time
	// lost holds the topics whose next append does not arrive.
	lost map[string]bool
	// delay is how much later each call returns, and readDelay how much later than that a read.
	delay, readDelay time.Duration
	// unreadable makes all reads fail, and no call returns before thawsAt.
	unreadable bool
	thawsAt    time.Time
}

func newSilencer(store plantainrail.Store) *silencer {
	return &silencer{Store: store, silencedAt: map[string]time.Time{}, lost: map[string]bool{}}
}

// silence makes the open reads of a topic hang.
func (s *silencer) silence(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silencedAt[topic] = time.Now()
}

// loseAppend makes the next append to a topic hang, which does not arrive.
func (s *silencer) loseAppend(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost[topic] = true
}

// slowDown makes each call return later.
func (s *silencer) slowDown(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// refuseReads makes all reads fail, or work again.
func (s *silencer) refuseReads(refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreadable = refuse
}

// freeze makes all calls return only after the given time. Those that are open have been
// executed by then, others begin after it.
func (s *silencer) freeze(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.thawsAt = time.Now().Add(duration)
}

// slowDownReads makes each read return later than other calls.
func (s *silencer) slowDownReads(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readDelay = delay
}

// wait delays the return of a call.
func (s *silencer) wait() {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	s.awaitThaw()
}

// awaitThaw returns when the calls are not frozen.
func (s *silencer) awaitThaw() {
	s.mu.Lock()
	thawsAt := s.thawsAt
	s.mu.Unlock()
	time.Sleep(time.Until(thawsAt))
}

// Append implements plantainrail.Store.
func (s *silencer) Append(ctx context.Context, call plantainrail.AppendCall) (plantainrail.Offset, error) {
	s.awaitThaw()
	defer s.wait()
	s.mu.Lock()
	lost := s.lost[call.Topic]
	delete(s.lost, call.Topic)
	s.mu.Unlock()
	if lost {
		timer := time.NewTimer(silentAppendTime)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		return 0, errors.Wrap(context.DeadlineExceeded, "silent connection")
	}
	return s.Store.Append(ctx, call)
}

const (
	// silentReadMargin is how long a silent read takes beyond its wait, and silentAppendTime how long a
	// silent append takes, as in package platform.
	silentReadMargin = time.Second
	silentAppendTime = 2 * time.Second
)

// Read implements plantainrail.Store.
func (s *silencer) Read(ctx context.Context, topic string, from plantainrail.Offset, wait time.Duration) (plantainrail.KeyedBatch, error) {
	s.awaitThaw()
	sentAt := time.Now()
	batch, err := s.Store.Read(ctx, topic, from, wait)
	s.wait()
	s.mu.Lock()
	silent, unreadable, readDelay := !s.silencedAt[topic].Before(sentAt), s.unreadable, s.readDelay
	s.mu.Unlock()
	time.Sleep(readDelay)
	if unreadable {
		return plantainrail.KeyedBatch{}, errors.New("read refused")
	}
	if !silent {
		return batch, err
	}
	_ = clocker.Sleep(ctx, time.Until(sentAt.Add(wait+silentReadMargin)))
	return plantainrail.KeyedBatch{}, errors.Wrap(context.DeadlineExceeded, "silent connection")
}

// others returns the entries but one.
func (f *fleet) others(excluded int) []*fleetEntry {
	var out []*fleetEntry
	for i, e := range f.entries {
		if i != excluded {
			out = append(out, e)
		}
	}
	return out
}

// Guards against accepted tasks that never run again, or run twice, because a new owner takes
// over before it has read the jobs that its predecessor has started (LOST, TWICE).
func TestNewOwnerKnowsTheJobsOfItsPredecessor(t *testing.T) {
	for _, c := range []struct{ name, spec string }{
		{"runs end after the takeover", "600"},
		{"runs end during the takeover", "150"},
		{"runs last beyond the next reads", "3000"},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				owner := f.owner()
				for _, e := range f.others(owner) {
					e.store.silence("jobs")
				}
				for n := range 3 {
					f.submit(n, c.spec, jobSteps)
				}
				time.Sleep(50 * time.Millisecond)
				f.group.Go(func() error {
					// The test may end before the drain does.
					_ = f.entries[owner].decider.Drain(f.ctx)
					return nil
				})
				for n := range 3 {
					f.waitForState(n, "completed", 12*time.Second)
				}
				f.checkRuns()
			})
		})
	}
}

// Guards against an entry that takes the ownership from a healthy owner, because its own reads
// stood still and it takes this for the owner's silence.
func TestEntryWithSilentReadsLeavesTheOwnerAlone(t *testing.T) {
	for _, duration := range []time.Duration{400 * time.Millisecond, 900 * time.Millisecond, 1220 * time.Millisecond, 1400 * time.Millisecond, 2 * time.Second} {
		t.Run(duration.String(), func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				owner := f.owner()
				for range 5 {
					f.cutFromStore(f.others(owner), duration)
					time.Sleep(2*time.Second + duration/7)
					assert.Equal(f.t, f.owner(), owner)
				}
			})
		})
	}
}

// Guards against jobs that nobody owns, because the entry that has claimed them learns of its own
// claim only by a long poll whose connection has gone silent (LOST).
func TestOwnerIsReplacedWhileReadsOfMembersHang(t *testing.T) {
	// limit is the time after which an owner counts as silent and the time in which its
	// successor takes over, with half a second for a call to the store that has to be repeated.
	const limit = 2 * time.Second
	for _, c := range []struct {
		name string
		lose func(f *fleet, owner int)
	}{
		{"power lost", func(f *fleet, owner int) {
			f.net.setFault(f.entries[owner].name, down)
			f.entries[owner].stop()
		}},
		{"power lost, claims unanswered", func(f *fleet, owner int) {
			for _, e := range f.others(owner) {
				e.store.loseAppend("members")
			}
			f.net.setFault(f.entries[owner].name, down)
			f.entries[owner].stop()
		}},
		{"resigned", func(f *fleet, owner int) {
			f.group.Go(func() error {
				// The test may end before the drain does.
				_ = f.entries[owner].decider.Drain(f.ctx)
				return nil
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				owner := f.owner()
				f.submit(1, "20000", jobSteps[:1])
				time.Sleep(100 * time.Millisecond)
				for _, e := range f.others(owner) {
					e.store.silence("members")
				}
				c.lose(f, owner)
				begin := time.Now()
				for f.entries[owner].decider.Owns() {
					time.Sleep(10 * time.Millisecond)
				}
				f.owner()
				assert.Assert(f.t, time.Since(begin) <= limit, "no entry owned the jobs for %s", time.Since(begin))
				f.waitForState(1, "completed", 25*time.Second)
				f.checkRuns()
			})
		})
	}
}

// Guards against jobs that nobody owns for as long as a silent owner would take, because the store refuses a
// resignation on the condition of an end that is not the topic's any more.
func TestResignationIsStoredAfterANewEntry(t *testing.T) {
	const limit = 600 * time.Millisecond
	runInFleet(t, smallFleet, func(f *fleet) {
		owner := f.owner()
		f.entries[owner].store.silence("members")
		f.killEntry((owner+1)%len(f.entries), 10*time.Millisecond)
		time.Sleep(200 * time.Millisecond)
		begin := time.Now()
		f.group.Go(func() error { _ = f.entries[owner].decider.Drain(f.ctx); return nil })
		synctest.Wait()
		f.owner()
		assert.Check(t, time.Since(begin) <= limit, "no entry owned the jobs for %s", time.Since(begin))
	})
}

// Guards against entries that send agents to an owner that is gone for as long as their long polls of the
// members are silent (LOST).
func TestEntriesKnowTheOwnerWhileReadsOfMembersHang(t *testing.T) {
	// limit is the wait of an entry that follows the jobs, the delay of its second read, and the time
	// until another one hears of it.
	const limit = 2500 * time.Millisecond
	for _, shape := range fleetShapes {
		t.Run(shape.name, func(t *testing.T) {
			runInFleet(t, shape, func(f *fleet) {
				lost := f.owner()
				for _, e := range f.others(lost) {
					e.store.silence("members")
				}
				f.net.setFault(f.entries[lost].name, down)
				f.entries[lost].stop()
				for f.entries[lost].decider.Owns() {
					time.Sleep(10 * time.Millisecond)
				}
				owner := f.owner()
				time.Sleep(limit)
				client := f.client("vm-9")
				defer client.CloseIdleConnections()
				for _, e := range f.others(lost) {
					session, known, _ := decider.Dial(f.ctx, client, e.decider.Address)
					if session != nil {
						session.Close()
						known.Address = e.decider.Address
					}
					assert.Check(t, known.Address == f.entries[owner].decider.Address, "%s names %q as the owner", e.name, known.Address)
				}
			})
		})
	}
}

// Guards against starts in an evacuated zone (EVAC) of runs that were assigned before all entries
// lost power: the zone was evacuated meanwhile.
func TestNothingStartsInAZoneThatWasEvacuatedDuringAPowerLoss(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		// The power goes while the assignments are being stored.
		f.store.SetAppendTime(300 * time.Millisecond)
		f.submit(1, "300", jobSteps)
		time.Sleep(100 * time.Millisecond)
		for _, e := range f.entries {
			f.net.setFault(e.name, down)
			e.stop()
		}
		f.store.SetAppendTime(0)
		// All VMs are in zone z.
		f.store.Put("keyed.op", "evacuate/z", []byte("{}"))
		time.Sleep(8 * time.Second)
		for i, e := range f.entries {
			f.net.setFault(e.name, healthy)
			f.startEntry(i)
		}
		time.Sleep(5 * time.Second)
		for _, v := range f.vms {
			assert.Equal(f.t, len(v.worker.History()), 0, "runs on %s", v.name)
		}
		f.store.Put("keyed.op", "evacuate/z", nil)
		f.waitForState(1, "completed", 10*time.Second)
		f.checkRuns()
	})
}

// Load pattern: slow store beside a loss of the owner. Guards against entries that take the
// ownership from each other (LOST), because a takeover at a store that answers after 300 ms lasts
// longer than an owner may write nothing.
func TestSlowTakeoverIsNotTakenForSilence(t *testing.T) {
	runInFleet(t, smallFleet, func(f *fleet) {
		f.submit(1, "20000", jobSteps[:1])
		for _, e := range f.entries {
			e.store.slowDown(300 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		lost := f.owner()
		f.killEntry(lost, time.Second)
		// Until then the successor has claimed, fenced, read and written.
		time.Sleep(4 * time.Second)
		owner := f.owner()
		for begin := time.Now(); time.Since(begin) < 10*time.Second; time.Sleep(50 * time.Millisecond) {
			assert.Assert(f.t, f.entries[owner].decider.Owns(), "the ownership changed %s later", time.Since(begin))
		}
		for _, e := range f.entries {
			e.store.slowDown(0)
		}
		f.waitForState(1, "completed", 25*time.Second)
		f.checkRuns()
	})
}

// Guards against two runs of a task at the same time (TWICE): an agent's session with a new owner ends
// before the agent has heard of it, so that it goes on with the earlier owner, which still renews leases.
func TestReportOfAnAgentThatKnowsOnlyTheEarlierOwner(t *testing.T) {
	left := int64(0)
	refused := linker.RunRefusal{Ref: plantainrail.RunRef{Task: plantainrail.TaskID{Job: jobID(1)}, Run: 1}, Reason: plantainrail.RefusedCapacity}
	for _, c := range []struct {
		name   string
		report linker.WorkReport
	}{
		{"worker reachable", linker.WorkReport{}},
		{"worker seems to be lost", linker.WorkReport{LeaseLeftMS: &left}},
		// The earlier owner may order the run again.
		{"run refused", linker.WorkReport{Refused: []linker.RunRefusal{refused}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				f.submit(1, "20000", []map[string]any{{"count": 4, "cpu": 1000}})
				time.Sleep(time.Second)
				earlier := f.owner()
				// The owner keeps its session with one agent, which does not read who owns the jobs.
				f.isolate(earlier, f.vms[0], blackholed)
				f.reportOnce(f.vms[0], f.awaitOtherOwner(earlier), c.report)
				time.Sleep(12 * time.Second)
				f.isolate(earlier, f.vms[0], healthy)
				f.checkRuns()
			})
		})
	}
}

// isolate sets the state of the links that connect an entry or the agent of a VM with anything but each
// other and the worker.
func (f *fleet) isolate(entry int, v *fleetVM, state fault) {
	name := f.entries[entry].name
	links := []string{linkName(name, "store"), linkName(v.name, "store")}
	for _, e := range f.others(entry) {
		links = append(links, linkName(name, e.name), linkName(v.name, e.name))
	}
	for _, other := range f.vms {
		if other != v {
			links = append(links, linkName(other.name, name))
		}
	}
	for _, link := range links {
		f.net.setFault(link, state)
	}
}

// awaitOtherOwner waits up to ten seconds until another entry owns the jobs, and returns it.
func (f *fleet) awaitOtherOwner(earlier int) int {
	f.t.Helper()
	for range 100 {
		for i, e := range f.entries {
			if i != earlier && e.decider.Owns() {
				return i
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatal("no other entry owns the jobs")
	return 0
}

// reportOnce sends an entry the report of a VM's agent on a session of its own, which ends before the
// agent reads the orders that follow.
func (f *fleet) reportOnce(v *fleetVM, entry int, r linker.WorkReport) {
	f.t.Helper()
	// The links of the agent itself drop everything by now.
	client := f.client("session of " + v.name)
	defer client.CloseIdleConnections()
	incarnation := plantainrail.WorkerIncarnation{Node: v.name, ID: "w-" + v.name}
	_, err := platform.NewWorker(v.workerAddress, client).RenewLease(f.ctx, incarnation, 0, plantainrail.LeaseRenewal{})
	var refused *plantainrail.RefusedError
	assert.Assert(f.t, errors.As(err, &refused), "a worker that knows an owner refuses a call without epoch")
	incarnation.StartedMS = refused.StartedMS
	session, _, err := decider.Dial(f.ctx, client, f.entries[entry].decider.Address)
	assert.NilError(f.t, err)
	f.group.Go(func() error { _ = session.Run(f.ctx, make(orderRecorder, 10)); return nil })
	r.Epoch = 1
	r.VM = plantainrail.VM{Incarnation: incarnation, Pool: "desk", Zone: "z", Draining: r.LeaseLeftMS != nil, Capacity: plantainrail.Resources{Processors: 6000, Memory: 64_000}}
	assert.NilError(f.t, session.Send(linker.Frame{Work: &r}))
	time.Sleep(50 * time.Millisecond)
	session.Close()
}

// Guards against two runs of a task at the same time (TWICE): an agent refuses a run on a new session before it has read
// the owner's list, which holds the run, and starts it once it has.
func TestRefusalCrossesTheListOfANewSession(t *testing.T) {
	for _, held := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond} {
		for phase := range 8 {
			t.Run(fmt.Sprint(held, " ", phase), func(t *testing.T) {
				runInFleet(t, fleetShape{entries: 1, zones: 1, vms: 2}, func(f *fleet) {
					v := f.vms[0]
					link, workerLink := linkName(v.name, f.entries[0].name), linkName(v.name, v.name+workerSuffix)
					time.Sleep(time.Duration(phase) * 130 * time.Millisecond)
					f.net.setFault(workerLink, down)
					time.AfterFunc(800*time.Millisecond, func() { f.net.setFault(workerLink, healthy) })
					time.Sleep(30 * time.Millisecond)
					f.submit(1, "20000", []map[string]any{{"count": 6, "cpu": 1000}})
					time.Sleep(200*time.Millisecond - held/2)
					// What the owner sends on the next session of the agent is held up.
					hold := func(to *fleetVM) {
						if to == v {
							f.dialed.Store(nil)
							f.net.setFault(link, repliesHeld)
							time.AfterFunc(held, func() { f.net.setFault(link, healthy) })
						}
					}
					f.dialed.Store(&hold)
					f.net.setFault(link, down)
					f.net.setFault(link, healthy)
					time.Sleep(10 * time.Second)
					f.checkRuns()
				})
			})
		}
	}
}
