package assembler_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// statusDuration is how long the platform's clients may ask for an ended job, status_s.
	statusDuration = 120 * time.Second
	// maxRetention is the time after which no record of an ended job may be left: five minutes,
	// half a minute from the submission to the progress, and a margin.
	maxRetention = 5*time.Minute + 45*time.Second
	// betweenDeletions is a time, from the end of a job, at which its submission is deleted
	// and its progress is not.
	betweenDeletions = 5*time.Minute + 15*time.Second
)

// jobRecords returns the keys of the records of jobs in the store.
func (f *fleet) jobRecords() []string {
	keys := f.store.Keys("keyed.jobs")
	for _, key := range f.store.Keys("keyed.runs") {
		if key != "beat" {
			keys = append(keys, key)
		}
	}
	return keys
}

// runs returns the number of runs so far.
func (f *fleet) runs() int {
	count := 0
	for _, v := range f.vms {
		count += len(v.worker.History())
	}
	return count
}

// statusAt returns the status with which entry i answers a query for job n.
func (f *fleet) statusAt(i, n int) int {
	client := f.client("client")
	defer client.CloseIdleConnections()
	status, _, _ := f.callEntry(client, i, http.MethodGet, "/q/"+jobID(n), nil)
	return status
}

// setEntries sets the state of some entries' connections. An entry that is cut off from the store
// alone reads it through another one.
func (f *fleet) setEntries(entries []*fleetEntry, state fault) {
	for _, e := range entries {
		f.net.setFault(e.name, state)
	}
}

// Guards against a store that fills with the records of ended jobs until it refuses everything
// (LOST), against a job that runs again because half of its records were deleted (TWICE), and
// against an ended job that is forgotten while clients may ask for it.
func TestEndedJobsLeaveTheStore(t *testing.T) {
	for _, c := range []struct {
		name string
		// whileDeleted is called when the submissions are deleted and the progress is not.
		whileDeleted func(f *fleet)
	}{
		{"undisturbed", func(*fleet) {}},
		{"owner killed between the deletions", func(f *fleet) { f.killEntry(f.owner(), time.Second) }},
		{"all entries killed between the deletions", func(f *fleet) {
			for i := range f.entries {
				f.killEntry(i, 10*time.Millisecond)
			}
		}},
		{"history expired, and the owner is killed", func(f *fleet) {
			f.store.Expire()
			f.killEntry(f.owner(), time.Second)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				f.submit(1, "300", jobSteps)
				f.submit(2, "60000", jobSteps)
				f.waitForState(1, "completed", 10*time.Second)
				status, _ := f.call(http.MethodDelete, 2, nil)
				assert.Equal(t, status, http.StatusOK)
				f.waitForState(2, "cancelled", 10*time.Second)
				ended, runs := time.Now(), f.runs()

				f.killEntry(f.owner(), time.Second)
				time.Sleep(statusDuration + time.Second - time.Since(ended))
				for i := range f.entries {
					assert.Equal(t, f.statusAt(i, 1), http.StatusOK, "entry %d", i)
				}
				assert.Equal(t, f.jobState(1), "completed")
				f.submit(1, "300", jobSteps)

				time.Sleep(betweenDeletions - time.Since(ended))
				assert.DeepEqual(t, f.jobRecords(), []string{jobID(1), jobID(2)})
				c.whileDeleted(f)
				time.Sleep(maxRetention + 15*time.Second - time.Since(ended))
				assert.DeepEqual(t, f.jobRecords(), []string(nil))
				for i := range f.entries {
					assert.Equal(t, f.statusAt(i, 1), http.StatusGone, "entry %d", i)
				}
				assert.Equal(t, f.runs(), runs)
				f.checkRuns()
			})
		})
	}
}

// Guards against an entry that keeps deleted jobs for ever, or runs them as the next owner,
// because the store forgot the deletions before they were read.
func TestForgottenDeletionsOfJobsAreNoticed(t *testing.T) {
	for _, c := range []struct {
		name string
		// away returns the entries that are cut off during the deletions.
		away func(f *fleet) []*fleetEntry
	}{
		{"all but the owner are away", func(f *fleet) []*fleetEntry { return f.others(f.owner()) }},
		{"the owner is away", func(f *fleet) []*fleetEntry { return []*fleetEntry{f.entries[f.owner()]} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				f.submit(1, "300", jobSteps)
				f.waitForState(1, "completed", 10*time.Second)
				ended, runs, away := time.Now(), f.runs(), c.away(f)
				time.Sleep(statusDuration)
				f.setEntries(away, down)
				time.Sleep(maxRetention + 15*time.Second - time.Since(ended))
				assert.DeepEqual(t, f.jobRecords(), []string(nil))
				f.store.Expire()
				f.setEntries(away, healthy)
				time.Sleep(5 * time.Second)
				for i := range f.entries {
					assert.Equal(t, f.statusAt(i, 1), http.StatusGone, "entry %d", i)
				}
				f.killEntry(f.owner(), 5*time.Second)
				assert.Equal(t, f.runs(), runs)
			})
		})
	}
}

// Guards against a job that is accepted and never runs, because its ID is that of a job whose
// records are being deleted or were deleted.
func TestLateResubmissionIsANewJob(t *testing.T) {
	for name, age := range map[string]time.Duration{"only the progress is left": betweenDeletions, "nothing is left": maxRetention} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, smallFleet, func(f *fleet) {
				f.submit(1, "300", jobSteps)
				f.waitForState(1, "completed", 10*time.Second)
				runs := f.runs()
				time.Sleep(age)
				f.submit(1, "20000", jobSteps)
				time.Sleep(10 * time.Second)
				assert.Equal(t, f.jobState(1), "in_progress")
				f.killEntry(f.owner(), time.Second)
				f.waitForState(1, "completed", time.Minute)
				assert.Equal(t, f.runs(), 2*runs)
				time.Sleep(maxRetention)
				assert.DeepEqual(t, f.jobRecords(), []string(nil))
			})
		})
	}
}
