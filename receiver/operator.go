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
	// operatorTimeout bounds the wait for the log to decide on the record of an
	// operator's call.
	operatorTimeout = 5 * time.Second
	// maxOperatorBodyBytes bounds the body of an operator's call.
	maxOperatorBodyBytes = 2 << 20
	// leaveConfirmTimeout bounds the wait for an agent to confirm a leave
	// order.
	leaveConfirmTimeout = 3 * time.Second
)

// handler returns the handler of all requests to the entry. Requests whose path is
// none of the entry's own are callers' requests.
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
	operator("GET /debug/vars", func(w http.ResponseWriter, req *http.Request) error {
		expvar.Handler().ServeHTTP(w, req)
		return nil
	})
	mux.HandleFunc("/", r.serveCaller)
	return mux
}

// serveReady responds to the health check of a load balancer: 204 if the entry is
// ready, otherwise an error.
func (r *Receiver) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.ready() {
		code := plantainrail.CodeNotReady
		if r.draining.Load() {
			code = plantainrail.CodeDraining
		}
		r.writeError(w, plantainrail.NewError(code, "entry %s", r.Name))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// authorized wraps the handler of an operator's call: it checks the token, bounds the
// body and sends the handler's error. If no token is configured, calls are accepted
// from loopback addresses only.
func (r *Receiver) authorized(call func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if err := r.authorize(req); err != nil {
			r.writeError(w, err)
			return
		}
		req.Body = http.MaxBytesReader(w, req.Body, maxOperatorBodyBytes)
		if err := call(w, req); err != nil {
			r.writeOperatorError(w, err)
		}
	}
}

// writeOperatorError sends the error of an operator's call. An error without a
// result code, such as that of a malformed body, is sent as CodeBadRequest.
func (r *Receiver) writeOperatorError(w http.ResponseWriter, err error) {
	var coded *plantainrail.Error
	var cells parser.CellErrors
	switch {
	case errors.As(err, &cells):
		writeErrorResponse(w, plantainrail.NewError(plantainrail.CodeTableInvalid, "%s", cells[0].Error()), cells)
	case errors.As(err, &coded):
		r.writeError(w, coded)
	default:
		r.writeError(w, plantainrail.NewError(plantainrail.CodeBadRequest, "%v", err))
	}
}

// authorize returns an error unless the request may make operators' calls.
func (r *Receiver) authorize(req *http.Request) *plantainrail.Error {
	if r.OperatorToken == "" {
		host, _, err := net.SplitHostPort(req.RemoteAddr)
		if ip := net.ParseIP(host); err == nil && ip != nil && ip.IsLoopback() {
			return nil
		}
		return plantainrail.NewError(plantainrail.CodeForbidden, "from %s", req.RemoteAddr)
	}
	given := strings.TrimPrefix(req.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(given), []byte(r.OperatorToken)) != 1 {
		return plantainrail.NewError(plantainrail.CodeUnauthorized, "")
	}
	return nil
}

// writeJSON sends a body as JSON. It returns an error if the connection fails.
func writeJSON(w http.ResponseWriter, body any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(body)
}

// decodeBody decodes the JSON body of an operator's call. Unknown fields are errors.
func decodeBody[T any](req *http.Request) (T, error) {
	var in T
	decoder := json.NewDecoder(req.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&in)
	return in, errors.Wrap(err, "body")
}

// proposeAndWait proposes a record for an operator and waits for the verdict. It
// returns nil if the record was accepted and the reason if it was rejected. If the
// verdict does not come within operatorTimeout, the error says whether the record
// may still take effect.
func (r *Receiver) proposeAndWait(ctx context.Context, record plantainrail.Record) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
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
	return writeJSON(w, r.burn.report(time.Now()))
}
