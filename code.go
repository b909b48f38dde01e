package plantainrail

import (
	"fmt"
	"net/http"
)

// Code is a numbered result code. Codes from 1000 to 1999 mean that the request
// was not run. CodeTable gives the outcome of every other code.
type Code int

// Result codes. CodeTable gives the HTTP status, outcome, message and suggested
// action of each. CodeStartForbidden also stands for an availability zone that was taken
// out of service, and for a start that failed in the runtime.
const (
	CodeBadRequest      Code = 1001
	CodeUnknownKind     Code = 1002
	CodeNoTarget        Code = 1003
	CodeDeadlinePassed  Code = 1004
	CodeOverloaded      Code = 1005
	CodeDraining        Code = 1006
	CodeLogUnavailable  Code = 1007
	CodeKeyInUse        Code = 1008
	CodeNotReady        Code = 1009
	CodeTargetRefused   Code = 1010
	CodeSessionLost     Code = 1011
	CodeVoided          Code = 1012
	CodeClientLimited   Code = 1013
	CodeUncertain       Code = 2001
	CodeLateAnswer      Code = 2002
	CodeTargetFailed    Code = 2003
	CodeAnswerCut       Code = 2004
	CodePublishUnknown  Code = 2005
	CodeTableConflict   Code = 3001
	CodeTableInvalid    Code = 3002
	CodeZoneConflict    Code = 3003
	CodeNotFound        Code = 3004
	CodeJobInvalid      Code = 4001
	CodeQuotaExceeded   Code = 4002
	CodeOverCapacity    Code = 4003
	CodeStartForbidden  Code = 4004
	CodeStaleAttempt    Code = 4005
	CodeCapReached      Code = 4006
	CodeUnauthorized    Code = 5001
	CodeForbidden       Code = 5002
	CodeInternal        Code = 9001
	CodeSettingsInvalid Code = 9002
)

// Outcome states whether the work that a caller asked for was run.
type Outcome string

// Outcomes of a request.
const (
	OutcomeRun       Outcome = "run"
	OutcomeNotRun    Outcome = "not_run"
	OutcomeUncertain Outcome = "uncertain"
)

// CodeInfo describes one result code. Status is the HTTP status of the response,
// Message says what happened, and Action says what the caller can do about it.
type CodeInfo struct {
	Code    Code    `json:"code"`
	Name    string  `json:"name"`
	Status  int     `json:"status"`
	Outcome Outcome `json:"outcome"`
	Message string  `json:"message"`
	Action  string  `json:"action"`
}

// CodeTable returns every result code in ascending order. The codes command prints it
// and generates docs/CODES.md from it.
func CodeTable() []CodeInfo {
	return []CodeInfo{
		{CodeBadRequest, "bad_request", http.StatusBadRequest, OutcomeNotRun, "the request is malformed", "correct the named header or field and send it again"},
		{CodeUnknownKind, "unknown_kind", http.StatusNotFound, OutcomeNotRun, "no row of the table matches the request", "name a kind of the published table in X-Kind, or use a path that a row lists"},
		{CodeNoTarget, "no_target", http.StatusServiceUnavailable, OutcomeNotRun, "no target of this kind can take the request", "check that targets announce themselves: plantainrail target list"},
		{CodeDeadlinePassed, "deadline_passed", http.StatusGatewayTimeout, OutcomeNotRun, "the deadline passed before the request reached a target", "send it again with a later deadline"},
		{CodeOverloaded, "overloaded", http.StatusServiceUnavailable, OutcomeNotRun, "the targets' slots and queues are full", "retry after a pause, or add targets"},
		{CodeDraining, "draining", http.StatusServiceUnavailable, OutcomeNotRun, "the process or target is stopping", "send it again; another entry or target takes it"},
		{CodeLogUnavailable, "log_unavailable", http.StatusServiceUnavailable, OutcomeNotRun, "the log service cannot be reached and this call needs it", "retry when the log service answers again"},
		{CodeKeyInUse, "key_in_use", http.StatusConflict, OutcomeNotRun, "another request holds this Idempotency-Key", "ask for the first request: plantainrail request explain ID"},
		{CodeNotReady, "not_ready", http.StatusServiceUnavailable, OutcomeNotRun, "the entry has no table in force yet", "retry; see /readyz"},
		{CodeTargetRefused, "target_refused", http.StatusBadGateway, OutcomeNotRun, "the target accepted no connection", "check the target's process"},
		{CodeSessionLost, "session_lost", http.StatusBadGateway, OutcomeNotRun, "the session ended before the request was handed over", "send it again"},
		{CodeVoided, "voided", http.StatusBadGateway, OutcomeNotRun, "the request was withdrawn before it started", "send it again"},
		{CodeClientLimited, "client_limited", http.StatusServiceUnavailable, OutcomeNotRun, "the process has no room for the request, or it arrived too slowly", "send it again after the pause that Retry-After names"},
		{CodeUncertain, "uncertain", http.StatusBadGateway, OutcomeUncertain, "contact was lost after hand-over; the request may have run", "ask again with the same Idempotency-Key, or check with the service"},
		{CodeLateAnswer, "late_answer", http.StatusGatewayTimeout, OutcomeUncertain, "the deadline passed while the target was working", "ask again with the same Idempotency-Key, or check with the service"},
		{CodeTargetFailed, "target_failed", http.StatusBadGateway, OutcomeUncertain, "the target's connection broke before its answer", "check with the service before sending it again"},
		{CodeAnswerCut, "answer_cut", http.StatusBadGateway, OutcomeUncertain, "the answer broke off part of the way", "discard what arrived; check with the service"},
		{CodePublishUnknown, "publish_unknown", http.StatusGatewayTimeout, OutcomeUncertain, "the log did not confirm the record in time", "repeat the same command; it takes effect at most once"},
		{CodeTableConflict, "table_conflict", http.StatusConflict, OutcomeNotRun, "the table has changed since the revision you edited", "compare with plantainrail table diff, merge, and publish again"},
		{CodeTableInvalid, "table_invalid", http.StatusUnprocessableEntity, OutcomeNotRun, "a cell of the table is not allowed", "correct the named row and column"},
		{CodeZoneConflict, "zone_conflict", http.StatusConflict, OutcomeNotRun, "somebody else changed the zone at the same time", "look at plantainrail zone show and decide again"},
		{CodeNotFound, "not_found", http.StatusNotFound, OutcomeNotRun, "nothing of that name is known here", "check the name with the matching list command"},
		{CodeJobInvalid, "job_invalid", http.StatusUnprocessableEntity, OutcomeNotRun, "the job cannot be accepted", "correct the named field"},
		{CodeQuotaExceeded, "quota_exceeded", http.StatusTooManyRequests, OutcomeNotRun, "the team's quota is used up", "wait for the team's work to finish, or publish a larger quota"},
		{CodeOverCapacity, "over_capacity", http.StatusConflict, OutcomeNotRun, "the VM has not enough left", "none: the task is placed elsewhere"},
		{CodeStartForbidden, "start_forbidden", http.StatusConflict, OutcomeNotRun, "the agent holds no permit to start work now", "none: the start is repeated when it is allowed"},
		{CodeStaleAttempt, "stale_attempt", http.StatusConflict, OutcomeNotRun, "a newer attempt of the task exists", "none: the older attempt is stopped"},
		{CodeCapReached, "cap_reached", http.StatusConflict, OutcomeNotRun, "a quiet-hour cap of the availability zone is reached", "none: the task is placed elsewhere, or waits until the quiet hours end"},
		{CodeUnauthorized, "unauthorized", http.StatusUnauthorized, OutcomeNotRun, "the operator's token is missing or wrong", "pass --token, or set operator_token in the settings"},
		{CodeForbidden, "forbidden", http.StatusForbidden, OutcomeNotRun, "operators' calls from other machines need a token", "set operator_token in the entry's settings"},
		{CodeInternal, "internal", http.StatusInternalServerError, OutcomeUncertain, "an internal error occurred", "report it with the request id and the logs"},
		{CodeSettingsInvalid, "settings_invalid", http.StatusUnprocessableEntity, OutcomeNotRun, "the settings file is not allowed", "correct the named key; see plantainrail settings check"},
	}
}

// codeIndex maps each code of CodeTable to its description.
var codeIndex = indexCodes()

func indexCodes() map[Code]CodeInfo {
	index := map[Code]CodeInfo{}
	for _, c := range CodeTable() {
		index[c.Code] = c
	}
	return index
}

// Info returns the description of c, or that of CodeInternal if c is unknown.
func (c Code) Info() CodeInfo {
	if info, ok := codeIndex[c]; ok {
		return info
	}
	return codeIndex[CodeInternal]
}

// Error is an error with a numbered result code.
type Error struct {
	Code   Code   `json:"code" cbor:"0,keyasint"`
	Detail string `json:"detail,omitempty" cbor:"1,keyasint,omitempty"`
}

// NewError returns an Error with a formatted detail.
func NewError(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the message, the code and the detail in one line.
func (e *Error) Error() string {
	info := e.Code.Info()
	if e.Detail == "" {
		return fmt.Sprintf("%s (%d)", info.Message, e.Code)
	}
	return fmt.Sprintf("%s (%d): %s", info.Message, e.Code, e.Detail)
}

// Outcome returns the outcome that the code stands for.
func (e *Error) Outcome() Outcome {
	return e.Code.Info().Outcome
}
