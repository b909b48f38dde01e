package receiver

import (
	"net/http"
	"time"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/linker"
	"github.com/plantainrail/plantainrail/router"
)

// TargetReply describes one target.
type TargetReply struct {
	Name        string   `json:"name"`
	Incarnation string   `json:"incarnation"`
	Agent       string   `json:"agent"`
	Zone        string   `json:"zone"`
	State       string   `json:"state"`
	Kinds       []string `json:"kinds"`
	// Running and Queued count the target's requests as its agent last reported
	// them. Sent counts the requests from this entry that are in progress, and
	// LatencyMS is a moving average of their latency.
	Running   int     `json:"running"`
	Queued    int     `json:"queued"`
	Sent      int     `json:"sent"`
	LatencyMS float64 `json:"latency_ms"`
}

// getTargets sends the targets that this entry knows. With a router other than
// router.Router, which only benchmarks use, the list is empty.
func (r *Receiver) getTargets(w http.ResponseWriter, _ *http.Request) error {
	list := []TargetReply{}
	r.mu.Lock()
	if balancer, ok := r.router.(*router.Router); ok {
		for _, t := range balancer.Targets(time.Now()) {
			v := t.View
			list = append(list, TargetReply{
				v.Info.Name, v.Info.Incarnation, v.Agent, v.Zone, string(t.State), v.Info.Kinds,
				v.Running, v.Queued, t.Sent, float64(t.Latency) / float64(time.Millisecond),
			})
		}
	}
	r.mu.Unlock()
	return writeJSON(w, list)
}

// LeaveRequest is the body of a call to make a target leave. An empty Incarnation
// selects the current one.
type LeaveRequest struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
}

// LeaveReply describes the progress of a leave.
type LeaveReply struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// Confirmed is set if the target's agent has confirmed that it rejects new
	// work.
	Confirmed bool `json:"confirmed"`
	// Recorded is set if the log holds the leave, so that it survives a restart
	// of the agent.
	Recorded bool `json:"recorded"`
}

// leaveTarget sends the leave order to the agents at once, records it in the log,
// and waits at most leaveConfirmTimeout for the agent to confirm it. It returns an
// error only if the order was neither confirmed nor recorded.
func (r *Receiver) leaveTarget(w http.ResponseWriter, req *http.Request) error {
	in, err := decodeBody[LeaveRequest](req)
	if err != nil {
		return err
	}
	incarnation, confirmed := r.sendLeaveOrder(in)
	if in.Incarnation == "" {
		in.Incarnation = incarnation
	}
	if in.Incarnation == "" {
		return plantainrail.NewError(plantainrail.CodeNotFound, "target %s", in.Target)
	}
	record := plantainrail.LeaveRecord{Target: in.Target, Incarnation: in.Incarnation}
	recordErr := r.proposeAndWait(req.Context(), plantainrail.Record{Type: plantainrail.RecordLeave, Leave: &record})
	out := LeaveReply{Target: in.Target, Incarnation: in.Incarnation, Recorded: recordErr == nil}
	select {
	case <-confirmed:
		out.Confirmed = true
	case <-time.After(leaveConfirmTimeout):
	case <-req.Context().Done():
	}
	if !out.Confirmed && !out.Recorded {
		return recordErr
	}
	return writeJSON(w, out)
}

// sendLeaveOrder sends the leave order to all agents; only the target's agent
// confirms it. It returns the target's incarnation, or an empty string if it is
// neither given nor known here, and a channel that is closed when the agent
// confirms.
func (r *Receiver) sendLeaveOrder(in LeaveRequest) (string, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	incarnation := in.Incarnation
	if balancer, ok := r.router.(*router.Router); ok {
		for _, t := range balancer.Targets(time.Now()) {
			if t.View.Info.Name == in.Target && incarnation == "" {
				incarnation = t.View.Info.Incarnation
			}
		}
	}
	order := linker.LeaveOrder{Target: in.Target, Incarnation: incarnation}
	confirmed := make(chan struct{})
	r.pendingLeaves[order] = append(r.pendingLeaves[order], confirmed)
	for _, p := range r.peers {
		_ = p.session.Send(linker.Frame{Leave: &order})
	}
	return incarnation, confirmed
}

// confirmLeave wakes the operators' calls that wait for an agent to confirm a leave
// order.
func (r *Receiver) confirmLeave(order linker.LeaveOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.pendingLeaves[order] {
		close(c)
	}
	delete(r.pendingLeaves, order)
}
