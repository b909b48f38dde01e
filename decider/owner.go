package decider

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/planner"
)

const (
	// writerName is the one writer of the topic of progress.
	writerName = "owner"
	// beatKey is the key of the owner's heartbeats in the topic of progress.
	beatKey = "beat"
)

// owner is an entry's time as the owner of all jobs.
type owner struct {
	d     *Decider
	epoch int64
	// done is closed when the ownership ends, over once the entry has put it
	// down as well.
	done, over chan struct{}
	wake       chan struct{}

	mu      sync.Mutex
	ended   bool
	planner *planner.Planner
	agents  map[plantainrail.Life]*agentSession
	// confirmed is when the newest write was sent that the store has taken.
	confirmed time.Time
	sequence  int64
}

func newOwner(d *Decider, epoch int64) *owner {
	return &owner{
		d: d, epoch: epoch, done: make(chan struct{}), over: make(chan struct{}), wake: make(chan struct{}, 1),
		agents: map[plantainrail.Life]*agentSession{},
	}
}

// stop ends the ownership.
func (o *owner) stop(reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	o.ended = true
	close(o.done)
	o.d.Logger.Info("ownership lost", zap.Int64("epoch", o.epoch), zap.String("reason", reason))
	for _, a := range o.agents {
		a.session.Close()
	}
}

// resign ends the ownership and tells the other entries.
func (o *owner) resign() {
	o.stop("resigned")
	raw, err := cbor.Marshal(claim{Name: o.d.Name, Nonce: o.d.nonce, Resigned: true})
	if err != nil {
		o.d.Logger.Error("resignation not encoded", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), silenceLimit)
	defer cancel()
	o.d.mu.Lock()
	at := o.d.membersNext
	o.d.mu.Unlock()
	_, err = o.d.Store.Append(ctx, plantainrail.AppendCall{
		Topic: MembersTopic, At: &at, Records: []plantainrail.KeyedRecord{{Key: claimKey, Value: raw}},
	})
	if err != nil {
		o.d.Logger.Warn("resignation not stored", zap.Error(err))
	}
}

func (o *owner) poke() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// run takes the jobs over and decides until the ownership ends.
func (o *owner) run(ctx context.Context) {
	defer o.putDown()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-o.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	end, err := o.append(ctx, nil)
	if err != nil {
		o.stop(err.Error())
		return
	}
	if err := o.takeOver(ctx, end); err != nil {
		o.stop(err.Error())
		return
	}
	for ctx.Err() == nil {
		if err := o.round(ctx); err != nil {
			o.stop(err.Error())
			return
		}
	}
}

// putDown ends the ownership on the entry's side as well.
func (o *owner) putDown() {
	o.stop("run ended")
	o.d.mu.Lock()
	defer o.d.mu.Unlock()
	if o.d.owner == o {
		o.d.owner, o.d.heardAt = nil, o.d.Now()
	}
	close(o.over)
}

// append writes to the topic of progress until the store has taken the records
// or a higher epoch has written. Without records it fences lower epochs and
// returns the topic's end.
func (o *owner) append(ctx context.Context, records []plantainrail.KeyedRecord) (plantainrail.Offset, error) {
	call := plantainrail.AppendCall{
		Topic: runsTopic, Records: records, Writer: &plantainrail.Writer{Name: writerName, Epoch: o.epoch, Sequence: o.sequence},
	}
	for {
		sent := o.d.Now()
		offset, err := o.d.Store.Append(ctx, call)
		var sequence *plantainrail.SequenceError
		switch {
		case err == nil:
			o.sequence++
			o.mu.Lock()
			o.confirmed = sent
			o.mu.Unlock()
			return offset, nil
		case errors.Is(err, plantainrail.ErrFenced), errors.As(err, &sequence), ctx.Err() != nil:
			return 0, err
		}
		o.d.Logger.Warn("progress not stored", zap.Int("records", len(records)), zap.Int64("sequence", o.sequence), zap.Error(err))
		if err := clocker.Sleep(ctx, retryPause); err != nil {
			return 0, err
		}
	}
}

// takeOver waits until the book holds all progress of earlier owners and hands
// a copy of it to a planner.
func (o *owner) takeOver(ctx context.Context, end plantainrail.Offset) error {
	d := o.d
	for {
		d.mu.Lock()
		if d.runsNext >= end {
			break
		}
		d.mu.Unlock()
		if err := d.catchUp(ctx, end); err != nil {
			return err
		}
	}
	defer d.mu.Unlock()
	book, err := d.book.Clone()
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.planner = planner.New(book, planner.Times{Lease: Lease, Takeover: authority}, d.Now())
	o.planner.Configure(d.settlement)
	d.Logger.Info("ownership gained", zap.Int64("epoch", o.epoch), zap.Int64("offset", int64(end)))
	return nil
}

// catchUp reads progress up to the end.
func (d *Decider) catchUp(ctx context.Context, end plantainrail.Offset) error {
	d.mu.Lock()
	from := d.runsNext
	d.mu.Unlock()
	batch, err := d.read(ctx, feed{topic: runsTopic, next: func() plantainrail.Offset { return from }}, 0)
	if err != nil {
		d.Logger.Warn("progress not read at takeover", zap.Int64("offset", int64(from)), zap.Int64("end", int64(end)), zap.Error(err))
		return clocker.Sleep(ctx, retryPause)
	}
	d.takeRuns(batch)
	return ctx.Err()
}

// round decides once, stores what changed, and carries it out.
func (o *owner) round(ctx context.Context) error {
	o.mu.Lock()
	now := o.d.Now()
	plan := o.planner.Tick(now)
	records, err := encode(plan.Changed)
	seen := map[plantainrail.Life]int64{}
	for life := range o.agents {
		seen[life] = o.planner.Seen(life)
	}
	beat := len(records) == 0 && now.Sub(o.confirmed) >= beatEvery
	o.mu.Unlock()
	if err != nil {
		return err
	}
	if beat {
		records = []plantainrail.KeyedRecord{{Key: beatKey, Value: []byte{1}}}
	}
	if len(records) > 0 {
		offset, err := o.append(ctx, records)
		if err != nil {
			return err
		}
		o.d.takeRuns(plantainrail.KeyedBatch{Records: at(records, offset), Next: offset + plantainrail.Offset(len(records))})
	}
	o.carryOut(plan, seen)
	return o.rest(ctx)
}

// at gives records the offsets under which they were stored.
func at(records []plantainrail.KeyedRecord, first plantainrail.Offset) []plantainrail.KeyedRecord {
	for i := range records {
		records[i].Offset = first + plantainrail.Offset(i)
	}
	return records
}

func encode(jobs []*planner.Job) ([]plantainrail.KeyedRecord, error) {
	var records []plantainrail.KeyedRecord
	for _, j := range jobs {
		raw, err := j.Progress()
		if err != nil {
			return nil, err
		}
		records = append(records, plantainrail.KeyedRecord{Key: j.ID, Value: raw})
	}
	return records, nil
}

// carryOut sends the agents what was stored.
func (o *owner) carryOut(plan planner.Plan, seen map[plantainrail.Life]int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	orders := map[plantainrail.Life]*linker.WorkOrders{}
	of := func(life plantainrail.Life) *linker.WorkOrders {
		if orders[life] == nil {
			orders[life] = &linker.WorkOrders{Epoch: o.epoch, Life: life}
		}
		return orders[life]
	}
	for _, a := range plan.Assignments {
		o.planner.Committed(a)
		of(a.Life).Starts = append(of(a.Life).Starts, a.Order)
		o.d.Logger.Info("task placed", zap.Stringer("task", a.Order.Ref.Task), zap.Int64("run", a.Order.Ref.Run), zap.String("node", a.Life.Node))
	}
	for _, s := range plan.Stops {
		of(s.Life).Stops = append(of(s.Life).Stops, s.Ref)
		o.d.Logger.Info("task stopped", zap.Stringer("task", s.Ref.Task), zap.Int64("run", s.Ref.Run), zap.String("node", s.Life.Node), zap.String("reason", s.Reason))
	}
	for _, w := range plan.Waits {
		o.d.Logger.Info("step waits", zap.String("job", w.Job), zap.Int("occurrence", w.Occurrence), zap.Int("step", w.Step),
			zap.Int("tasks", w.Tasks), zap.Any("obstacles", w.Obstacles))
	}
	for life, number := range seen {
		if a := o.agents[life]; a != nil && number > a.noted {
			a.noted = number
			of(life).Noted = number
		}
	}
	for life, order := range orders {
		if a := o.agents[life]; a != nil {
			_ = a.session.Send(linker.Frame{Orders: order})
		}
	}
}

// rest waits until there may be something to decide.
func (o *owner) rest(ctx context.Context) error {
	o.mu.Lock()
	now := o.d.Now()
	next := o.planner.Next(now)
	if beat := o.confirmed.Add(beatEvery); beat.Before(next) {
		next = beat
	}
	o.mu.Unlock()
	timer := time.NewTimer(max(next.Sub(now), time.Millisecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	case <-o.wake:
	}
	return nil
}

// configure takes in what the operators have in force.
func (o *owner) configure(s plantainrail.Settlement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.planner != nil {
		o.planner.Configure(s)
		o.poke()
	}
}

// takeJobs takes in records of the topic of jobs. The caller holds the entry's
// lock, so none is missed between the copy of the book and these.
func (o *owner) takeJobs(records []plantainrail.KeyedRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.planner == nil {
		return
	}
	for _, r := range records {
		if err := o.planner.TakeJob(r, o.d.Now()); err != nil {
			o.d.Logger.Error("job unreadable", zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
		}
	}
	o.poke()
}
