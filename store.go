package plantainrail

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Writer is the fencing token of an append. The store rejects an epoch that is lower
// than the highest one that it has seen for the writer's name. It accepts each
// sequence number of an epoch once, so that a repeated append takes effect once.
type Writer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// AppendCall is an atomic append to a topic of keyed records.
type AppendCall struct {
	Topic   string
	Records []KeyedRecord
	// At, if set, makes the append conditional: it is done only if the topic ends at this
	// offset.
	At *Offset
	// Writer, if set, fences the append.
	Writer *Writer
}

// KeyedRecord is a record of a compacted topic, which keeps the newest record of
// each key forever. A record without a value deletes the key.
type KeyedRecord struct {
	Key    string
	Value  []byte
	Offset Offset
}

// Size returns the size of the record in bytes, as StoreLimits.RecordBytes bounds it: the
// length of the key in one byte, the key and the value.
func (r KeyedRecord) Size() int { return 1 + len(r.Key) + len(r.Value) }

// StoreLimits are the sizes, in bytes, beyond which the store never accepts an append. A
// zero means that no limit is known.
type StoreLimits struct {
	// RecordBytes bounds the size of one record (see KeyedRecord.Size), and CallBytes that
	// of all records of one append with their lengths.
	RecordBytes, CallBytes int
}

// FitsRecord reports whether a record of the size keeps within the limit of a record.
func (l StoreLimits) FitsRecord(size int) bool { return l.RecordBytes == 0 || size <= l.RecordBytes }

// lengthBytes is the size of a record's length, which precedes it in an append.
const lengthBytes = 4

// AppendSize returns what the record takes of StoreLimits.CallBytes.
func (r KeyedRecord) AppendSize() int { return lengthBytes + r.Size() }

// HasRoom reports whether an append of records that take the given number of bytes keeps
// within the limit of a call with one more record, whatever its size.
func (l StoreLimits) HasRoom(bytes int) bool {
	return l.CallBytes == 0 || bytes+lengthBytes+l.RecordBytes <= l.CallBytes
}

// Batches divides records, in their order, into parts for one append each, which keep within
// the limit of a call. A record above the limit is a part of its own.
func (l StoreLimits) Batches(records []KeyedRecord) [][]KeyedRecord {
	var out [][]KeyedRecord
	first, size := 0, 0
	for i, r := range records {
		recordBytes := r.AppendSize()
		if i > first && l.CallBytes > 0 && size+recordBytes > l.CallBytes {
			out, first, size = append(out, records[first:i]), i, 0
		}
		size += recordBytes
	}
	if first < len(records) {
		out = append(out, records[first:])
	}
	return out
}

// KeyedBatch is the result of one read of a topic.
type KeyedBatch struct {
	Records []KeyedRecord
	// Next is the offset from which to continue reading.
	Next Offset
	// End is the offset at which the topic ended when the store answered a read; 0 if it is
	// not known.
	End Offset `cbor:",omitempty"`
	// Malformed is the number of records that were left out since they have no valid key.
	Malformed int
}

// ReachesEnd reports whether a read has returned all records that the topic held when the
// store answered.
func (b KeyedBatch) ReachesEnd() bool {
	return len(b.Records) == 0 && b.Malformed == 0 || b.End > 0 && b.Next >= b.End
}

// Store is the platform's store of topics. After an error other than ErrRejected,
// ErrUnacceptable, ErrFenced, *OffsetMismatchError and *SequenceError, a write may or may
// not have been done.
type Store interface {
	// Append writes the records and returns the offset of the first. The records belong to the
	// call for good: a further try may read them after Append has returned, so they are not
	// written again.
	Append(ctx context.Context, call AppendCall) (Offset, error)
	// Read returns records that start at the offset. It waits at most the given time
	// for the first.
	Read(ctx context.Context, topic string, from Offset, wait time.Duration) (KeyedBatch, error)
	// Newest returns the newest record of each key, and the offset from which Read
	// continues without a gap.
	Newest(ctx context.Context, topic string) (KeyedBatch, error)
}

// Pager is implemented by stores that list the newest records of a topic in pages.
type Pager interface {
	// NewestPage returns the newest records of the keys that follow the given one in the order of the store, as many
	// as it puts on a page, and whether there are more. An empty key stands for the first page. Its errors are
	// those of Newest.
	NewestPage(ctx context.Context, topic, after string) (batch KeyedBatch, more bool, err error)
}

var (
	// ErrRejected means that the store rejected a call and did nothing.
	ErrRejected = errors.New("store rejected the call")
	// ErrUnacceptable means that the store did nothing and will answer the same call in the
	// same way at any time, for example since a record is too large.
	ErrUnacceptable = errors.New("store never accepts the call")
	// ErrFull means that the store rejected an append for want of room. It is an ErrRejected.
	ErrFull = errors.WithMessage(ErrRejected, "store is full")
	// ErrFenced means that a writer of the same name with a higher epoch has written.
	ErrFenced = errors.New("fenced by a higher epoch")
	// ErrExpired means that retention has deleted the requested records.
	ErrExpired = errors.New("records have expired")
	// ErrOvertaken is the cause of the end of a try's context if a later try of the same call was
	// answered first, which suggests that the connection of the earlier one is silent.
	ErrOvertaken = errors.New("overtaken by a later try")
)

// UnansweredError is the error of a call that got no complete answer. What it shows is as old as the
// sending of the call, since its connection may have gone silent at any time since.
type UnansweredError struct {
	SentAt time.Time
	// Waited is how long the call was open.
	Waited time.Duration
	Err    error
}

func (e *UnansweredError) Error() string {
	return fmt.Sprintf("no answer after %s: %s", e.Waited.Round(time.Millisecond), e.Err)
}

func (e *UnansweredError) Unwrap() error { return e.Err }

// WriteTries holds the errors of several tries of one write. It keeps a caller from
// reporting a write as not done because its last try was rejected, although an earlier
// one may have taken effect. The zero value stands for no try.
type WriteTries struct {
	rejection, unknown error
}

// With returns the tries with one more, which failed with the error.
func (t WriteTries) With(err error) WriteTries {
	if errors.Is(err, ErrRejected) || errors.Is(err, ErrUnacceptable) {
		t.rejection = err
	} else {
		t.unknown = err
	}
	return t
}

// MaybeDone reports whether a try may have taken effect.
func (t WriteTries) MaybeDone() bool { return t.unknown != nil }

// Err returns the newest error of a try that may have taken effect. Only if every try was
// rejected does it return an error that is ErrRejected or ErrUnacceptable: that of the newest
// try, and nil if there was none.
func (t WriteTries) Err() error {
	if t.unknown != nil {
		return t.unknown
	}
	return t.rejection
}

// OffsetMismatchError means that nothing was appended because the topic does not end
// at the offset in AppendCall.At. End is the offset at which it ends.
type OffsetMismatchError struct{ End Offset }

// Error implements error.
func (e *OffsetMismatchError) Error() string { return fmt.Sprintf("wrong offset: end is at %d", e.End) }

// SequenceError means that nothing was appended because the store expected another
// sequence number in AppendCall.Writer.
type SequenceError struct{ Expected int64 }

// Error implements error.
func (e *SequenceError) Error() string { return fmt.Sprintf("wrong sequence: expected %d", e.Expected) }

// OperatorConfig is the operators' current configuration: the queues, and the
// availability zones that are out of service.
type OperatorConfig struct {
	// Version increases with each change of the configuration.
	Version int64
	Queues  []QueueRule
	// Out is the set of availability zones that get no new tasks.
	Out map[string]bool
	// Limits are the limits for clients.
	Limits ClientLimits
}

// ClientLimits are the limits for a client's request and connection. A value that is 0 is not configured.
type ClientLimits struct {
	// MaxHeaderBytes and MaxBodyBytes bound a request's header and body.
	MaxHeaderBytes, MaxBodyBytes int64
	// HeaderTimeout bounds the time from the first byte of a request to the end of its header, and
	// IdleTimeout that between two requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// QueueRule assigns requests to a queue by their host and the prefix of their path.
type QueueRule struct {
	Queue
	Host   string
	Prefix string
}

// Match returns the rule for the host whose prefix is the longest one that the path starts
// with, or false if no rule matches. Of several such rules it returns the last.
func (s *OperatorConfig) Match(host, path string) (QueueRule, bool) {
	best, found := QueueRule{}, false
	for _, q := range s.Queues {
		if q.Host == host && len(q.Prefix) >= len(best.Prefix) && len(path) >= len(q.Prefix) && path[:len(q.Prefix)] == q.Prefix {
			best, found = q, true
		}
	}
	return best, found
}
