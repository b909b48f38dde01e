// Package linker implements the sessions between entries and agents: WebSocket
// messages with one or more CBOR frames, and flow-controlled streams that are
// multiplexed on a session. It defines the frames, such as heartbeats and orders, and
// transfers them; packages receiver and decider (entries) and agent and minder (agents)
// decide what to send.
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

// Frame is the unit of exchange on a session. Most frames set only one part.
type Frame struct {
	// Stream is the ID of the frame's stream; 0 means the session itself.
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
	// GoAway from an agent means that it accepts no new work on the session, and
	// from an entry that it sends no more work.
	GoAway  bool         `cbor:"11,keyasint,omitempty"`
	Left    *LeaveOrder  `cbor:"12,keyasint,omitempty"`
	Refused *TaskRefusal `cbor:"13,keyasint,omitempty"`
	// WantTable from an entry asks for the agent's table, which is newer than the
	// entry's.
	WantTable bool `cbor:"14,keyasint,omitempty"`

	Open    *Open    `cbor:"20,keyasint,omitempty"`
	Resolve *Resolve `cbor:"21,keyasint,omitempty"`
	Head    *Head    `cbor:"22,keyasint,omitempty"`
	// Data holds body bytes, and End marks the end of the body.
	Data  []byte `cbor:"23,keyasint,omitempty"`
	End   bool   `cbor:"24,keyasint,omitempty"`
	Abort *Abort `cbor:"25,keyasint,omitempty"`
	// Credit is the number of further body bytes that the frame's receiver may send.
	Credit int `cbor:"26,keyasint,omitempty"`
	// Close means that the sender reads no more of the stream.
	Close bool `cbor:"27,keyasint,omitempty"`

	Work   *WorkReport `cbor:"30,keyasint,omitempty"`
	Orders *WorkOrders `cbor:"31,keyasint,omitempty"`
	// Alive means that the sender keeps the session alive; see Session.KeepAlive.
	Alive bool `cbor:"32,keyasint,omitempty"`
}

// AttemptRef names one attempt of a task.
type AttemptRef = plantainrail.AttemptRef

// Hello is the first frame that an agent sends on a session.
type Hello struct {
	Agent       string                 `cbor:"0,keyasint"`
	Zone        string                 `cbor:"1,keyasint"`
	Incarnation string                 `cbor:"2,keyasint"`
	Capacity    plantainrail.Resources `cbor:"3,keyasint"`
	// Revision is the revision of the agent's table.
	Revision int64  `cbor:"4,keyasint"`
	Rack     string `cbor:"5,keyasint,omitempty"`
	// Succeeds is an earlier incarnation on the same VM that has certainly ended: none
	// of its attempts runs, and the runtime refuses to start any, since Incarnation has
	// claimed the VM. The agent's process may be the same, since an agent whose
	// incarnation was declared lost goes on under a new one. Empty means that no such
	// incarnation is known.
	Succeeds string `cbor:"6,keyasint,omitempty"`
	// ProcessID is a random ID of the agent's process. It changes when the agent
	// restarts, even if the incarnation stays the same.
	ProcessID string `cbor:"7,keyasint"`
}

// Welcome is the first frame that an entry sends on a session.
type Welcome struct {
	Entry string `cbor:"0,keyasint"`
	// Entries lists the addresses of the registered entries.
	Entries []string `cbor:"1,keyasint,omitempty"`
}

// Heartbeat is sent by the agent at a fixed interval.
type Heartbeat struct {
	Sequence    uint64 `cbor:"0,keyasint"`
	Incarnation string `cbor:"1,keyasint,omitempty"`
	// Changed means that the loads have changed since the previous heartbeat. If it
	// is false, Loads is omitted and the previous loads still apply.
	Changed bool                  `cbor:"2,keyasint,omitempty"`
	Loads   []admitter.TargetLoad `cbor:"3,keyasint,omitempty"`
	// Revision is the revision of the agent's table; 0 means that it has not changed.
	Revision int64 `cbor:"4,keyasint,omitempty"`
}

// Ack acknowledges a heartbeat.
type Ack struct {
	Sequence uint64 `cbor:"0,keyasint"`
	// Renewed extends the VM's lease, measured from when the heartbeat was sent.
	Renewed bool `cbor:"1,keyasint,omitempty"`
	// Permit allows task starts for a short time, also measured from when the
	// heartbeat was sent.
	Permit bool `cbor:"2,keyasint,omitempty"`
	// Fenced means that the incarnation was declared lost. The agent stops its
	// attempts and switches to a new incarnation.
	Fenced bool `cbor:"3,keyasint,omitempty"`
	// Entries lists the addresses of the registered entries if they have changed.
	Entries []string `cbor:"4,keyasint,omitempty"`
}

// TableUpdate carries a revision of the table of the kinds of work, in either
// direction.
type TableUpdate struct {
	Revision int64  `cbor:"0,keyasint"`
	CSV      []byte `cbor:"1,keyasint"`
}

// TaskOrder asks an agent to start an attempt that is assigned to it in the log.
type TaskOrder struct {
	Start plantainrail.TaskStart `cbor:"0,keyasint"`
}

// TaskRefusal is an agent's report that an attempt was not started and never will be.
type TaskRefusal struct {
	Ref AttemptRef          `cbor:"0,keyasint"`
	Err *plantainrail.Error `cbor:"1,keyasint"`
}

// EvictOrder asks an agent to checkpoint and stop an attempt.
type EvictOrder struct {
	Ref    AttemptRef `cbor:"0,keyasint"`
	Reason string     `cbor:"1,keyasint"`
}

// LeaveOrder marks a target's incarnation as leaving. The agent confirms it by
// sending it back as Frame.Left.
type LeaveOrder struct {
	Target      string `cbor:"0,keyasint"`
	Incarnation string `cbor:"1,keyasint"`
}

// TaskReport lists all attempts on an agent's VM and its free resources.
type TaskReport struct {
	Incarnation string                    `cbor:"0,keyasint"`
	Tasks       []plantainrail.TaskStatus `cbor:"1,keyasint"`
	Free        plantainrail.Resources    `cbor:"2,keyasint"`
	// PeakUsages are the measured resource usages of tasks on the VM.
	PeakUsages []sizer.PeakUsage `cbor:"3,keyasint,omitempty"`
	// Throttled names the kinds whose tasks on the VM are throttled because they
	// slow down the VM's targets.
	Throttled []string `cbor:"4,keyasint,omitempty"`
}

// Open opens a stream with a request that is forwarded to an agent.
type Open struct {
	ID     string      `cbor:"0,keyasint"`
	Kind   string      `cbor:"1,keyasint"`
	Target string      `cbor:"2,keyasint"`
	Method string      `cbor:"3,keyasint"`
	Path   string      `cbor:"4,keyasint"`
	Header http.Header `cbor:"5,keyasint,omitempty"`
	// Length is the length of the body in bytes; -1 means unknown.
	Length   int64     `cbor:"6,keyasint,omitempty"`
	Deadline time.Time `cbor:"7,keyasint"`
	// Weight, MaxRunning, MaxQueued, Feed and Idempotent are copied from the table's row.
	Weight     int  `cbor:"8,keyasint,omitempty"`
	MaxRunning int  `cbor:"9,keyasint,omitempty"`
	MaxQueued  int  `cbor:"10,keyasint,omitempty"`
	Feed       bool `cbor:"11,keyasint,omitempty"`
	Idempotent bool `cbor:"12,keyasint,omitempty"`
	// Keep asks the agent to keep the response after its delivery.
	Keep bool `cbor:"13,keyasint,omitempty"`
}

// Resolve opens a stream that asks for the outcome of a request that was sent
// earlier. If the agent has not started the request, it guarantees that it never will.
type Resolve struct {
	ID string `cbor:"0,keyasint"`
	// Received is the number of body bytes of the response that have arrived already,
	// and HasHead reports whether the head has.
	Received int64 `cbor:"1,keyasint,omitempty"`
	HasHead  bool  `cbor:"2,keyasint,omitempty"`
	// CopyOnly asks for a copy of the whole response. It affects neither the first
	// reader of the response nor a request that is still queued.
	CopyOnly bool `cbor:"3,keyasint,omitempty"`
	// ProcessID identifies the agent's process that the request was sent to, as in Hello.
	// Another process of the agent does not know the outcome.
	ProcessID string `cbor:"4,keyasint,omitempty"`
}

// Head is the status and header of a response.
type Head struct {
	Status int         `cbor:"0,keyasint"`
	Header http.Header `cbor:"1,keyasint,omitempty"`
	// Length is the length of the body in bytes; -1 means unknown.
	Length int64 `cbor:"2,keyasint,omitempty"`
}

// Abort ends a stream without a response, or truncates a response.
type Abort struct {
	Err plantainrail.Error `cbor:"0,keyasint"`
}

// Limits of a decoded frame.
const (
	// maxArrayElements bounds the elements of an array and the entries of a map.
	maxArrayElements = 1 << 20
	// maxNestedLevels bounds how deep arrays and maps are nested.
	maxNestedLevels = 24
)

var (
	encodeMode = mustEncodeMode()
	decodeMode = mustDecodeMode()
)

// mustEncodeMode returns the CBOR encoder's mode. Times are encoded with a precision of
// microseconds. It panics if the options are invalid.
func mustEncodeMode() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeUnixMicro}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// mustDecodeMode returns the CBOR decoder's mode, with the limits above. It panics if the
// options are invalid.
func mustDecodeMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements, MaxMapPairs: maxArrayElements, MaxNestedLevels: maxNestedLevels}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode appends the frames to the buffer.
func Encode(buffer *bytes.Buffer, frames []Frame) error {
	encoder := encodeMode.NewEncoder(buffer)
	for i := range frames {
		if err := encoder.Encode(&frames[i]); err != nil {
			return errors.Wrap(err, "encode frame")
		}
	}
	return nil
}

// Decode returns the frames of one message. If any of them is invalid, it returns an
// error and no frames.
func Decode(message []byte) ([]Frame, error) {
	var frames []Frame
	for len(message) > 0 {
		var f Frame
		rest, err := decodeMode.UnmarshalFirst(message, &f)
		if err != nil {
			return nil, errors.Wrap(err, "decode frame")
		}
		frames = append(frames, f)
		message = rest
	}
	return frames, nil
}
