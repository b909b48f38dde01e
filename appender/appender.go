// Package appender is the adapter to the platform's log service: HTTP calls
// with CBOR bodies.
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

// bodyLimit bounds a reply of the log service, in bytes.
const bodyLimit = 64 << 20

// Appended is the log service's reply to an append.
type Appended struct {
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

// Append implements plantainrail.Log.
func (a *Appender) Append(ctx context.Context, records []plantainrail.Record) (plantainrail.Offset, error) {
	body, err := cbor.Marshal(records)
	if err != nil {
		return 0, errors.Wrap(err, "encode records")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.base+"/append", bytes.NewReader(body))
	if err != nil {
		return 0, errors.Wrap(err, "append")
	}
	// A body that cannot be rewound keeps the transport from repeating the call.
	request.GetBody = nil
	var reply Appended
	return reply.Offset, a.do(request, &reply)
}

// Read implements plantainrail.Log.
func (a *Appender) Read(ctx context.Context, from plantainrail.Offset, until time.Time) (plantainrail.Batch, error) {
	wait := max(time.Until(until), 0)
	url := fmt.Sprintf("%s/read?from=%d&wait_ms=%d", a.base, from, wait.Milliseconds())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return plantainrail.Batch{}, errors.Wrap(err, "read")
	}
	var batch plantainrail.Batch
	return batch, a.do(request, &batch)
}

func (a *Appender) do(request *http.Request, reply any) error {
	response, err := a.client.Do(request)
	if err != nil {
		return errors.Wrap(err, "log service")
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(response.Body, bodyLimit))
	if err != nil {
		return errors.Wrap(err, "log service")
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("log service: %s", response.Status)
	}
	return errors.Wrap(cbor.Unmarshal(raw, reply), "log service")
}
