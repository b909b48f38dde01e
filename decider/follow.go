package decider

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
)

// Maximum waits of long polls, by topic. A read that returns, even without
// records, shows that the store is reachable and that the entry has the newest
// records. Topics for which the age of the newest read matters have short waits.
// jobsPollWait also applies to the progress topic.
const (
	// membersPollWait is that of the members and of the replicas' claims on most entries, which hear
	// from the replica of their zone what they lack. An entry that follows the jobs decides by them
	// and asks nobody, so its waits are ownMembersPollWait.
	membersPollWait       = 20 * time.Second
	ownMembersPollWait    = time.Second
	configurationPollWait = 1200 * time.Millisecond
	jobsPollWait          = 500 * time.Millisecond
)

// newViews returns the views of the topics that the entry follows.
func (d *Decider) newViews() {
	every := func(wait time.Duration) func() time.Duration { return func() time.Duration { return wait } }
	operatorsBound, jobsBound, _ := d.startBounds()
	d.operators = &view{
		topic: d.OperatorTopic, wait: every(operatorsBound.pollWait(configurationPollWait)), confirm: true, keys: topicKeys{},
		apply: func(_ context.Context, b plantainrail.KeyedBatch) {
			for _, r := range b.Records {
				d.applyOperatorRecord(r)
			}
		},
	}
	d.jobs = &view{
		topic: jobsTopic, wait: every(jobsBound.pollWait(jobsPollWait)), keys: topicKeys{}, resumeSignal: d.waitToFollow, wanted: d.follows,
		apply: func(_ context.Context, b plantainrail.KeyedBatch) { d.applyJobs(b) },
	}
	d.progress = &view{
		topic: progressTopic, wait: d.progressWait, batchDelay: followDelay, keys: topicKeys{}, resumeSignal: d.waitToReadProgress, wanted: d.follows,
		apply: func(_ context.Context, b plantainrail.KeyedBatch) { d.applyProgress(b) },
		onError: func() {
			// Without reads of progress the owner cannot be found to have timed out.
			d.mu.Lock()
			defer d.mu.Unlock()
			d.ownerSeenAt = time.Time{}
		},
	}
	d.members = &view{topic: MembersTopic, wait: d.membersWait, apply: d.applyMembers}
	d.replicaClaims = &view{
		topic: replicasTopic, wait: d.membersWait,
		apply: func(_ context.Context, b plantainrail.KeyedBatch) { d.applyReplicas(b) },
	}
	for _, v := range d.views() {
		v.next = unread
	}
}

// views returns the views of all topics.
func (d *Decider) views() []*view {
	return []*view{d.operators, d.jobs, d.progress, d.members, d.replicaClaims}
}

// membersWait returns the maximum wait of the next read of the members or of the replicas' claims.
func (d *Decider) membersWait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.follows() {
		return ownMembersPollWait
	}
	return membersPollWait
}

// endLongPolls ends the open reads of members and replicas' claims that may last for longer than an
// entry that follows the jobs should wait, if this one does. It must be called whenever it may have
// begun to. The caller holds the lock.
func (d *Decider) endLongPolls() {
	if !d.follows() {
		return
	}
	for _, v := range []*view{d.members, d.replicaClaims} {
		if v.pollWait > ownMembersPollWait {
			v.endPoll()
		}
	}
}

// progressWait returns the maximum wait of the next read of progress. It ends when the owner
// times out, so that this is noticed at once.
func (d *Decider) progressWait() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if left := d.ownerSeenAt.Add(ownerTimeout).Sub(d.Now()); left > 0 {
		return min(left, jobsPollWait)
	}
	return jobsPollWait
}

// applyOperatorRecord applies a record of the operators' topic, and passes a
// changed configuration to the owner's planner. The caller holds the lock.
func (d *Decider) applyOperatorRecord(r plantainrail.KeyedRecord) {
	configuration, changed, err := d.ApplyOperatorRecord(r)
	if err != nil {
		d.Logger.Error("operators' record unreadable", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		return
	}
	if !changed {
		return
	}
	d.configuration, d.configured = configuration, configuration.Version > 0
	d.Limiter.SetOperatorLimits(configuration.Limits)
	d.broadcastChange()
	// The changed configuration is in force on this entry.
	d.Logger.Info("configuration taken", zap.String("key", r.Key), zap.Int64("version", configuration.Version), zap.Int64("offset", int64(r.Offset)))
	if d.owner != nil {
		d.owner.configure(configuration)
	}
}

// applyJobs applies records of the jobs topic to the catalog and, on the owner, to
// the planner. The caller holds the lock.
func (d *Decider) applyJobs(b plantainrail.KeyedBatch) {
	for _, r := range b.Records {
		if err := d.catalog.ApplyJob(r); err != nil {
			d.Logger.Error("job unreadable", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		}
	}
	if len(b.Records) == 0 {
		return
	}
	d.catalog.NoteEnds(d.Now())
	d.broadcastChange()
	if d.owner != nil {
		d.owner.applyJobs(b.Records)
	}
}

// waitToReadProgress returns a channel that is closed once this entry's ownership
// is released, if it is the owner, which does not read progress here, since it applies
// what it has written itself. On any other entry it returns the result of waitToFollow.
func (d *Decider) waitToReadProgress() <-chan struct{} {
	d.mu.Lock()
	o := d.owner
	d.mu.Unlock()
	if o == nil {
		return d.waitToFollow()
	}
	return o.released
}

// applyProgress applies records of the progress topic to the catalog. Records below
// the next offset are skipped, since the catalog already holds their state or a newer
// one. The caller holds the lock.
func (d *Decider) applyProgress(b plantainrail.KeyedBatch) {
	if len(b.Records) > 0 || d.ownerSeenAt.IsZero() {
		d.ownerSeenAt = d.Now()
	}
	for _, r := range b.Records {
		if r.Offset < d.progress.next {
			continue
		}
		if r.Key == heartbeatKey {
			d.tenure = d.tenure.withHeartbeat(r.Value, d.Now())
			d.noteHeartbeatBacklog(r.Value, d.progress.newestAfter)
			continue
		}
		if err := d.catalog.ApplyProgress(r); err != nil {
			d.Logger.Error("progress unreadable", zap.String("job", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		}
	}
	if len(b.Records) > 0 {
		d.catalog.NoteEnds(d.Now())
		d.broadcastChange()
	}
}

// applyWritten applies progress that this entry has written as the owner.
func (d *Decider) applyWritten(b plantainrail.KeyedBatch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.progress.keys.update(b.Records)
	d.applyProgress(b)
	d.progress.next = max(d.progress.next, b.Next)
}
