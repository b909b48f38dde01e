package plantainrail

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Offset is a position in the log.
type Offset int64

// Batch is the result of one read of the log.
type Batch struct {
	// Records are in ascending order of offset.
	Records []Record `cbor:"0,keyasint" json:"records"`
	// Oldest is the lowest offset that retention has not deleted.
	Oldest Offset `cbor:"1,keyasint" json:"oldest"`
	// Next is the offset after the last record in the log.
	Next Offset `cbor:"2,keyasint" json:"next"`
}

// Log is the platform's append-only log service. An Append that returns an error
// may still have taken effect.
type Log interface {
	// Append adds the records in one call and returns the offset of the first.
	Append(ctx context.Context, records []Record) (Offset, error)
	// Read returns records that start at the offset. If there are none yet, it
	// waits for one until the given time.
	Read(ctx context.Context, from Offset, until time.Time) (Batch, error)
}

// Runtime is the platform's worker runtime on one VM, which runs attempts of
// tasks. An error of a call does not show that the call had no effect.
type Runtime interface {
	// Start starts an attempt of a task unless start.NotAfter has passed.
	Start(ctx context.Context, start TaskStart) error
	// Stop stops an attempt, or prevents it from starting later, and returns its last
	// checkpoint.
	Stop(ctx context.Context, ref AttemptRef) (Checkpoint, error)
	// Throttle limits a running attempt to a share of its processors, in
	// thousandths.
	Throttle(ctx context.Context, ref AttemptRef, share int) error
	// Renew extends the lease of the VM's attempts. The runtime stops them when the
	// lease expires.
	Renew(ctx context.Context, until time.Time) error
	// Tasks returns the attempts that run, the ended ones whose status is still stored,
	// and the agent's incarnation that holds the VM.
	Tasks(ctx context.Context) (holder string, tasks []TaskStatus, err error)
	// Claim makes an agent's incarnation the holder of the VM. The runtime then
	// refuses starts for any other incarnation.
	Claim(ctx context.Context, incarnation string) error
	// Forget deletes the stored status of an ended attempt.
	Forget(ctx context.Context, ref AttemptRef) error
}

// Checkpoint is the saved progress of a task. A task with an empty checkpoint
// starts from the beginning.
type Checkpoint []byte

// AttemptRef identifies one attempt of a task. The attempts of a task are numbered
// from 1; each assignment to a worker is a new attempt.
type AttemptRef struct {
	Task    string `json:"task" cbor:"0,keyasint"`
	Attempt int64  `json:"attempt" cbor:"1,keyasint"`
}

// TaskStart is an order to start one attempt.
type TaskStart struct {
	AttemptRef
	// Incarnation is the agent's incarnation that the attempt is assigned to.
	Incarnation string    `json:"incarnation" cbor:"2,keyasint"`
	Kind        string    `json:"kind" cbor:"3,keyasint"`
	Resources   Resources `json:"resources" cbor:"4,keyasint"`
	// Work is the declared run time of the whole task, in milliseconds.
	Work int `json:"work" cbor:"5,keyasint"`
	// Checkpoint is the checkpoint to resume from.
	Checkpoint Checkpoint `json:"checkpoint,omitempty" cbor:"6,keyasint,omitempty"`
	// NotAfter is the time after which the attempt must not start.
	NotAfter time.Time `json:"not_after" cbor:"7,keyasint"`
}

// TaskPhase is the phase of an attempt on its VM.
type TaskPhase string

// Phases of an attempt on its VM.
const (
	PhaseRunning  TaskPhase = "running"
	PhaseFinished TaskPhase = "finished"
	PhaseFailed   TaskPhase = "failed"
	// PhaseReleased means that the attempt was stopped before its end, so that the
	// task can resume from its checkpoint on another VM.
	PhaseReleased TaskPhase = "released"
)

// TaskStatus is the state of one attempt on its VM.
type TaskStatus struct {
	AttemptRef
	Incarnation string     `json:"incarnation" cbor:"2,keyasint"`
	Phase       TaskPhase  `json:"phase" cbor:"3,keyasint"`
	Resources   Resources  `json:"resources" cbor:"4,keyasint"`
	Checkpoint  Checkpoint `json:"checkpoint,omitempty" cbor:"5,keyasint,omitempty"`
	// Reason is why the attempt was released or failed; it may be empty.
	Reason string `json:"reason,omitempty" cbor:"6,keyasint,omitempty"`
	Kind   string `json:"kind,omitempty" cbor:"7,keyasint,omitempty"`
	// Usage is the measured resource use of the attempt, which lags behind; zero
	// means not measured yet.
	Usage Resources `json:"usage" cbor:"8,keyasint,omitzero"`
}

// TargetInfo is what a target announces about itself.
type TargetInfo struct {
	Name        string `json:"name" cbor:"0,keyasint"`
	Incarnation string `json:"incarnation" cbor:"1,keyasint"`
	Address     string `json:"address" cbor:"2,keyasint"`
	// Kinds are the kinds of requests that the target serves.
	Kinds []string `json:"kinds" cbor:"3,keyasint"`
	// Slots is the maximum number of requests that the target runs at the same time.
	// Event streams do not count.
	Slots int `json:"slots" cbor:"4,keyasint"`
	// Connections is the maximum number of its running and queued requests, including
	// event streams.
	Connections int `json:"connections" cbor:"5,keyasint"`
}

// TargetRequest is a request to forward to a target.
type TargetRequest struct {
	Address string
	Method  string
	Path    string
	Header  http.Header
	// Length is the size of the body in bytes, or -1 if it is unknown.
	Length int64
	Body   io.Reader
}

// Target forwards requests to the processes of targets.
type Target interface {
	// Forward sends a request and returns the response. Sent reports whether any
	// byte may have reached the target: an error with sent false proves that the
	// request was not run.
	Forward(ctx context.Context, r TargetRequest) (response *http.Response, sent bool, err error)
}
