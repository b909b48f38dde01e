package plantainrail

import "time"

// TargetView is the state of a target as its agent last reported it to an entry.
type TargetView struct {
	Info    TargetInfo
	Agent   string
	Zone    string
	Running int
	Queued  int
	Leaving bool
	// ZoneOut is set while the target's availability zone is out of service.
	ZoneOut bool
}

// Result is the result of an attempt at a target.
type Result int

// Results of an attempt.
const (
	// ResultAnswered means that the target responded.
	ResultAnswered Result = iota
	// ResultRefused means that the agent rejected the request because of load or
	// because the target is leaving.
	ResultRefused
	// ResultFailed means that the target or the session failed.
	ResultFailed
	// ResultAbandoned means that the attempt was cancelled by the caller or because
	// another attempt was faster.
	ResultAbandoned
)

// Router selects a target for each attempt of a request. Implementations are
// deterministic: they do not read the clock. They are not safe for concurrent use.
type Router interface {
	// Update replaces the views of an agent's targets.
	Update(now time.Time, agent string, views []TargetView)
	// Pick selects a target for the kind that is not excluded. It returns false if
	// there is none.
	Pick(now time.Time, kind string, exclude map[string]bool) (TargetView, bool)
	// Sent records that an attempt was sent.
	Sent(now time.Time, target string)
	// Done records the result and the duration of an attempt.
	Done(now time.Time, target string, took time.Duration, result Result)
	// HedgeAfter returns how long to wait for a response to a request of the kind
	// before sending a hedged request; zero means never.
	HedgeAfter(kind string) time.Duration
	// TakeRetry takes one retry or hedged request from the budget. It returns false if
	// the budget is used up.
	TakeRetry() bool
}
