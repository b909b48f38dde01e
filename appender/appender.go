// Package appender is the adapter to the platform's log service. It translates the
// appends and reads of package follower to HTTP calls with CBOR bodies and does not
// retry them.
package appender

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

// maxResponseBytes bounds the body of a response of the log service.
const maxResponseBytes = 64 << 20

// AppendReply is the CBOR body of the response to an append.
type AppendReply struct {
	// Offset is the offset of the first appended record.
	Offset plantainrail.Offset `cbor:"0,keyasint"`
}

// Appender implements plantainrail.Log.
type Appender struct {
	base   string
	client *http.Client
}

// New returns an Appender for the log service at the base URL.
func New(base string, client *http.Client) *Appender {
	return &Appender{base, client}
}

// Append implements plantainrail.Log. After an error, the records may or may not have
// been appended.
func (a *Appender) Append(ctx context.Context, records []plantainrail.Record) (plantainrail.Offset, error) {
	body, err := cbor.Marshal(records)
	if err != nil {
		return 0, errors.Wrap(err, "encode records")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.base+"/append", bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "create append request")
	}
	// Without GetBody the transport cannot resend the request by itself after a
	// connection failure.
	request.GetBody = nil
	var reply AppendReply
	// Go does not specify whether reply is read before or after the call of do. The gc
	// compiler makes the call first.
	return reply.Offset, a.do(request, &reply)
}

// Read implements plantainrail.Log. The log service waits for records until the given
// time; the call itself is bounded only by the context.
func (a *Appender) Read(ctx context.Context, from plantainrail.Offset, until time.Time) (plantainrail.Batch, error) {
	wait := max(time.Until(until), 0)
	url := fmt.Sprintf("%s/read?from=%d&wait_ms=%d", a.base, from, wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return plantainrail.Batch{}, errors.Wrap(err, "create read request")
	}
	var batch plantainrail.Batch
	// Go does not specify whether batch is read before or after the call of do. The gc
	// compiler makes the call first.
	return batch, a.do(request, &batch)
}

// do sends the request and decodes the body of the response into reply. A response with
// a status other than 200 is an error.
func (a *Appender) do(request *http.Request, reply any) error {
	response, err := a.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "call the log service")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read the log service's response")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("log service returned status %s", response.Status)
	}
	return errors.Wrap(cbor.Unmarshal(raw, reply), "decode the log service's response")
}
