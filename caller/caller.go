// Package caller is a client for the operator API of an entry, which package receiver
// serves. The commands, the benchmarks and the tests use it.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/receiver"
)

const (
	// callTimeout bounds one call, from connecting to the end of the response.
	callTimeout = 15 * time.Second
	// maxResponseBytes bounds the body of a response. A longer one is cut off, so that
	// decoding it fails.
	maxResponseBytes = 64 << 20
)

// Client is a client of one entry.
type Client struct {
	baseURL    string
	token      string
	httpClient *http.Client
}

// APIError is an error that an entry returned.
type APIError struct {
	receiver.ErrorResponse
}

// Error returns the message and the suggested action in one line.
func (e *APIError) Error() string {
	return e.Message + "; " + e.Action
}

// New returns a Client for the entry at an address or base URL; an address without
// a scheme is called by http. The Client sends the token as a bearer token unless
// it is empty. A nil client means one with a timeout of 15 s.
func New(entry, token string, client *http.Client) *Client {
	if !strings.Contains(entry, "://") {
		entry = "http://" + entry
	}
	if client == nil {
		client = &http.Client{Timeout: callTimeout}
	}
	return &Client{entry, token, client}
}

// call sends the body as JSON, unless it is nil, and decodes the response into
// reply. It returns an *APIError if the entry responds with an error. After any
// other error the call may or may not have taken effect.
func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return errors.Wrap(err, "encode request body")
		}
		reader = bytes.NewReader(raw)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	// Without GetBody the HTTP client cannot send the body a second time, in a retry
	// or after a redirect.
	request.GetBody = nil
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "cannot reach entry %s; check --entry", c.baseURL)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode >= http.StatusBadRequest {
		var failure APIError
		// A proxy between the client and the entry may respond without a result code.
		if json.Unmarshal(raw, &failure) != nil || failure.Code == 0 {
			return errors.Errorf("entry %s: %s", c.baseURL, response.Status)
		}
		return &failure
	}
	return errors.Wrap(json.Unmarshal(raw, reply), "decode response")
}

// get calls the API without a body and returns the decoded reply.
func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	// Go does not specify whether the return statement evaluates out before or after the
	// call. The standard compiler makes the call first, so out holds the decoded reply.
	return out, c.call(ctx, http.MethodGet, path, nil, &out)
}

// post calls the API with a body and returns the decoded reply.
func post[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	var out T
	// Go does not specify whether the return statement evaluates out before or after the
	// call. The standard compiler makes the call first, so out holds the decoded reply.
	return out, c.call(ctx, http.MethodPost, path, body, &out)
}

// Table returns the current table.
func (c *Client) Table(ctx context.Context) (receiver.TableReply, error) {
	return get[receiver.TableReply](ctx, c, "/-/table")
}

// History returns the retained revisions of the table, oldest first.
func (c *Client) History(ctx context.Context) ([]receiver.TableReply, error) {
	return get[[]receiver.TableReply](ctx, c, "/-/table/history")
}

// Publish publishes a new revision of the table. Repeating it with the same ID
// publishes no second revision.
func (c *Client) Publish(ctx context.Context, p receiver.PublishRequest) (receiver.TableReply, error) {
	return post[receiver.TableReply](ctx, c, "/-/table", p)
}

// Targets lists the targets that the entry knows.
func (c *Client) Targets(ctx context.Context) ([]receiver.TargetReply, error) {
	return get[[]receiver.TargetReply](ctx, c, "/-/targets")
}

// Leave makes a target leave: it gets no new work and finishes what it is running.
func (c *Client) Leave(ctx context.Context, l receiver.LeaveRequest) (receiver.LeaveReply, error) {
	return post[receiver.LeaveReply](ctx, c, "/-/targets/leave", l)
}

// Entries lists the registered entries.
func (c *Client) Entries(ctx context.Context) ([]receiver.EntryReply, error) {
	return get[[]receiver.EntryReply](ctx, c, "/-/entries")
}

// Request returns the trace of a request that this entry handled recently.
func (c *Client) Request(ctx context.Context, id string) (receiver.RequestTrace, error) {
	return get[receiver.RequestTrace](ctx, c, "/-/requests/"+url.PathEscape(id))
}

// Zones lists the availability zones.
func (c *Client) Zones(ctx context.Context) ([]receiver.ZoneReply, error) {
	return get[[]receiver.ZoneReply](ctx, c, "/-/zones")
}

// SetZone takes an availability zone out of service or brings it back.
func (c *Client) SetZone(ctx context.Context, z receiver.ZoneChange) (receiver.ZoneReply, error) {
	return post[receiver.ZoneReply](ctx, c, "/-/zones", z)
}

// Submit submits a job. Repeating it with the same ID submits no second job.
func (c *Client) Submit(ctx context.Context, j receiver.JobSubmission) (receiver.JobReply, error) {
	return post[receiver.JobReply](ctx, c, "/-/jobs", j)
}

// Jobs lists the jobs without their tasks, the oldest first.
func (c *Client) Jobs(ctx context.Context) ([]receiver.JobReply, error) {
	return get[[]receiver.JobReply](ctx, c, "/-/jobs")
}

// Job returns one job with its tasks.
func (c *Client) Job(ctx context.Context, id string) (receiver.JobReply, error) {
	return get[receiver.JobReply](ctx, c, "/-/jobs/"+url.PathEscape(id))
}

// Cancel cancels the unfinished jobs that match the record and returns the record. It
// returns an error with CodeNotFound if none matches.
func (c *Client) Cancel(ctx context.Context, match plantainrail.CancelRecord) (plantainrail.CancelRecord, error) {
	return post[plantainrail.CancelRecord](ctx, c, "/-/jobs/cancel", match)
}

// Burn returns the error budget burn of each kind, as this entry measured it.
func (c *Client) Burn(ctx context.Context) ([]receiver.BurnRateReport, error) {
	return get[[]receiver.BurnRateReport](ctx, c, "/-/burn")
}
