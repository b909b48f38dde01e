package receiver

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/parser"
)

const (
	// operatorLimit bounds the wait for a record of an operator's call.
	operatorLimit = 5 * time.Second
	// bodyLimit bounds the body of an operator's call, in bytes.
	bodyLimit = 2 << 20
	// confirmLimit bounds the wait for an agent's word on a leave.
	confirmLimit = 3 * time.Second
)

func (r *Receiver) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.HandleFunc("GET /-/session", r.serveSession)
	operator := func(pattern string, call func(http.ResponseWriter, *http.Request) error) {
		mux.HandleFunc(pattern, r.authorized(call))
	}
	operator("GET /-/table", r.getTable)
	operator("POST /-/table", r.publishTable)
	operator("GET /-/table/history", r.getHistory)
	operator("GET /-/targets", r.getTargets)
	operator("POST /-/targets/leave", r.leaveTarget)
	operator("GET /-/entries", r.getEntries)
	operator("GET /-/requests/{id}", r.getRequest)
	operator("GET /-/zones", r.getZones)
	operator("POST /-/zones", r.postZone)
	operator("GET /-/jobs", r.getJobs)
	operator("POST /-/jobs", r.postJob)
	operator("POST /-/jobs/cancel", r.cancelJobs)
	operator("GET /-/jobs/{id}", r.getJob)
	operator("GET /-/burn", r.getBurn)
	operator("GET /debug/vars", func(w http.ResponseWriter, q *http.Request) error {
		expvar.Handler().ServeHTTP(w, q)
		return nil
	})
	mux.HandleFunc("/", r.serveCaller)
	return mux
}

func (r *Receiver) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		code := plantainrail.CodeNotReady
		if r.draining.Load() {
			code = plantainrail.CodeDraining
		}
		r.refuse(w, plantainrail.NewError(code, "entry %s", r.Name))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// authorized wraps an operator's call with the check of the token. Without a
// token in the settings calls are taken from loopback alone.
func (r *Receiver) authorized(call func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if err := r.authorize(q); err != nil {
			r.refuse(w, err)
			return
		}
		q.Body = http.MaxBytesReader(w, q.Body, bodyLimit)
		if err := call(w, q); err != nil {
			r.refuseWith(w, err)
		}
	}
}

func (r *Receiver) refuseWith(w http.ResponseWriter, err error) {
	var coded *plantainrail.Error
	var cells parser.CellErrors
	switch {
	case errors.As(err, &cells):
		writeFailure(w, plantainrail.NewError(plantainrail.CodeTableInvalid, "%s", cells[0].Error()), cells)
	case errors.As(err, &coded):
		r.refuse(w, coded)
	default:
		r.refuse(w, plantainrail.NewError(plantainrail.CodeBadRequest, "%v", err))
	}
}

func (r *Receiver) authorize(q *http.Request) *plantainrail.Error {
	if r.OperatorToken == "" {
		host, _, err := net.SplitHostPort(q.RemoteAddr)
		if ip := net.ParseIP(host); err == nil && ip != nil && ip.IsLoopback() {
			return nil
		}
		return plantainrail.NewError(plantainrail.CodeForbidden, "from %s", q.RemoteAddr)
	}
	given := strings.TrimPrefix(q.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(given), []byte(r.OperatorToken)) != 1 {
		return plantainrail.NewError(plantainrail.CodeUnauthorized, "")
	}
	return nil
}

func reply(w http.ResponseWriter, body any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(body)
}

func read[T any](q *http.Request) (T, error) {
	var in T
	decoder := json.NewDecoder(q.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&in)
	return in, errors.Wrap(err, "body")
}

// decide proposes a record of an operator and returns why it was rejected.
func (r *Receiver) decide(ctx context.Context, record plantainrail.Record) error {
	ctx, cancel := context.WithTimeout(ctx, operatorLimit)
	defer cancel()
	verdict, err := r.follower.Propose(ctx, record)
	if err != nil {
		return err
	}
	if !verdict.Accepted {
		return verdict.Err
	}
	return nil
}

func (r *Receiver) getBurn(w http.ResponseWriter, _ *http.Request) error {
	return reply(w, r.burn.report(time.Now()))
}
