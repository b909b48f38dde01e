package decider

import (
	"bytes"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/clocker"
)

const (
	// knowledgeTopic holds, under knowledgeKey, what the owner has learned about interference. It is not
	// fenced: what a replaced owner writes late is as true.
	knowledgeTopic = "learned"
	knowledgeKey   = "interference"
	// knowledgeInterval is the time between two writes of it.
	knowledgeInterval = 3 * time.Second
)

// shareKnowledge passes what earlier owners have learned to the planner, and stores what it learns from
// then on, until the context ends. Without it, a new owner places fillers beside services that do not
// tolerate them until it has measured each pair of images itself.
func (o *owner) shareKnowledge(ctx context.Context) {
	d := o.decider
	for {
		batch, err := d.Store.Newest(ctx, knowledgeTopic)
		if err == nil {
			o.learn(batch.Records)
			break
		}
		d.Logger.Warn("learned interference not read", zap.Error(err))
		if clocker.Sleep(ctx, retryDelay) != nil {
			return
		}
	}
	var stored []byte
	for clocker.Sleep(ctx, knowledgeInterval) == nil {
		o.mu.Lock()
		raw, err := o.planner.Learned()
		o.mu.Unlock()
		if err != nil {
			d.Logger.Error("learned interference not encoded", zap.Error(err))
			return
		}
		record := plantainrail.KeyedRecord{Key: knowledgeKey, Value: raw}
		if bytes.Equal(raw, stored) || !d.hasRoom() || !d.StoreLimits.FitsRecord(record.Size()) {
			continue
		}
		_, err = d.Store.Append(ctx, plantainrail.AppendCall{Topic: knowledgeTopic, Records: []plantainrail.KeyedRecord{record}})
		if err != nil {
			d.Logger.Warn("learned interference not stored", zap.Int("bytes", len(raw)), zap.Error(err))
			continue
		}
		stored = raw
	}
}

// learn passes the records of the knowledge topic to the planner.
func (o *owner) learn(records []plantainrail.KeyedRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		if r.Key != knowledgeKey || len(r.Value) == 0 {
			continue
		}
		err := o.planner.Learn(r.Value, o.decider.Now())
		o.decider.Logger.Info("learned interference read", zap.Int("bytes", len(r.Value)), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
	}
}
