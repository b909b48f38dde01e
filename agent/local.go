package agent

import (
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/admitter"
	"github.com/plantainrail/plantainrail/limiter"
)

// MaxAnnouncementBytes bounds the body of a call from a target.
const MaxAnnouncementBytes = 64 << 10

// maxNameBytes bounds the name and the incarnation of a target, which are remembered after it has left.
const maxNameBytes = 1 << 10

// excerpt returns the beginning of a text of a target for the log.
func excerpt(text string) string {
	const maxLoggedBytes = 100
	return text[:min(len(text), maxLoggedBytes)]
}

// localHandler returns the HTTP handler for the VM's own targets and operators.
func (a *Agent) localHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", a.handleAnnounce)
	mux.HandleFunc("POST /leave", a.handleLeave)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /status", a.handleStatus)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// decodeTarget decodes the body of a call from a target. If the body is malformed, too
// large, or lacks the name or the incarnation, decodeTarget writes a response with status
// 400, whose text is the same in all cases, and returns false.
func decodeTarget(w http.ResponseWriter, r *http.Request) (plantainrail.TargetInfo, bool) {
	var info plantainrail.TargetInfo
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxAnnouncementBytes)).Decode(&info)
	if limiter.WriteRefusal(w, err) {
		return info, false
	}
	if err != nil || info.Name == "" || info.Incarnation == "" {
		http.Error(w, "name and incarnation are needed", http.StatusBadRequest)
		return info, false
	}
	if len(info.Name) > maxNameBytes || len(info.Incarnation) > maxNameBytes {
		http.Error(w, "name or incarnation is too long", http.StatusBadRequest)
		return info, false
	}
	return info, true
}

// handleAnnounce records the announcement of a target. Targets repeat it every second,
// so only a new incarnation, or one that was absent, is logged and reported at once.
func (a *Agent) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	info, ok := decodeTarget(w, r)
	if !ok {
		return
	}
	if info.Address == "" || len(info.Kinds) == 0 || info.Slots < 1 || info.Connections < info.Slots {
		http.Error(w, "address, kinds, slots and at least as many connections are needed", http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	known := a.admitter.IsAnnounced(time.Now(), info.Name, info.Incarnation)
	recorded := a.admitter.Announce(time.Now(), info)
	if !known && recorded {
		a.notify()
	}
	a.mu.Unlock()
	if !recorded {
		a.Log.Warn("target not taken", zap.String("target", excerpt(info.Name)))
		http.Error(w, "there is no room for another target", http.StatusServiceUnavailable)
		return
	}
	if !known {
		a.Log.Info("target announced", zap.String("target", excerpt(info.Name)), zap.String("incarnation", excerpt(info.Incarnation)))
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleLeave marks a target as leaving at the target's request.
func (a *Agent) handleLeave(w http.ResponseWriter, r *http.Request) {
	info, ok := decodeTarget(w, r)
	if !ok {
		return
	}
	if !a.drainTarget(info.Name, info.Incarnation) {
		// The leave is recorded all the same: it applies if this incarnation announces
		// itself later.
		http.Error(w, "no such target", http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Status is the state of an agent.
type Status struct {
	Agent       string `json:"agent"`
	Incarnation string `json:"incarnation"`
	Revision    int64  `json:"revision"`
	// Sessions lists the addresses of the entries with an open session.
	Sessions []string `json:"sessions"`
	// Open is the number of running and queued requests.
	Open  int                       `json:"open"`
	Tasks []plantainrail.TaskStatus `json:"tasks"`
	// Limited counts the calls of targets for which there was no room.
	Limited admitter.Limited `json:"limited"`
}

func (a *Agent) handleStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(a.Status())
}

// Status returns the current state of the agent, for operators and tests.
func (a *Agent) Status() Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Status{Agent: a.Name, Incarnation: a.leaser.Incarnation(), Revision: a.tableUpdate.Revision, Open: a.admitter.OpenRequests(), Limited: a.admitter.Limited()}
	for address := range a.entrySessions {
		s.Sessions = append(s.Sessions, address)
	}
	s.Tasks = a.taskReport().Tasks
	return s
}
