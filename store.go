package plantainrail

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Writer fences appends: the store refuses a lower epoch than it has seen, and
// takes each sequence number of an epoch once.
type Writer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// AppendCall is one append to a topic of keyed records, all or nothing.
type AppendCall struct {
	Topic   string
	Records []KeyedRecord
	// At makes the append depend on the topic ending at this offset.
	At *Offset
	// Writer fences the append when it is set.
	Writer *Writer
}

// KeyedRecord is a record of a topic in which the newest of each key is kept
// for ever. A record without a value drops the key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset Offset
}

// KeyedBatch is what one read of a topic returns.
type KeyedBatch struct {
	Records []KeyedRecord
	// Next is the offset to go on from.
	Next Offset
}

// Store is the platform's store of topics. An error other than ErrNotDone,
// ErrFenced, *MovedError and *SequenceError leaves it open whether a write was
// done.
type Store interface {
	// Append returns the offset of the first record.
	Append(ctx context.Context, call AppendCall) (Offset, error)
	// Read returns records from the offset on, and waits for the first one.
	Read(ctx context.Context, topic string, from Offset, wait time.Duration) (KeyedBatch, error)
	// Newest returns the newest record of each key, and the offset from which
	// Read goes on without a gap.
	Newest(ctx context.Context, topic string) (KeyedBatch, error)
}

var (
	// ErrNotDone means that the store refused a call and did nothing.
	ErrNotDone = errors.New("the store refused the call")
	// ErrFenced means that a higher epoch has written.
	ErrFenced = errors.New("fenced by a higher epoch")
	// ErrExpired means that the records asked for are gone.
	ErrExpired = errors.New("records have expired")
)

// MovedError means that the topic does not end where the append wanted it to.
type MovedError struct{ End Offset }

// Error implements error.
func (e *MovedError) Error() string { return fmt.Sprintf("the topic ends at %d", e.End) }

// SequenceError means that another sequence number was expected.
type SequenceError struct{ Want int64 }

// Error implements error.
func (e *SequenceError) Error() string { return fmt.Sprintf("sequence %d is expected", e.Want) }

// Settlement is what the operators have in force: queues, services and the
// zones that are taken out.
type Settlement struct {
	Version int64
	Queues  []QueueRule
	// Out lists the availability zones that get no new tasks.
	Out map[string]bool
}

// QueueRule is a queue and the requests that belong to it.
type QueueRule struct {
	Queue
	Host   string
	Prefix string
}

// Match returns the queue with the longest prefix of the path on the host.
func (s *Settlement) Match(host, path string) (QueueRule, bool) {
	best, found := QueueRule{}, false
	for _, q := range s.Queues {
		if q.Host == host && len(q.Prefix) >= len(best.Prefix) && len(path) >= len(q.Prefix) && path[:len(q.Prefix)] == q.Prefix {
			best, found = q, true
		}
	}
	return best, found
}
