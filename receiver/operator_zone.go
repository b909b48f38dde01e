package receiver

import (
	"net/http"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/reducer"
)

// ZoneReply describes one availability zone. Out is set while it is out of
// service, and Epoch counts the accepted changes of the zone.
type ZoneReply struct {
	Zone  string `json:"zone"`
	Out   bool   `json:"out"`
	Epoch int64  `json:"epoch"`
	// Agents and Tasks count the connected agents in the zone and the tasks
	// assigned to them.
	Agents int `json:"agents"`
	Tasks  int `json:"tasks"`
}

// zones returns the availability zones by name: those that an operator has ever
// changed and those with an agent that is connected to this entry.
func (r *Receiver) zones() map[string]*ZoneReply {
	zones := map[string]*ZoneReply{}
	zoneReply := func(name string) *ZoneReply {
		if zones[name] == nil {
			zones[name] = &ZoneReply{Zone: name}
		}
		return zones[name]
	}
	agentZones := map[string]string{}
	r.mu.Lock()
	for name, p := range r.peers {
		zoneReply(p.hello.Zone).Agents++
		agentZones[name] = p.hello.Zone
	}
	r.mu.Unlock()
	r.follower.View(func(s *reducer.State) {
		for name, z := range s.Zones {
			zoneReply(name).Out = z.Out
			zoneReply(name).Epoch = z.Epoch
		}
		for _, t := range s.AssignedTasks {
			if zone, ok := agentZones[t.Worker]; ok {
				zoneReply(zone).Tasks++
			}
		}
	})
	return zones
}

func (r *Receiver) getZones(w http.ResponseWriter, _ *http.Request) error {
	list := []ZoneReply{}
	for _, z := range r.zones() {
		list = append(list, *z)
	}
	slices.SortFunc(list, func(a, b ZoneReply) int { return strings.Compare(a.Zone, b.Zone) })
	return writeJSON(w, list)
}

// ZoneChange is the body of a call to take an availability zone out of service
// or bring it back. Epoch is the zone's epoch that the operator saw; if it is
// absent, the current epoch is used.
type ZoneChange struct {
	Zone     string `json:"zone"`
	Out      bool   `json:"out"`
	Epoch    *int64 `json:"epoch,omitempty"`
	Operator string `json:"operator"`
}

// postZone changes a zone and sends its new description. The change is rejected if
// the zone's epoch is no longer the one that it is based on.
func (r *Receiver) postZone(w http.ResponseWriter, req *http.Request) error {
	in, err := decodeBody[ZoneChange](req)
	if err != nil {
		return err
	}
	if in.Zone == "" {
		return plantainrail.NewError(plantainrail.CodeBadRequest, "zone is empty")
	}
	var base int64
	r.follower.View(func(s *reducer.State) { base = s.Zones[in.Zone].Epoch })
	if in.Epoch != nil {
		base = *in.Epoch
	}
	record := plantainrail.ZoneRecord{Zone: in.Zone, Out: in.Out, BaseEpoch: base, Operator: in.Operator}
	if err := r.proposeAndWait(req.Context(), plantainrail.Record{Type: plantainrail.RecordZone, Zone: &record}); err != nil {
		return err
	}
	r.Logger.Info("zone changed", zap.String("zone", in.Zone), zap.Bool("out", in.Out), zap.String("operator", in.Operator))
	z, ok := r.zones()[in.Zone]
	if !ok {
		z = &ZoneReply{Zone: in.Zone, Out: in.Out, Epoch: base + 1}
	}
	return writeJSON(w, z)
}
