package main

import (
	"io"
	"net"
	"sync"
)

// maxRequestLine bounds what is kept of a request.
const maxRequestLine = 300

// silentProxy passes connections on to a server. silence makes its open connections go silent,
// while new ones work.
type silentProxy struct {
	target string

	mu   sync.Mutex
	open map[*silentConnection]bool
}

// silentConnection is a connection of a silentProxy.
type silentConnection struct {
	mu     sync.Mutex
	silent bool
	// request is the beginning of the request that is being answered, if any.
	request string
}

// note records a request, or that one is answered.
func (c *silentConnection) note(isRequest bool, raw []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request = ""
	if isRequest {
		c.request = string(raw)
	}
}

func (c *silentConnection) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

// newSilentProxy starts a proxy for the server at the address.
func (f *fleet) newSilentProxy(target string) (*silentProxy, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	p := &silentProxy{target: target, open: map[*silentConnection]bool{}}
	go func() {
		for {
			connection, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(connection)
		}
	}()
	go func() {
		<-f.ctx.Done()
		_ = l.Close()
	}()
	return p, l.Addr().String(), nil
}

// silence makes the open connections go silent whose newest request fits, and returns their
// number.
func (p *silentProxy) silence(fits func(request string) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for c := range p.open {
		c.mu.Lock()
		if fits(c.request) {
			c.silent = true
			n++
		}
		c.mu.Unlock()
	}
	return n
}

func (p *silentProxy) serve(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	c := &silentConnection{}
	p.mu.Lock()
	p.open[c] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.open, c)
	}()
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn, isRequest bool) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			if c.isSilent() {
				// Whatever the ends send from now on is lost, and they are not told.
				_, _ = io.Copy(io.Discard, from)
				return
			}
			if n > 0 {
				c.note(isRequest, buffer[:min(n, maxRequestLine)])
			}
			if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
				return
			}
		}
	}
	go forward(server, client, true)
	forward(client, server, false)
	if c.isSilent() {
		// The connection stays open at the client until the client gives it up.
		<-done
	}
}
