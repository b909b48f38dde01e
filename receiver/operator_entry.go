package receiver

import (
	"net/http"
	"slices"
	"strings"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/reducer"
)

// EntryReply describes one entry. Live is set if its registration is recent
// enough for it to own jobs.
type EntryReply struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Live        bool   `json:"live"`
}

func (r *Receiver) getEntries(w http.ResponseWriter, _ *http.Request) error {
	list := []EntryReply{}
	r.scheduler.mu.Lock()
	live := slices.Clone(r.scheduler.liveEntries)
	r.scheduler.mu.Unlock()
	r.follower.View(func(s *reducer.State) {
		for _, e := range s.Entries {
			list = append(list, EntryReply{e.Name, e.Zone, e.Address, e.Incarnation, slices.Contains(live, e.Name)})
		}
	})
	slices.SortFunc(list, func(a, b EntryReply) int { return strings.Compare(a.Name, b.Name) })
	return writeJSON(w, list)
}

// getRequest sends the trace of a request that this entry handled recently.
func (r *Receiver) getRequest(w http.ResponseWriter, req *http.Request) error {
	trace, ok := r.requestTraces.find(req.PathValue("id"))
	if !ok {
		return plantainrail.NewError(plantainrail.CodeNotFound, "request %s is not remembered by entry %s", req.PathValue("id"), r.Name)
	}
	return writeJSON(w, trace)
}
