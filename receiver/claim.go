package receiver

import (
	"context"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/reducer"
)

// needsClaim tells whether the call must hold its Idempotency-Key in the log
// before it is handed over.
func (c *call) needsClaim() bool {
	return c.key != "" && !c.kind.Idempotent
}

// claimKey scopes a caller's key to the kind.
func (c *call) claimKey() string {
	return c.kind.Name + " " + c.key
}

// replay looks for an earlier request with the call's key and, if there is one,
// returns its answer. It returns neither answer nor error when the key is free.
func (r *Receiver) replay(ctx context.Context, c *call) (*attempt, *plantainrail.Error) {
	var held reducer.Claim
	var found bool
	r.follower.View(func(s *reducer.State) { held, found = s.Keys[c.claimKey()] })
	if !found {
		return nil, nil
	}
	return r.copyAnswer(ctx, c, held)
}

// claim writes the key's claim for an attempt. When another request holds the
// key, that one's answer is returned instead.
func (r *Receiver) claim(ctx context.Context, c *call, a *attempt) (*attempt, *plantainrail.Error) {
	if _, err := a.session(); err != nil {
		return nil, plantainrail.NewError(plantainrail.CodeSessionLost, "agent %s", a.target.Agent)
	}
	record := plantainrail.KeyRecord{Key: c.claimKey(), Request: a.id, Agent: a.target.Agent, Boot: a.boot, Replaces: c.claimed}
	verdict, err := r.follower.Propose(ctx, plantainrail.Record{Type: plantainrail.RecordKey, Key: &record})
	if err != nil {
		// The claim may take effect later, but this call hands nothing over: the
		// request was not run.
		return nil, plantainrail.NewError(plantainrail.CodeLogUnavailable, "the key could not be claimed")
	}
	if !verdict.Accepted {
		return r.lostClaim(ctx, c, verdict.Err)
	}
	c.claimed = a.id
	return nil, nil
}

func (r *Receiver) lostClaim(ctx context.Context, c *call, cause *plantainrail.Error) (*attempt, *plantainrail.Error) {
	a, err := r.replay(ctx, c)
	if a != nil || err != nil {
		return a, err
	}
	return nil, cause
}

// copyAnswer reads the answer of the request that holds the key. When that
// request was proved not run, its claim is noted so that the call replaces it.
func (r *Receiver) copyAnswer(ctx context.Context, c *call, held reducer.Claim) (*attempt, *plantainrail.Error) {
	a := &attempt{
		receiver: r, call: c, id: held.Request, boot: held.Boot, copying: true,
		target: plantainrail.TargetView{Agent: held.Agent}, result: plantainrail.ResultAbandoned,
	}
	if err := a.reattach(ctx); err != nil {
		return nil, plantainrail.NewError(plantainrail.CodeUncertain, "request %s holds the key and cannot be asked", held.Request)
	}
	a.awaitHead(ctx)
	if a.err == nil {
		return a, nil
	}
	if a.err.Code == plantainrail.CodeVoided {
		c.claimed = held.Request
		return nil, nil
	}
	return nil, a.err
}
