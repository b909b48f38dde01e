package plantainrail

import "time"

// TargetView is the state of a target as its agent last reported it to an entry.
type TargetView struct {
	Info TargetInfo
	// Agent is the name of the agent on the target's VM.
	Agent string
	Zone  string
	// Running is the number of the target's requests that hold a slot, and Queued the
	// number that wait for one at the agent.
	Running int
	Queued  int
	Leaving bool
	// ZoneOut is set while the target's availability zone is out of service.
	ZoneOut bool
}

// TryResult is the result of one try of a request. A request has several tries if it
// is retried or hedged.
type TryResult int

// Results of one try of a request.
const (
	// ResultAnswered means that the target responded.
	ResultAnswered TryResult = iota
	// ResultRefused means that the try ended without a failure of the target, for example
	// because the agent rejected the request or its deadline passed before it started.
	ResultRefused
	// ResultFailed means that the target accepted no connection or failed, or that its
	// response was late, cut short or lost with the session.
	ResultFailed
	// ResultAbandoned means that the try was cancelled by the caller or because
	// another try was faster.
	ResultAbandoned
)

// Router selects a target for each try of a request. Implementations are
// deterministic for a given seed and do not read the clock. They are not safe for
// concurrent use.
type Router interface {
	// Update replaces the views of an agent's targets. Targets of the agent that are not
	// in the list are removed.
	Update(now time.Time, agent string, views []TargetView)
	// Pick selects a target that serves the kind and is not excluded by name. It
	// returns false if there is none.
	Pick(now time.Time, kind string, exclude map[string]bool) (TargetView, bool)
	// Sent records that a try was sent to the target with the name.
	Sent(now time.Time, target string)
	// Done records the result and the duration of a try.
	Done(now time.Time, target string, took time.Duration, result TryResult)
	// HedgeAfter returns how long to wait for a response to a request of the kind
	// before sending a hedged request; zero means never.
	HedgeAfter(kind string) time.Duration
	// TakeRetry takes one retry or hedged request from the retry budget. It returns
	// false if the budget is used up.
	TakeRetry() bool
}
