package plantainrail

import (
	"context"
	"time"
)

// Answer is what became of a client's call on a job.
type Answer int

// Answers to calls on jobs.
const (
	// AnswerOK means that the call's effect is stored, or that the job is known.
	AnswerOK Answer = iota
	// AnswerBusy means that the job was not accepted and never runs: there is no
	// room for it.
	AnswerBusy
	// AnswerUnavailable means that nothing was done, since the store is out of
	// reach or nothing is known yet.
	AnswerUnavailable
	// AnswerUnknown means that the call may have taken effect.
	AnswerUnknown
	// AnswerGone means that there is no such job.
	AnswerGone
)

// Reply is an answer with what the client may do next.
type Reply struct {
	Answer Answer
	// State is the job's state when it was asked for.
	State string
	// RetryAfter is when the client may come back; 0 says nothing.
	RetryAfter time.Duration
}

// Front serves clients' calls on jobs of steps.
type Front interface {
	// Ready tells whether the process can serve clients.
	Ready() bool
	// Queue returns the queue of a request. Known is false while no
	// configuration has been read.
	Queue(host, path string) (rule QueueRule, found, known bool)
	Submit(ctx context.Context, w Workflow) Reply
	State(ctx context.Context, id string) Reply
	Cancel(ctx context.Context, id string) Reply
	// Pending counts the queue's jobs of which no task has started.
	Pending(queue string) int
}
