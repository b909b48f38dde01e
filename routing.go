package plantainrail

import "time"

// TargetView is what an entry knows of a target from its agent's reports.
type TargetView struct {
	Info    TargetInfo
	Agent   string
	Zone    string
	Running int
	Queued  int
	Leaving bool
	// ZoneOut is set while the target's availability zone is out.
	ZoneOut bool
}

// Result is how an attempt at a target ended.
type Result int

// Results of an attempt.
const (
	// ResultAnswered means that the target answered.
	ResultAnswered Result = iota
	// ResultRefused means that the agent refused it for load or for leaving.
	ResultRefused
	// ResultFailed means that the target or the session failed.
	ResultFailed
	// ResultAbandoned means that the caller or a faster attempt ended it.
	ResultAbandoned
)

// Router chooses a target for each attempt of a request. Implementations are
// pure: they read no clock and are not safe for concurrent use.
type Router interface {
	// Update replaces what is known of an agent's targets.
	Update(now time.Time, agent string, views []TargetView)
	// Pick chooses a target of the kind that is not excluded.
	Pick(now time.Time, kind string, exclude map[string]bool) (TargetView, bool)
	// Sent notes that an attempt was sent.
	Sent(now time.Time, target string)
	// Done notes how an attempt ended and how long it took.
	Done(now time.Time, target string, took time.Duration, result Result)
	// HedgeAfter returns how long to wait for an answer of the kind before a
	// second attempt is worth its cost; zero means never.
	HedgeAfter(kind string) time.Duration
	// Spend takes one retry or hedge from the budget, if there is one left.
	Spend() bool
}
