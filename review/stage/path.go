package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
)

const (
	// agentPathPort and agentStorePort are the first of the ports for the paths of single agents.
	agentPathPort  = 7800
	agentStorePort = 9000
)

// ownPaths gives the agent paths of its own to the entries and to the store, so that it can be cut off alone. The
// store and the entries tell it the entries' addresses with the ports of these paths in place of the real ones.
func (f *fleet) ownPaths(p *process) error {
	index := len(f.agents)
	actual, own := fmt.Appendf(nil, ":%d", peerPort), fmt.Appendf(nil, ":%d", agentPathPort+index)
	rewrite := func(data []byte) []byte { return bytes.ReplaceAll(data, actual, own) }
	for _, e := range f.entries {
		l, err := newLink(fmt.Sprintf("%s%s", e.ip, own), fmt.Sprintf("%s%s", e.ip, actual))
		if err != nil {
			return err
		}
		l.rewrite = rewrite
		p.paths = append(p.paths, l)
	}
	address := f.address(1, agentStorePort+index)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, &rewritingStore{f.store, rewrite}) }()
	p.storeAddress = address
	return nil
}

// cut begins or ends a cut of an agent from the entries and the store.
func (p *process) cut(cut bool) {
	p.link.setCut(cut)
	for _, l := range p.paths {
		l.setCut(cut)
	}
}

// rewritingStore answers like the store, with changed addresses.
type rewritingStore struct {
	store   http.Handler
	rewrite func([]byte) []byte
}

// ServeHTTP implements http.Handler.
func (s *rewritingStore) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	answer := &bufferedAnswer{header: w.Header(), status: http.StatusOK}
	s.store.ServeHTTP(answer, req)
	body := answer.body.Bytes()
	if strings.HasPrefix(req.URL.Path, "/log-newest") {
		body = s.rewriteItems(body)
	} else {
		body = s.rewrite(body)
	}
	w.WriteHeader(answer.status)
	_, _ = w.Write(body)
}

// rewriteItems changes the values of the newest records, which are in base64.
func (s *rewritingStore) rewriteItems(body []byte) []byte {
	var page map[string]any
	if json.Unmarshal(body, &page) != nil {
		return body
	}
	items, _ := page["items"].([]any)
	for _, item := range items {
		fields, _ := item.(map[string]any)
		text, _ := fields["value"].(string)
		if raw, err := base64.StdEncoding.DecodeString(text); err == nil {
			fields["value"] = base64.StdEncoding.EncodeToString(s.rewrite(raw))
		}
	}
	out, err := json.Marshal(page)
	if err != nil {
		return body
	}
	return out
}

// bufferedAnswer keeps an answer until it is complete.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *bufferedAnswer) Header() http.Header         { return a.header }
func (a *bufferedAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }
func (a *bufferedAnswer) WriteHeader(status int)      { a.status = status }
