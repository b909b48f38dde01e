package assembler_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/assembler"
	"github.com/plantainrail/plantainrail/caller"
	"github.com/plantainrail/plantainrail/receiver"
	"github.com/plantainrail/plantainrail/standin/recorder"
)

// tableWithWeight returns the test table with this weight of the kind match, so that
// its revisions differ.
func tableWithWeight(weight int) string {
	return strings.Replace(table, "latency-critical,5", fmt.Sprintf("latency-critical,%d", weight), 1)
}

// watchRevisions checks, every 50 ms until stop is called, that no entry or agent
// goes back to an older revision of the table, and that each revision has the
// same content in all entries.
func (tc *cluster) watchRevisions() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	// latest holds the newest revision seen in each entry and agent. A restarted
	// agent is a new one and may start with an older revision.
	latest := map[any]int64{}
	content := map[int64]string{}
	check := func(key any, name string, revision int64) {
		if revision < latest[key] {
			tc.t.Errorf("%s went back from revision %d to %d", name, latest[key], revision)
		}
		latest[key] = revision
	}
	go func() {
		defer close(ended)
		for {
			for _, e := range tc.EntryList() {
				current := e.Table()
				check(e, e.Name, current.Revision)
				text := fmt.Sprint(current.Kinds)
				if old, ok := content[current.Revision]; ok && old != text {
					tc.t.Errorf("revision %d has two different contents", current.Revision)
				}
				content[current.Revision] = text
			}
			for _, v := range tc.VMs {
				check(v.Agent(), v.Name, v.Agent().Revision())
			}
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

// hasRevision reports whether the revision is in force in the given entries and in all
// agents.
func (tc *cluster) hasRevision(revision int64, entries ...*assembler.Entry) bool {
	for _, e := range entries {
		if e.Table().Revision != revision {
			return false
		}
	}
	for _, v := range tc.VMs {
		if v.Agent().Revision() != revision {
			return false
		}
	}
	return true
}

// errorCode returns the result code of an error from an entry, or 0 for any other
// error and for nil.
func errorCode(err error) plantainrail.Code {
	var failure *caller.APIError
	if errors.As(err, &failure) {
		return failure.Code
	}
	return 0
}

func TestTableIsInForceEverywhereWithin3Seconds(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		defer tc.watchRevisions()()
		for revision := int64(1); revision < 6; revision++ {
			_, err := tc.operatorClient(tc.Entries[revision%2]).Publish(tc.ctx, receiver.PublishRequest{Base: revision, CSV: tableWithWeight(int(revision) + 10)})
			assert.NilError(t, err)
			tc.waitWithin(3*time.Second, "table in force", func() bool { return tc.hasRevision(revision+1, tc.Entries...) })
		}
	})
}

// Two tables that were edited from the same revision are published at the same time
// through different entries. One must come into force, and the other must be rejected
// with a conflict.
func TestConcurrentPublishesHaveOneWinner(t *testing.T) {
	for name, faults := range map[string]recorder.Faults{
		"healthy": {}, "log slow": {DelayMS: 300}, "log loses replies": {LoseReplies: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runInCluster(t, nil, func(tc *cluster) {
				defer tc.watchRevisions()()
				tc.Log.SetFaults(faults)
				results := make(chan error, 2)
				for i, e := range tc.Entries {
					go func() {
						_, err := tc.operatorClient(e).Publish(tc.ctx, receiver.PublishRequest{Base: 1, CSV: tableWithWeight(20 + i), Editor: e.Name})
						results <- err
					}()
				}
				first, second := <-results, <-results
				if first != nil {
					first, second = second, first
				}
				assert.NilError(t, first)
				assert.Equal(t, errorCode(second), plantainrail.CodeTableConflict, "%v", second)
				tc.Log.SetFaults(recorder.Faults{})
				tc.waitWithin(3*time.Second, "table in force", func() bool { return tc.hasRevision(2, tc.Entries...) })
				history, err := tc.operatorClient(tc.Entries[0]).History(tc.ctx)
				assert.NilError(t, err)
				assert.Equal(t, len(history), 2)
			})
		})
	}
}

// The log stores a record but its reply is lost, so the entry cannot know whether to
// append the record again. The same publish, sent through both entries, must create
// one revision.
func TestPublishWithLostReplyAppliesOnce(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		defer tc.watchRevisions()()
		tc.Log.SetFaults(recorder.Faults{LoseReplies: true})
		again := receiver.PublishRequest{ID: "again", Base: 1, CSV: tableWithWeight(30)}
		for _, e := range tc.Entries {
			reply, err := tc.operatorClient(e).Publish(tc.ctx, again)
			assert.NilError(t, err)
			assert.Equal(t, reply.Revision, int64(2))
		}
		tc.Log.SetFaults(recorder.Faults{})
		time.Sleep(5 * time.Second)
		assert.Assert(t, tc.hasRevision(2, tc.Entries...))
	})
}

// While the log is down, a publish must fail with the code publish_unknown, and
// requests must still be served. The same publish, repeated after the outage, must
// take effect once.
func TestPublishDuringLogOutageReportsUnknown(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		defer tc.watchRevisions()()
		tc.Log.SetFaults(recorder.Faults{Down: true})
		_, err := tc.operatorClient(tc.Entries[0]).Publish(tc.ctx, receiver.PublishRequest{ID: "late", Base: 1, CSV: tableWithWeight(40)})
		assert.Equal(t, errorCode(err), plantainrail.CodePublishUnknown)
		assert.Assert(t, tc.send(tc.Entries[0], "/match?echo=outage", "").complete("outage"))
		tc.Log.SetFaults(recorder.Faults{})
		reply, err := tc.operatorClient(tc.Entries[1]).Publish(tc.ctx, receiver.PublishRequest{ID: "late", Base: 1, CSV: tableWithWeight(40)})
		assert.NilError(t, err)
		assert.Equal(t, reply.Revision, int64(2))
		tc.waitWithin(3*time.Second, "table in force", func() bool { return tc.hasRevision(2, tc.Entries...) })
	})
}

// Both entries are replaced by a new one while the log is down. The new one can get
// the table only from the agents, and must then serve requests.
func TestNewEntryGetsTheTableFromAgents(t *testing.T) {
	runInCluster(t, nil, func(tc *cluster) {
		defer tc.watchRevisions()()
		tc.Log.SetFaults(recorder.Faults{Down: true})
		added, err := tc.StartEntry("entry-new", "a")
		assert.NilError(t, err)
		for _, v := range tc.VMs {
			v.Agent().AddEntries([]string{added.Address})
		}
		for _, e := range tc.Entries[:2] {
			e.Kill()
		}
		tc.waitWithin(10*time.Second, "table from the agents", func() bool { return added.Table().Revision == 1 })
		tc.waitWithin(10*time.Second, "requests served", func() bool { return tc.send(added, "/match?echo=served", "").complete("served") })
	})
}

// The log drops its old records repeatedly while the entries are replaced one
// after another. Neither an old revision nor a publish that lost a conflict may
// come into force.
func TestTableSurvivesRetention(t *testing.T) {
	runInCluster(t, func(o *assembler.Options) { o.MaxLogRecords = 60 }, func(tc *cluster) {
		defer tc.watchRevisions()()
		_, err := tc.operatorClient(tc.Entries[0]).Publish(tc.ctx, receiver.PublishRequest{Base: 1, CSV: tableWithWeight(50)})
		assert.NilError(t, err)
		_, err = tc.operatorClient(tc.Entries[1]).Publish(tc.ctx, receiver.PublishRequest{Base: 1, CSV: tableWithWeight(51)})
		assert.Equal(t, errorCode(err), plantainrail.CodeTableConflict)
		time.Sleep(20 * time.Minute)
		for i := range 3 {
			added, err := tc.StartEntry(fmt.Sprintf("entry-late-%d", i), "a")
			assert.NilError(t, err)
			tc.waitFor("table in force", func() bool { return tc.hasRevision(2, added) })
			tc.Entries[i].Kill()
			time.Sleep(15 * time.Minute)
		}
		last := tc.Entries[len(tc.Entries)-1]
		_, err = tc.operatorClient(last).Publish(tc.ctx, receiver.PublishRequest{Base: 2, CSV: tableWithWeight(52)})
		assert.NilError(t, err)
		tc.waitWithin(3*time.Second, "table in force", func() bool { return tc.hasRevision(3, last) })
	})
}

// TestPublishMatrix publishes a table through an entry, and injects each fault before,
// during and after the publish. An accepted publish must not be lost, and a repeat of
// it must not create a second revision.
func TestPublishMatrix(t *testing.T) {
	steps := map[string]time.Duration{"before": -100 * time.Millisecond, "during": 5 * time.Millisecond, "after": 200 * time.Millisecond}
	for step, at := range steps {
		for _, f := range faultCases {
			t.Run(strings.ReplaceAll(step+"/"+f.name, " ", "-"), func(t *testing.T) {
				t.Parallel()
				runInCluster(t, nil, func(tc *cluster) {
					defer tc.watchRevisions()()
					start := time.Now().Add(time.Second)
					go func() {
						time.Sleep(time.Until(start.Add(at)))
						f.apply(tc, tc.VMs[0])
					}()
					time.Sleep(time.Until(start))
					call := receiver.PublishRequest{ID: "matrix", Base: 1, CSV: tableWithWeight(60)}
					_, err := tc.operatorClient(tc.Entries[0]).Publish(tc.ctx, call)
					time.Sleep(30 * time.Second)
					revision := tc.Entries[1].Table().Revision
					if err == nil {
						assert.Equal(t, revision, int64(2), "an accepted publish was lost")
					}
					reply, err := tc.operatorClient(tc.Entries[1]).Publish(tc.ctx, call)
					assert.NilError(t, err)
					assert.Equal(t, reply.Revision, int64(2))
					tc.waitWithin(3*time.Second, "table in force", func() bool { return tc.Entries[1].Table().Revision == 2 })
				})
			})
		}
	}
}
