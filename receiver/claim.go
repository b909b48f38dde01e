package receiver

import (
	"context"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/reducer"
)

// needsClaim reports whether the call must claim its Idempotency-Key in the log
// before it is sent to a target.
func (c *call) needsClaim() bool {
	return c.key != "" && !c.kind.Idempotent
}

// claimKey returns the key that is claimed in the log. It contains the kind, so that
// requests of different kinds with the same Idempotency-Key do not conflict.
func (c *call) claimKey() string {
	return c.kind.Name + " " + c.key
}

// replay returns a try that reads the response of an earlier request with the call's
// key. It returns neither a try nor an error if there is no such request or if that
// request was proved not to have run.
func (r *Receiver) replay(ctx context.Context, c *call) (*requestTry, *plantainrail.Error) {
	var holder reducer.Claim
	var found bool
	r.follower.View(func(s *reducer.State) { holder, found = s.Keys[c.claimKey()] })
	if !found {
		return nil, nil
	}
	return r.readClaimedResponse(ctx, c, holder)
}

// claim claims the call's key in the log for a try, and returns nil and no error
// if the try may start. If another request holds the key, it returns a try that
// reads that request's response.
func (r *Receiver) claim(ctx context.Context, c *call, t *requestTry) (*requestTry, *plantainrail.Error) {
	// The call of session also sets t.agentProcessID, which the claim records.
	if _, err := t.session(); err != nil {
		return nil, plantainrail.NewError(plantainrail.CodeSessionLost, "agent %s", t.target.Agent)
	}
	record := plantainrail.KeyRecord{Key: c.claimKey(), Request: t.id, Agent: t.target.Agent, AgentProcessID: t.agentProcessID, Replaces: c.claimHolder}
	verdict, err := r.follower.Propose(ctx, plantainrail.Record{Type: plantainrail.RecordKey, Key: &record})
	if err != nil {
		// The log may still accept the claim later, but this call is not sent to
		// a target, so the request was not run.
		return nil, plantainrail.NewError(plantainrail.CodeLogUnavailable, "the key could not be claimed")
	}
	if !verdict.Accepted {
		return r.handleRejectedClaim(ctx, c, verdict.Err)
	}
	c.claimHolder = t.id
	return nil, nil
}

// handleRejectedClaim returns a try that reads the response of the request that holds
// the key. If there is no response to replay, it returns the cause of the rejection.
func (r *Receiver) handleRejectedClaim(ctx context.Context, c *call, cause *plantainrail.Error) (*requestTry, *plantainrail.Error) {
	t, err := r.replay(ctx, c)
	if t != nil || err != nil {
		return t, err
	}
	return nil, cause
}

// readClaimedResponse returns a try that reads the response of the request that holds
// the key, once that response has begun. If that request was proved not to have run, it
// returns nil and no error, and sets the call's claimHolder, so that the next claim
// replaces it.
func (r *Receiver) readClaimedResponse(ctx context.Context, c *call, holder reducer.Claim) (*requestTry, *plantainrail.Error) {
	t := &requestTry{
		receiver: r, call: c, id: holder.Request, agentProcessID: holder.AgentProcessID, isReplay: true,
		target: plantainrail.TargetView{Agent: holder.Agent}, result: plantainrail.ResultAbandoned,
	}
	if err := t.reattach(ctx); err != nil {
		return nil, plantainrail.NewError(plantainrail.CodeUncertain, "request %s holds the key and cannot be asked", holder.Request)
	}
	t.awaitHead(ctx)
	if t.err == nil {
		return t, nil
	}
	if t.err.Code == plantainrail.CodeVoided {
		c.claimHolder = holder.Request
		return nil, nil
	}
	return nil, t.err
}
