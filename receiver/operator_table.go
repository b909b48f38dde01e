package receiver

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/parser"
	"github.com/plantainrail/plantainrail/reducer"
)

// TableReply describes one revision of the table. Editor is the operator who
// published it, and Time is when it was published.
type TableReply struct {
	Revision int64     `json:"revision"`
	Editor   string    `json:"editor,omitempty"`
	Time     time.Time `json:"time"`
	CSV      string    `json:"csv"`
}

// getTable sends the active table. The editor and the time are known only from the
// log, so they are omitted if the active table came from an agent and the entry has
// not read that revision from the log yet.
func (r *Receiver) getTable(w http.ResponseWriter, _ *http.Request) error {
	var latest reducer.TableRevision
	r.follower.View(func(s *reducer.State) { latest = s.Table })
	r.mu.Lock()
	out := TableReply{Revision: r.table.Revision, CSV: string(r.table.csv)}
	r.mu.Unlock()
	if latest.Revision == out.Revision {
		out.Editor = latest.Editor
		out.Time = latest.Time
	}
	return writeJSON(w, out)
}

func (r *Receiver) getHistory(w http.ResponseWriter, _ *http.Request) error {
	list := []TableReply{}
	r.follower.View(func(s *reducer.State) {
		for _, h := range s.History {
			list = append(list, TableReply{h.Revision, h.Editor, h.Time, string(h.CSV)})
		}
	})
	return writeJSON(w, list)
}

// PublishRequest is the body of a call to publish a table. Base is the revision
// that the new one replaces; the call is rejected if it is not the current one.
// Repeating a call with the same ID has no further effect.
type PublishRequest struct {
	ID     string `json:"id"`
	Base   int64  `json:"base"`
	CSV    string `json:"csv"`
	Editor string `json:"editor"`
}

func (r *Receiver) publishTable(w http.ResponseWriter, req *http.Request) error {
	in, err := decodeBody[PublishRequest](req)
	if err != nil {
		return err
	}
	if _, err := parser.Parse([]byte(in.CSV)); err != nil {
		return err
	}
	record := plantainrail.TableRecord{Revision: in.Base + 1, Base: in.Base, CSV: []byte(in.CSV), Editor: in.Editor}
	if err := r.proposeAndWait(req.Context(), plantainrail.Record{ID: in.ID, Type: plantainrail.RecordTable, Table: &record}); err != nil {
		return err
	}
	r.Logger.Info("table published", zap.Int64("revision", record.Revision), zap.String("editor", in.Editor))
	return writeJSON(w, TableReply{Revision: record.Revision, Editor: in.Editor, Time: time.Now(), CSV: in.CSV})
}
