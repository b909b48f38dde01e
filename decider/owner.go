package decider

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/planner"
)

const (
	// writerName is the name under which the store fences the writes of owners to the
	// progress topic.
	writerName = "owner"
	// heartbeatKey is the key of the owner's heartbeats in the progress topic.
	heartbeatKey = "beat"
)

// owner is the state of one term in which the entry owns all jobs.
type owner struct {
	decider *Decider
	epoch   int64
	// done is closed when the ownership ends; released is closed after that, once
	// the Decider no longer refers to the owner.
	done, released chan struct{}
	// roundRequested holds at most one request for a round.
	roundRequested chan struct{}

	// mu guards the fields up to reading.
	mu sync.Mutex
	// ended is set when the ownership ends.
	ended bool
	// planner is nil until the takeover is complete.
	planner *planner.Planner
	// sessions holds the open sessions, and agents those whose agents have reported.
	sessions map[*agentSession]bool
	agents   map[plantainrail.WorkerIncarnation]*agentSession
	// connectedAt is when the newest session of each node that has reported was opened, also after
	// its end.
	connectedAt map[string]time.Time
	// confirmedWriteAt is when the newest write that the store has accepted was
	// sent.
	confirmedWriteAt time.Time
	// storedThrough is the offset after the newest record of progress that the store has accepted from this
	// owner, or the topic's end when it was fenced.
	storedThrough plantainrail.Offset
	// renewableFrom is when the write was sent for renewalWindow after which leases may be renewed, and
	// answeredAt when the newest append of records was answered, or failed and may still have been done; see
	// confirm.
	renewableFrom, answeredAt time.Time
	// operatorsAsOf and jobsAsOf are when the views were whole that the planner knows.
	operatorsAsOf, jobsAsOf time.Time
	// preemptedMillis is the work that preemptions of this term have thrown away, in thousandths of a
	// core-second.
	preemptedMillis int64
	// waitingStarts are assignments that are stored but not ordered, because the views are too old, since
	// startsWaitSince, or because the agent has enough starts on their way. reading is set while the views are read
	// for that reason.
	waitingStarts   []planner.Assignment
	startsWaitSince time.Time
	reading         bool
	// sequence is the sequence number of the next write. Only the goroutine of run
	// uses it.
	sequence int64
	// earlier is the newest claim before the owner's own. renewalsEnd is a time after which no earlier owner
	// has renewed a lease, and heartbeatAt is when the newest heartbeat was written. Only the goroutine of run
	// uses them.
	earlier                  claim
	renewalsEnd, heartbeatAt time.Time
}

func newOwner(d *Decider, epoch int64) *owner {
	return &owner{
		decider: d, epoch: epoch, done: make(chan struct{}), released: make(chan struct{}), roundRequested: make(chan struct{}, 1),
		sessions: map[*agentSession]bool{}, agents: map[plantainrail.WorkerIncarnation]*agentSession{}, connectedAt: map[string]time.Time{},
	}
}

// stop ends the ownership and closes all sessions, also those whose agents have not reported. It does nothing if the
// ownership has ended before.
func (o *owner) stop(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	o.ended = true
	close(o.done)
	o.decider.Logger.Info("ownership lost", zap.Int64("epoch", o.epoch), zap.String("reason", reason), zap.Int("sessions", len(o.sessions)))
	for a := range o.sessions {
		a.session.Close()
	}
}

// resign ends the ownership and writes the resignation to the members topic, so
// that another entry can claim the jobs at once. If the write fails, the other
// entries wait for ownerTimeout. The resignation is stored only if this entry has
// read the whole topic, so that it cannot follow a newer claim.
func (o *owner) resign() {
	o.stop("resigned")
	raw, err := cbor.Marshal(claim{Name: o.decider.Name, Nonce: o.decider.nonce, Resigned: true, Ended: o.epoch})
	if err != nil {
		o.decider.Logger.Error("resignation not encoded", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	for {
		o.decider.mu.Lock()
		at, newest := o.decider.members.next, o.decider.claim.Epoch
		o.decider.mu.Unlock()
		if newest != o.epoch {
			return
		}
		_, err = o.decider.Store.Append(ctx, plantainrail.AppendCall{
			Topic: MembersTopic, At: &at, Records: []plantainrail.KeyedRecord{{Key: claimKey, Value: raw}},
		})
		if movedTopic(err) {
			// An entry may have registered, which this one has not read.
			_, _, err = o.decider.advance(ctx, o.decider.members, 0)
			if err == nil {
				continue
			}
		}
		if err != nil {
			o.decider.Logger.Warn("resignation not stored", zap.Error(err))
		}
		return
	}
}

// requestRound makes the owner run a round at once, or right after the present one.
func (o *owner) requestRound() {
	select {
	case o.roundRequested <- struct{}{}:
	default:
	}
}

// run takes over the jobs and runs rounds of planning until the ownership or the
// context ends.
func (o *owner) run(ctx context.Context) {
	defer o.release()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-o.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	// After this append the store accepts no more progress from earlier owners.
	end, err := o.append(ctx, nil)
	if err != nil {
		o.stop(err.Error())
		return
	}
	if err := o.takeOver(ctx, end); err != nil {
		o.stop(err.Error())
		return
	}
	go o.deleteJobs(ctx)
	go o.shareKnowledge(ctx)
	for ctx.Err() == nil {
		if err := o.round(ctx); err != nil {
			o.stop(err.Error())
			return
		}
	}
}

// release ends the ownership, if it has not ended yet, and removes it from the entry,
// which may then claim ownership again.
func (o *owner) release() {
	o.stop("run ended")
	o.decider.mu.Lock()
	defer o.decider.mu.Unlock()
	if o.decider.owner == o {
		o.decider.owner, o.decider.ownerSeenAt = nil, o.decider.Now()
		o.decider.dropUnfollowed()
	}
	close(o.released)
}

// append writes to the progress topic and returns the offset of the first record.
// Without records it fences lower epochs and returns the topic's end. It retries
// until the store has accepted the records, and returns an error if a higher epoch
// has written, the sequence number does not match or the context ends, and ErrUnacceptable
// if the store never accepts the progress of jobs.
func (o *owner) append(ctx context.Context, records []plantainrail.KeyedRecord) (plantainrail.Offset, error) {
	call := plantainrail.AppendCall{
		Topic: progressTopic, Records: records, Writer: &plantainrail.Writer{Name: writerName, Epoch: o.epoch, Sequence: o.sequence},
	}
	var tries plantainrail.WriteTries
	var stored time.Time
	for {
		sent := o.decider.Now()
		if !tries.MaybeDone() {
			stored = sent
		}
		offset, err := o.decider.Store.Append(ctx, call)
		var sequenceErr *plantainrail.SequenceError
		switch {
		case err == nil:
			o.sequence++
			o.confirm(sent, stored)
			o.mu.Lock()
			o.storedThrough = max(o.storedThrough, offset+plantainrail.Offset(len(records)))
			o.mu.Unlock()
			return offset, nil
		case errors.Is(err, plantainrail.ErrFenced), errors.As(err, &sequenceErr), ctx.Err() != nil:
			return 0, err
		}
		if tries = tries.With(err); tries.MaybeDone() {
			o.noteUnanswered()
		}
		o.decider.Logger.Warn("progress not stored", zap.Int("records", len(records)), zap.Int64("sequence", o.sequence), zap.Error(err))
		// A refusal of no record or of a heartbeat does not depend on what was sent.
		if errors.Is(err, plantainrail.ErrUnacceptable) && len(records) > 0 && records[0].Key != heartbeatKey {
			return 0, err
		}
		if err := o.confirmWithoutRoom(ctx, &call, err); err != nil {
			return 0, err
		}
		if err := clocker.Sleep(ctx, retryDelay); err != nil {
			return 0, err
		}
	}
}

// takeOver creates a planner of all jobs. Before that it completes the views of every topic
// that the planner decides on. The progress topic was fenced before the call, when it ended at the
// given offset. So every run that an earlier owner may have ordered is known, with its job, and a
// run that is not known may be stopped and its end acknowledged.
func (o *owner) takeOver(ctx context.Context, end plantainrail.Offset) error {
	d := o.decider
	group, groupCtx := errgroup.WithContext(ctx)
	for _, v := range []*view{d.progress, d.jobs, d.operators} {
		group.Go(func() error { return d.catchUp(groupCtx, v) })
	}
	if err := group.Wait(); err != nil {
		return err
	}
	// The lock is kept, so that every later record of the jobs topic finds the planner.
	d.mu.Lock()
	defer d.mu.Unlock()
	book, unreadable := d.catalog.Book()
	for _, err := range unreadable {
		d.Logger.Error("job left out", zap.Error(err))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := d.Now()
	o.renewalsEnd = succession{
		name: d.Name, address: d.Address, nonce: d.nonce, startedAt: d.startedAt, claim: o.earlier, tenure: d.tenure,
		newestAt: d.progress.newestAt, newestAfter: d.progress.newestAfter,
	}.renewalsEnd(now)
	// The agents need time to connect, also if no lease can have been renewed lately.
	grace := max(o.renewalsEnd.Sub(now), 0)
	o.planner = planner.New(book, planner.Timeouts{Lease: LeaseDuration, TakeoverGrace: grace}, now)
	o.planner.Configure(d.configuration)
	d.Logger.Info("ownership gained", zap.Int64("epoch", o.epoch), zap.Int64("offset", int64(end)), zap.Int64("jobs", int64(d.jobs.next)),
		zap.Int("unknown", book.UnknownProgress()), zap.Int64("grace", grace.Milliseconds()))
	return nil
}

// round runs the planner once, stores the jobs that changed, in as many appends as the
// limit of a call requires, sends the orders to the agents and waits for the next round. It stores a
// heartbeat where one is due. It returns an error if the progress cannot be
// encoded, the write fails or the context ends.
func (o *owner) round(ctx context.Context) error {
	deletions, hasRoom := o.progressDeletions(), o.decider.hasRoom()
	o.mu.Lock()
	now := o.decider.Now()
	plan := o.planner.Tick(now)
	changed, err := o.encodeProgress(&plan)
	records := append(deletions, changed...)
	// The plan includes all ends that were applied so far, so they are stored
	// before dispatch acknowledges them. Ends that arrive during the write are
	// acknowledged in a later round.
	appliedEnds := map[plantainrail.WorkerIncarnation]int64{}
	for incarnation := range o.agents {
		appliedEnds[incarnation] = o.planner.LastAppliedEnd(incarnation)
	}
	heartbeat := len(records) == 0 && now.Sub(o.renewableFrom) >= heartbeatInterval || hasRoom && o.heartbeatDue(now)
	o.mu.Unlock()
	if err != nil {
		return err
	}
	batches := o.decider.StoreLimits.Batches(records)
	if heartbeat {
		beat, err := o.heartbeat(now)
		if err != nil {
			return err
		}
		batches = append(batches, beat)
	}
	for _, batch := range batches {
		refused, err := o.store(ctx, batch)
		if err == nil {
			err = o.abandonRefused(ctx, refused, &plan)
		}
		if err != nil {
			return err
		}
	}
	o.dispatch(ctx, plan, appliedEnds)
	return o.waitForRound(ctx)
}

// store appends records and returns those that the store never accepts; the others are
// stored. Its errors are those of append.
func (o *owner) store(ctx context.Context, records []plantainrail.KeyedRecord) (refused []plantainrail.KeyedRecord, err error) {
	if err := o.appendAndApply(ctx, records); !errors.Is(err, plantainrail.ErrUnacceptable) {
		return nil, err
	}
	if half := len(records) / 2; half > 0 {
		for _, part := range [][]plantainrail.KeyedRecord{records[:half], records[half:]} {
			more, err := o.store(ctx, part)
			if err != nil {
				return nil, err
			}
			refused = append(refused, more...)
		}
		return refused, nil
	}
	// The store may refuse everything at present. The record is at fault if it is refused
	// again after a heartbeat was accepted.
	beat, err := o.heartbeat(o.decider.Now())
	if err != nil {
		return nil, err
	}
	if err := o.appendAndApply(ctx, beat); err != nil {
		return nil, err
	}
	if err := o.appendAndApply(ctx, records); !errors.Is(err, plantainrail.ErrUnacceptable) {
		return nil, err
	}
	return records, nil
}

// abandonRefused abandons the jobs whose records the store never accepts, and stores their
// states. A job whose state is refused too is left as it is: an owner that takes over will
// have to abandon it again.
func (o *owner) abandonRefused(ctx context.Context, refused []plantainrail.KeyedRecord, plan *planner.Plan) error {
	for _, r := range refused {
		if len(r.Value) == 0 {
			// The deletion of progress is tried again by a later round.
			o.decider.Logger.Error("progress not deleted", zap.String("job", r.Key))
			continue
		}
		o.mu.Lock()
		record, err := o.abandon(o.planner.Book.Job(r.Key), r.Size(), plan)
		o.mu.Unlock()
		if err == nil {
			_, err = o.store(ctx, []plantainrail.KeyedRecord{record})
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// appendAndApply appends records and applies them to the entry's catalog, since the owner
// does not read them. Its errors are those of append.
func (o *owner) appendAndApply(ctx context.Context, records []plantainrail.KeyedRecord) error {
	offset, err := o.append(ctx, records)
	if err != nil {
		return err
	}
	o.decider.applyWritten(plantainrail.KeyedBatch{Records: withOffsets(records, offset), Next: offset + plantainrail.Offset(len(records))})
	if len(records) > 0 && records[0].Key == heartbeatKey {
		o.decider.noteOwnBacklog(records[0].Value, o.heartbeatAt)
	}
	return nil
}

// withOffsets returns copies of records that were stored one after the other beginning at the
// first offset, with their offsets. The records themselves stay as they are: a further try of
// their append may still read them.
func withOffsets(records []plantainrail.KeyedRecord, first plantainrail.Offset) []plantainrail.KeyedRecord {
	stored := slices.Clone(records)
	for i := range stored {
		stored[i].Offset = first + plantainrail.Offset(i)
	}
	return stored
}

// encodeProgress returns the records of the jobs that the plan has changed. Their offsets
// are not set. It abandons a job whose record is larger than the store accepts: what cannot
// be stored must not be carried out, and a job that stays as it is would hold up its clients
// for ever. The caller holds the lock.
func (o *owner) encodeProgress(plan *planner.Plan) ([]plantainrail.KeyedRecord, error) {
	var records []plantainrail.KeyedRecord
	for _, j := range plan.Changed {
		record, err := progressRecord(j)
		if err != nil {
			return nil, err
		}
		if size := record.Size(); !o.decider.StoreLimits.FitsRecord(size) {
			if record, err = o.abandon(j, size, plan); err != nil {
				return nil, err
			}
		}
		records = append(records, record)
	}
	return records, nil
}

// abandon ends a job whose record the store does not accept, and returns the record of its
// state. The size is that of the former, in bytes. The caller holds the lock.
func (o *owner) abandon(j *planner.Job, size int, plan *planner.Plan) (plantainrail.KeyedRecord, error) {
	o.decider.Logger.Error("job abandoned", zap.String("job", j.ID), zap.Int("bytes", size), zap.Int("limit", o.decider.StoreLimits.RecordBytes))
	o.planner.Abandon(j, plan)
	return progressRecord(j)
}

// progressRecord returns the record of a job's progress.
func progressRecord(j *planner.Job) (plantainrail.KeyedRecord, error) {
	raw, err := j.Progress()
	return plantainrail.KeyedRecord{Key: j.ID, Value: raw}, err
}

// dispatch sends the agents the orders of a plan whose changes are stored, and
// acknowledges the run ends up to the numbers in appliedEnds, which are stored too. Starts wait
// while what they rest on may have changed.
func (o *owner) dispatch(ctx context.Context, plan planner.Plan, appliedEnds map[plantainrail.WorkerIncarnation]int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	orders := map[plantainrail.WorkerIncarnation]*linker.WorkOrders{}
	ordersFor := func(incarnation plantainrail.WorkerIncarnation) *linker.WorkOrders {
		if orders[incarnation] == nil {
			orders[incarnation] = &linker.WorkOrders{Epoch: o.epoch, Incarnation: incarnation}
		}
		return orders[incarnation]
	}
	for _, lost := range plan.Lost {
		o.decider.Logger.Info("run lost", zap.Stringer("task", lost.Ref.Task), zap.Int64("run", lost.Ref.Run), zap.String("node", lost.Node),
			zap.String("cause", string(lost.Cause)), zap.Int64("age", lost.Age.Milliseconds()), zap.Int("crashes", lost.Crashes), zap.Int("lateCrashes", lost.LateCrashes))
	}
	for _, a := range o.releaseStarts(ctx, plan.Assignments) {
		if !o.planner.MarkStored(a, o.decider.Now()) {
			o.decider.Logger.Info("placement dropped", zap.Stringer("task", a.Order.Ref.Task), zap.Int64("run", a.Order.Ref.Run), zap.String("node", a.Incarnation.Node))
			continue
		}
		ordersFor(a.Incarnation).Starts = append(ordersFor(a.Incarnation).Starts, a.Order)
		o.decider.Logger.Info("task placed", append(o.ageFields(),
			zap.Stringer("task", a.Order.Ref.Task), zap.Int64("run", a.Order.Ref.Run), zap.String("node", a.Incarnation.Node),
			zap.Int64("epoch", o.epoch), zap.Int64("offset", int64(o.storedThrough)))...)
	}
	for _, s := range plan.Stops {
		ordersFor(s.Incarnation).Stops = append(ordersFor(s.Incarnation).Stops, s.Ref)
		o.decider.Logger.Info("task stopped", zap.Stringer("task", s.Ref.Task), zap.Int64("run", s.Ref.Run), zap.String("node", s.Incarnation.Node), zap.String("reason", s.Reason))
	}
	for _, r := range plan.Preempted {
		o.preemptedMillis += int64(r.LostCoreSeconds * 1000)
		o.decider.Logger.Info("run preempted", zap.Stringer("task", r.Ref.Task), zap.Int64("run", r.Ref.Run), zap.String("node", r.Node), zap.String("for", r.For),
			zap.Int64("waited", r.Waited.Milliseconds()), zap.Float64("lostCoreSeconds", r.LostCoreSeconds), zap.Int64("lostInAll", o.preemptedMillis/1000))
	}
	for _, unplaced := range plan.Unplaced {
		fields := []zap.Field{
			zap.String("job", unplaced.Job), zap.Int("occurrence", unplaced.Occurrence), zap.Int("step", unplaced.Step),
			zap.Int("tasks", unplaced.Tasks), zap.Any("obstacles", unplaced.Obstacles),
		}
		o.decider.Logger.Info("step waits", fields...)
		if unplaced.KeptBack() {
			o.decider.Logger.Info("step kept back", append(fields, zap.Int64("waited", unplaced.Waited.Milliseconds()), zap.Any("judgements", unplaced.Judgements))...)
		}
	}
	for incarnation, number := range appliedEnds {
		if a := o.agents[incarnation]; a != nil && number > a.ackedThrough {
			a.ackedThrough = number
			ordersFor(incarnation).AckedThrough = number
			o.decider.Logger.Info("ends acknowledged", zap.String("node", incarnation.Node), zap.String("worker", incarnation.ID), zap.Int64("through", number),
				zap.Int64("epoch", o.epoch), zap.Int64("offset", int64(o.storedThrough)))
		}
	}
	for incarnation, workerOrders := range orders {
		if a := o.agents[incarnation]; a != nil {
			o.sendOrders(a, workerOrders)
		}
	}
}

// waitForRound waits until the planner's next tick or a heartbeat is due, or a
// round is requested. If the context ends first, it returns the context's error.
func (o *owner) waitForRound(ctx context.Context) error {
	o.mu.Lock()
	now := o.decider.Now()
	next := o.planner.NextTick(now)
	if heartbeatAt := o.renewableFrom.Add(heartbeatInterval); heartbeatAt.Before(next) {
		next = heartbeatAt
	}
	o.mu.Unlock()
	timer := time.NewTimer(max(next.Sub(now), time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-o.roundRequested:
	}
	return nil
}

// configure passes a new operators' configuration to the planner and requests a round.
// Before the takeover is complete it does nothing, since takeOver itself reads the current
// configuration.
func (o *owner) configure(s plantainrail.OperatorConfig) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.planner != nil {
		o.planner.Configure(s)
		o.requestRound()
	}
}

// applyJobs applies records of the jobs topic to the planner. The caller holds the
// Decider's lock, as takeOver does while it copies the book, so each record is
// either in the copy or applied here.
func (o *owner) applyJobs(records []plantainrail.KeyedRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.planner == nil {
		return
	}
	for _, r := range records {
		unknown := o.planner.Book.UnknownProgress()
		if err := o.planner.ApplyJob(r, o.decider.Now()); err != nil {
			o.decider.Logger.Error("job unreadable", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		}
		if o.planner.Book.UnknownProgress() < unknown {
			o.decider.Logger.Error("job read after its progress", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)))
		}
	}
	o.requestRound()
}
