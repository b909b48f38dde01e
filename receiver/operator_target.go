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
	Running     int      `json:"running"`
	Queued      int      `json:"queued"`
	Sent        int      `json:"sent"`
	LatencyMS   float64  `json:"latency_ms"`
}

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
	return reply(w, list)
}

// Leave is an operator's call to make a target leave.
type Leave struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
}

// LeaveReply tells how far a leave has come.
type LeaveReply struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// Confirmed is set when the target's agent refuses new work from now on.
	Confirmed bool `json:"confirmed"`
	// Recorded is set when the log has it, so that the agent's restart keeps it.
	Recorded bool `json:"recorded"`
}

// leaveTarget orders the leave at the agent at once, and records it.
func (r *Receiver) leaveTarget(w http.ResponseWriter, q *http.Request) error {
	in, err := read[Leave](q)
	if err != nil {
		return err
	}
	incarnation, confirmed := r.orderLeave(in)
	if in.Incarnation == "" {
		in.Incarnation = incarnation
	}
	if in.Incarnation == "" {
		return plantainrail.NewError(plantainrail.CodeNotFound, "target %s", in.Target)
	}
	record := plantainrail.LeaveRecord{Target: in.Target, Incarnation: in.Incarnation}
	recorded := r.decide(q.Context(), plantainrail.Record{Type: plantainrail.RecordLeave, Leave: &record})
	out := LeaveReply{Target: in.Target, Incarnation: in.Incarnation, Recorded: recorded == nil}
	select {
	case <-confirmed:
		out.Confirmed = true
	case <-time.After(confirmLimit):
	case <-q.Context().Done():
	}
	if !out.Confirmed && !out.Recorded {
		return recorded
	}
	return reply(w, out)
}

// orderLeave tells the agents about the leave, and returns the incarnation that
// the target has and a channel that is closed when its agent confirms.
func (r *Receiver) orderLeave(in Leave) (string, <-chan struct{}) {
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
	r.leaves[order] = append(r.leaves[order], confirmed)
	for _, p := range r.peers {
		_ = p.session.Send(linker.Frame{Leave: &order})
	}
	return incarnation, confirmed
}

func (r *Receiver) confirmLeave(order linker.LeaveOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.leaves[order] {
		close(c)
	}
	delete(r.leaves, order)
}
