package main

import (
	"io"
	"net"
	"sync"
)

// link is a path that forwards connections. While it is cut, it is silent: nothing passes in either
// direction, and new connections get no answer. What is held up passes once the cut has ended, unless
// its sender has closed the connection.
type link struct {
	target string
	// rewrite, if set, changes what comes from the target. It keeps the length.
	rewrite func([]byte) []byte

	mu    sync.Mutex
	cut   bool
	ended chan struct{}
	conns map[net.Conn]bool
}

func newLink(address, target string) (*link, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{target: target, ended: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(l.ended)
	go func() {
		for {
			from, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(from)
		}
	}()
	return l, nil
}

// setCut begins or ends a cut.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	if l.cut = cut; cut {
		l.ended = make(chan struct{})
	} else {
		close(l.ended)
	}
}

// reset breaks all open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// pass waits until the link is not cut.
func (l *link) pass() {
	l.mu.Lock()
	ended := l.ended
	l.mu.Unlock()
	<-ended
}

func (l *link) serve(from net.Conn) {
	l.pass()
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		if t, ok := from.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = from.Close()
		return
	}
	l.mu.Lock()
	l.conns[from], l.conns[to] = true, true
	l.mu.Unlock()
	var group sync.WaitGroup
	for _, pair := range [][2]net.Conn{{from, to}, {to, from}} {
		group.Add(1)
		go func() {
			defer group.Done()
			l.copy(pair[1], pair[0], pair[0] == to)
		}()
	}
	group.Wait()
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
}

// copy forwards one direction, and closes both ends with it.
func (l *link) copy(to io.WriteCloser, from io.ReadCloser, fromTarget bool) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		l.pass()
		if n > 0 {
			data := buffer[:n]
			if fromTarget && l.rewrite != nil {
				data = l.rewrite(data)
			}
			if _, failed := to.Write(data); failed != nil {
				err = failed
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
