package plantainrail

import (
	"context"
	"time"
)

// Answer is the result of a client's call on a job.
type Answer int

// Results of calls on jobs.
const (
	// AnswerOK means that the effect of the call is stored or, for a query, that
	// the job exists.
	AnswerOK Answer = iota
	// AnswerBusy means that the job was rejected for lack of capacity and will
	// never run.
	AnswerBusy
	// AnswerUnavailable means that nothing was done because the store is
	// unreachable or the state has not been loaded yet.
	AnswerUnavailable
	// AnswerUnknown means that the call may or may not have taken effect.
	AnswerUnknown
	// AnswerGone means that the job does not exist.
	AnswerGone
)

// Reply is the response to a client's call on a job.
type Reply struct {
	Answer Answer
	// State is the job's state; only State calls set it.
	State string
	// RetryAfter is how long the client should wait before it retries; 0 means
	// unspecified.
	RetryAfter time.Duration
}

// Front handles clients' calls on workflows.
type Front interface {
	// Ready reports whether the process can serve clients.
	Ready() bool
	// Queue returns the queue that a request to the host and path belongs to.
	// Known is false until a configuration has been read.
	Queue(host, path string) (rule QueueRule, found, known bool)
	Submit(ctx context.Context, w Workflow) Reply
	State(ctx context.Context, id string) Reply
	Cancel(ctx context.Context, id string) Reply
	// Pending returns the number of the queue's jobs that have not started any
	// task.
	Pending(queue string) int
}
