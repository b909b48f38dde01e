// Package linker carries the sessions between entries and agents: WebSocket
// messages that hold one or more CBOR frames, many streams with flow control on
// one session, and heartbeats in both directions.
package linker

import (
	"bytes"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/admitter"
	"github.com/plantainrail/plantainrail/sizer"
)

// Frame is the unit that sessions exchange. A frame holds the parts that are
// set; most frames hold one.
type Frame struct {
	// Stream is the stream that the frame belongs to; 0 is the session itself.
	Stream uint64 `cbor:"0,keyasint,omitempty"`

	Hello     *Hello       `cbor:"1,keyasint,omitempty"`
	Welcome   *Welcome     `cbor:"2,keyasint,omitempty"`
	Heartbeat *Heartbeat   `cbor:"3,keyasint,omitempty"`
	Ack       *Ack         `cbor:"4,keyasint,omitempty"`
	Table     *TableUpdate `cbor:"5,keyasint,omitempty"`
	Start     *TaskOrder   `cbor:"6,keyasint,omitempty"`
	Evict     *EvictOrder  `cbor:"7,keyasint,omitempty"`
	Forget    []AttemptRef `cbor:"8,keyasint,omitempty"`
	Leave     *LeaveOrder  `cbor:"9,keyasint,omitempty"`
	Tasks     *TaskReport  `cbor:"10,keyasint,omitempty"`
	// GoAway tells that the sender takes no new work on the session, from an
	// agent, or hands none over any more, from an entry.
	GoAway  bool         `cbor:"11,keyasint,omitempty"`
	Left    *LeaveOrder  `cbor:"12,keyasint,omitempty"`
	Refused *TaskRefusal `cbor:"13,keyasint,omitempty"`
	// WantTable asks for the agent's table, which is later than the entry's.
	WantTable bool     `cbor:"14,keyasint,omitempty"`
	Open      *Open    `cbor:"20,keyasint,omitempty"`
	Resolve   *Resolve `cbor:"21,keyasint,omitempty"`
	Head      *Head    `cbor:"22,keyasint,omitempty"`
	Data      []byte   `cbor:"23,keyasint,omitempty"`
	End       bool     `cbor:"24,keyasint,omitempty"`
	Abort     *Abort   `cbor:"25,keyasint,omitempty"`
	Credit    int      `cbor:"26,keyasint,omitempty"`
	Close     bool     `cbor:"27,keyasint,omitempty"`

	Work   *WorkReport `cbor:"30,keyasint,omitempty"`
	Orders *WorkOrders `cbor:"31,keyasint,omitempty"`
}

// AttemptRef names one attempt of a task.
type AttemptRef = plantainrail.AttemptRef

// Hello is an agent's first frame on a session.
type Hello struct {
	Agent       string                 `cbor:"0,keyasint"`
	Zone        string                 `cbor:"1,keyasint"`
	Incarnation string                 `cbor:"2,keyasint"`
	Capacity    plantainrail.Resources `cbor:"3,keyasint"`
	Revision    int64                  `cbor:"4,keyasint"`
	Rack        string                 `cbor:"5,keyasint,omitempty"`
	// Succeeds is an earlier incarnation on the same VM that is known to be
	// over: its process has ended and none of its attempts runs.
	Succeeds string `cbor:"6,keyasint,omitempty"`
	// Boot names the agent's process.
	Boot string `cbor:"7,keyasint"`
}

// Welcome is an entry's first frame on a session.
type Welcome struct {
	Entry string `cbor:"0,keyasint"`
	// Entries lists the addresses of the registered entries.
	Entries []string `cbor:"1,keyasint,omitempty"`
}

// Heartbeat is sent by the agent at an even pace. Loads is absent while nothing
// has changed since the heartbeat before.
type Heartbeat struct {
	Sequence    uint64                `cbor:"0,keyasint"`
	Incarnation string                `cbor:"1,keyasint,omitempty"`
	Changed     bool                  `cbor:"2,keyasint,omitempty"`
	Loads       []admitter.TargetLoad `cbor:"3,keyasint,omitempty"`
	Revision    int64                 `cbor:"4,keyasint,omitempty"`
}

// Ack answers a heartbeat.
type Ack struct {
	Sequence uint64 `cbor:"0,keyasint"`
	// Renewed extends the VM's lease, counted from when the heartbeat was sent.
	Renewed bool `cbor:"1,keyasint,omitempty"`
	// Permit allows starts for a short time, counted the same way.
	Permit bool `cbor:"2,keyasint,omitempty"`
	// Fenced means that the incarnation was given up; the agent stops its
	// attempts and takes another.
	Fenced bool `cbor:"3,keyasint,omitempty"`
	// Entries lists the addresses of the registered entries when they changed.
	Entries []string `cbor:"4,keyasint,omitempty"`
}

// TableUpdate carries a revision of the table, in either direction.
type TableUpdate struct {
	Revision int64  `cbor:"0,keyasint"`
	CSV      []byte `cbor:"1,keyasint"`
}

// TaskOrder asks an agent to start an attempt that the log has assigned to it.
type TaskOrder struct {
	Start plantainrail.TaskStart `cbor:"0,keyasint"`
}

// TaskRefusal tells that an attempt was not started, and never will be.
type TaskRefusal struct {
	Ref AttemptRef          `cbor:"0,keyasint"`
	Err *plantainrail.Error `cbor:"1,keyasint"`
}

// EvictOrder asks an agent to checkpoint and stop an attempt.
type EvictOrder struct {
	Ref    AttemptRef `cbor:"0,keyasint"`
	Reason string     `cbor:"1,keyasint"`
}

// LeaveOrder marks a target's incarnation as leaving, or confirms that it is.
type LeaveOrder struct {
	Target      string `cbor:"0,keyasint"`
	Incarnation string `cbor:"1,keyasint"`
}

// TaskReport lists every attempt that an agent holds.
type TaskReport struct {
	Incarnation string                    `cbor:"0,keyasint"`
	Tasks       []plantainrail.TaskStatus `cbor:"1,keyasint"`
	Free        plantainrail.Resources    `cbor:"2,keyasint"`
	// Sizes are what tasks were measured to use there.
	Sizes []sizer.Size `cbor:"3,keyasint,omitempty"`
	// Throttled names the kinds whose tasks there are throttled, since they slow
	// the VM's targets.
	Throttled []string `cbor:"4,keyasint,omitempty"`
}

// Open hands a request to an agent.
type Open struct {
	ID       string      `cbor:"0,keyasint"`
	Kind     string      `cbor:"1,keyasint"`
	Target   string      `cbor:"2,keyasint"`
	Method   string      `cbor:"3,keyasint"`
	Path     string      `cbor:"4,keyasint"`
	Header   http.Header `cbor:"5,keyasint,omitempty"`
	Length   int64       `cbor:"6,keyasint,omitempty"`
	Deadline time.Time   `cbor:"7,keyasint"`
	// Weight, Limit, Queue, Feed and Idempotent repeat the table's row.
	Weight     int  `cbor:"8,keyasint,omitempty"`
	Limit      int  `cbor:"9,keyasint,omitempty"`
	Queue      int  `cbor:"10,keyasint,omitempty"`
	Feed       bool `cbor:"11,keyasint,omitempty"`
	Idempotent bool `cbor:"12,keyasint,omitempty"`
	// Keep asks the agent to keep the answer after it was delivered.
	Keep bool `cbor:"13,keyasint,omitempty"`
}

// Resolve asks what became of a request that was handed over before. An agent
// that never started it makes sure that it never starts.
type Resolve struct {
	ID string `cbor:"0,keyasint"`
	// Received is the number of body bytes that arrived before; HasHead tells
	// whether the head did.
	Received int64 `cbor:"1,keyasint,omitempty"`
	HasHead  bool  `cbor:"2,keyasint,omitempty"`
	// Copy asks for a copy of the whole answer and leaves the first reader,
	// and a request that still waits, as they are.
	Copy bool `cbor:"3,keyasint,omitempty"`
	// Boot is the agent's process that the request was handed to. Another
	// process of the agent does not know what became of it.
	Boot string `cbor:"4,keyasint,omitempty"`
}

// Head begins an answer.
type Head struct {
	Status int         `cbor:"0,keyasint"`
	Header http.Header `cbor:"1,keyasint,omitempty"`
	Length int64       `cbor:"2,keyasint,omitempty"`
}

// Abort ends a stream without an answer, or cuts an answer short.
type Abort struct {
	Err plantainrail.Error `cbor:"0,keyasint"`
}

const (
	maxArrayElements = 1 << 20
	maxNesting       = 24
)

var (
	encoding = mustEncoding()
	decoding = mustDecoding()
)

func mustEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxArrayElements, MaxNestedLevels: maxNesting}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode appends the frames to the buffer.
func Encode(buffer *bytes.Buffer, frames []Frame) error {
	encoder := encoding.NewEncoder(buffer)
	for i := range frames {
		if err := encoder.Encode(&frames[i]); err != nil {
			return errors.Wrap(err, "encode frame")
		}
	}
	return nil
}

// Decode returns the frames of one message.
func Decode(message []byte) ([]Frame, error) {
	var frames []Frame
	for len(message) > 0 {
		var f Frame
		rest, err := decoding.UnmarshalFirst(message, &f)
		if err != nil {
			return nil, errors.Wrap(err, "decode frame")
		}
		frames = append(frames, f)
		message = rest
	}
	return frames, nil
}
