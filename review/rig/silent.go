package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
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

// silentStore checks that lasting tasks come back when an entry is lost for good after the
// open connections to the store have gone silent.
func silentStore(f *fleet, trouble string) ([]string, error) {
	storeAddress, err := f.serve(f.store)
	if err != nil {
		return nil, err
	}
	proxy, proxyAddress, err := f.newSilentProxy(storeAddress)
	if err != nil {
		return nil, err
	}
	entry, err := f.startSmall(proxyAddress, 4)
	if err != nil {
		return nil, err
	}
	id, err := f.submit(entry, job{Spec: "", Steps: []step{{Count: 4, CPU: 1000, Memory: 100, LongRunning: true}}})
	if err != nil {
		return nil, err
	}
	if err := f.awaitState(entry, id, "in_progress", 5*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	owner, err := f.owner()
	if err != nil {
		return nil, err
	}
	f.note("%s owns the jobs", owner.name)
	if trouble != troubleNone {
		f.note("%d connections to the store go silent", proxy.silence(func(string) bool { return true }))
		time.Sleep(4 * time.Second)
		owner.kill()
	}
	return f.watchLasting(id, 40*time.Second), nil
}

// watchLasting notes when no task of a lasting job runs, and returns the spans of this that
// are longer than the rule allows.
func (f *fleet) watchLasting(id string, duration time.Duration) []string {
	var broken []string
	var idleSince time.Time
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		running := 0
		for _, s := range f.runs(id) {
			if s.End.IsZero() {
				running++
			}
		}
		switch {
		case running == 0 && idleSince.IsZero():
			idleSince = time.Now()
			f.note("no task of job %s runs", id)
		case running > 0 && !idleSince.IsZero():
			idle := time.Since(idleSince)
			f.note("%d tasks of job %s run again after %.1f s", running, id, idle.Seconds())
			if idle > lastingIdleTime {
				broken = append(broken, fmt.Sprintf("job %s had nothing running for %.1f s", id, idle.Seconds()))
			}
			idleSince = time.Time{}
		}
	}
	if !idleSince.IsZero() && time.Since(idleSince) > lastingIdleTime {
		broken = append(broken, fmt.Sprintf("job %s had nothing running for the last %.1f s", id, time.Since(idleSince).Seconds()))
	}
	f.noteRuns()
	return broken
}

// lastingIdleTime is how long a lasting job may have nothing running: 6 s after its last run and
// then 3 s.
const lastingIdleTime = 9 * time.Second
