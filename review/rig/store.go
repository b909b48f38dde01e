package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"time"

	"github.com/plantainrail/plantainrail/standin/keeper"
)

const (
	// answerTime is how long the platform's store takes for an answer.
	answerTime = 4 * time.Millisecond
	// recordBytes and callBytes are the store's limits of a record and of the records of a
	// call.
	recordBytes = 262144
	callBytes   = 2097152
)

// store is the project's stand-in for the platform's store, with the store's answer time and
// its limits of an append.
type store struct {
	keeper *keeper.Store
}

func newStore() *store {
	s := &store{keeper: keeper.New()}
	s.keeper.Put("keyed.op", "config", []byte(operatorConfig))
	return s
}

func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	time.Sleep(answerTime)
	if req.URL.Path == "/log-append" {
		raw, err := io.ReadAll(req.Body)
		if err != nil || !withinLimits(raw) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		req.Body = io.NopCloser(bytes.NewReader(raw))
	}
	s.keeper.ServeHTTP(w, req)
}

// withinLimits reports whether the store accepts the records of an append.
func withinLimits(raw []byte) bool {
	const lengthBytes = 4
	total := 0
	for len(raw) > 0 {
		if len(raw) < lengthBytes {
			return false
		}
		size := int(binary.BigEndian.Uint32(raw))
		raw = raw[lengthBytes:]
		if size > len(raw) || size > recordBytes {
			return false
		}
		total += size
		raw = raw[size:]
	}
	return total <= callBytes
}
