// Package launcher is the adapter to the platform's worker runtime on the same VM. It
// translates the calls of package agent to HTTP calls with JSON bodies and makes no
// decisions.
package launcher

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

// maxResponseBytes bounds the body of a response of the runtime.
const maxResponseBytes = 16 << 20

// TasksReply is the JSON body of the response to a call that lists the VM's attempts.
type TasksReply struct {
	// Holder is the agent incarnation that last claimed the VM.
	Holder string                    `json:"holder"`
	Tasks  []plantainrail.TaskStatus `json:"tasks"`
}

// ClaimRequest is the request that claims the VM for an agent incarnation.
type ClaimRequest struct {
	Incarnation string `json:"incarnation"`
}

// LeaseRequest is the request that extends the lease of the VM's attempts.
type LeaseRequest struct {
	// Until is when the lease expires.
	Until time.Time `json:"until"`
}

// ThrottleRequest is the request that limits an attempt to a share of its processors.
type ThrottleRequest struct {
	plantainrail.AttemptRef
	// Share is the share of the attempt's processors, in thousandths.
	Share int `json:"share"`
}

// StopReply is the JSON body of the response to a stop.
type StopReply struct {
	Checkpoint plantainrail.Checkpoint `json:"checkpoint"`
}

// Launcher implements plantainrail.Runtime.
type Launcher struct {
	base   string
	client *http.Client
}

// New returns a Launcher for the runtime at the base URL.
func New(base string, client *http.Client) *Launcher {
	return &Launcher{base, client}
}

// Start implements plantainrail.Runtime.
func (l *Launcher) Start(ctx context.Context, start plantainrail.TaskStart) error {
	return l.call(ctx, "/start", start, nil)
}

// Stop implements plantainrail.Runtime.
func (l *Launcher) Stop(ctx context.Context, ref plantainrail.AttemptRef) (plantainrail.Checkpoint, error) {
	var stopped StopReply
	err := l.call(ctx, "/stop", ref, &stopped)
	return stopped.Checkpoint, err
}

// Throttle implements plantainrail.Runtime.
func (l *Launcher) Throttle(ctx context.Context, ref plantainrail.AttemptRef, share int) error {
	return l.call(ctx, "/throttle", ThrottleRequest{ref, share}, nil)
}

// Renew implements plantainrail.Runtime.
func (l *Launcher) Renew(ctx context.Context, until time.Time) error {
	return l.call(ctx, "/lease", LeaseRequest{until}, nil)
}

// Tasks implements plantainrail.Runtime.
func (l *Launcher) Tasks(ctx context.Context) (string, []plantainrail.TaskStatus, error) {
	var reply TasksReply
	err := l.call(ctx, "/tasks", nil, &reply)
	return reply.Holder, reply.Tasks, err
}

// Claim implements plantainrail.Runtime.
func (l *Launcher) Claim(ctx context.Context, incarnation string) error {
	return l.call(ctx, "/hold", ClaimRequest{incarnation}, nil)
}

// Forget implements plantainrail.Runtime.
func (l *Launcher) Forget(ctx context.Context, ref plantainrail.AttemptRef) error {
	return l.call(ctx, "/forget", ref, nil)
}

// call makes a call to the runtime and decodes the body of the response into reply. If
// reply is nil, the body is ignored. A response with a status other than 200 is an error.
func (l *Launcher) call(ctx context.Context, path string, body, reply any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request to the worker runtime")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.base+path, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "create request to the worker runtime")
	}
	response, err := l.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "call the worker runtime")
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read the worker runtime's response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("worker runtime returned status %s: %s", response.Status, bytes.TrimSpace(responseBody))
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(responseBody, reply), "decode the worker runtime's response")
}
