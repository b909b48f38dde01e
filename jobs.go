package plantainrail

import (
	"context"
	"time"
)

// CallResult is the result of a client's call on a job.
type CallResult int

// Results of calls on jobs.
const (
	// CallOK means that the effect of the call is stored or, for a query, that
	// the job exists.
	CallOK CallResult = iota
	// CallRejected means that the job was rejected for lack of capacity and will
	// never run.
	CallRejected
	// CallUnavailable means that nothing was done because the store is
	// unreachable or the state has not been loaded yet.
	CallUnavailable
	// CallUncertain means that the call may or may not have taken effect.
	CallUncertain
	// CallNotFound means that the job does not exist.
	CallNotFound
	// CallTooLarge means that the job is larger than the store accepts. It is not stored
	// and never runs; a retry gets the same result.
	CallTooLarge
)

// Reply is the response to a client's call on a job.
type Reply struct {
	Result CallResult
	// State is the job's state; only State calls set it.
	State string
	// RetryAfter is how long the client should wait before it retries; 0 means
	// unspecified.
	RetryAfter time.Duration
}

// JobService handles clients' calls on jobs of several steps.
type JobService interface {
	// Ready reports whether the process can serve clients.
	Ready() bool
	// Queue returns the rule of the queue that a request to the host and path belongs
	// to. found is false if no rule matches. known is false until a configuration has
	// been read; then rule and found are not valid.
	Queue(host, path string) (rule QueueRule, found, known bool)
	// Submit stores a new job.
	Submit(ctx context.Context, w Workflow) Reply
	// State returns the state of the job with the ID.
	State(ctx context.Context, id string) Reply
	// Cancel cancels the job with the ID.
	Cancel(ctx context.Context, id string) Reply
	// PendingJobs returns the number of the queue's jobs that have not started any
	// task. It is valid if the reply's result is CallOK.
	PendingJobs(ctx context.Context, queue string) (int, Reply)
}
