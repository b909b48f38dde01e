package linker

import (
	"context"
	"slices"

	"github.com/plantainrail/plantainrail"
)

const (
	// PartBytes bounds the encoded size of a part in bytes, unless a single element is larger. A link of 10 Mbit/s
	// carries it in 0.1 s.
	PartBytes = 128 << 10
	// PartSlots is the number of sessions of one entry that send a part at the same time. Together their parts take a
	// link of 10 Mbit/s for 0.4 s, by which heartbeats and renewals of leases are delayed at most.
	PartSlots = 4
	// maxWholeListBytes is the size in bytes up to which a complete list is sent in one message to an agent of an
	// earlier build. A link of 10 Mbit/s carries it in 1.3 s, which is within the silence timeout.
	maxWholeListBytes = 3 << 19
	// orderBytes bounds the encoded size of a RunOrder in bytes without its strings, and refBytes that of a RunRef,
	// RunEnd or RunStatus without them.
	orderBytes = 160
	refBytes   = 96
)

// OrderBytes returns an upper bound of the encoded size of an order in bytes.
func OrderBytes(o plantainrail.RunOrder) int {
	return orderBytes + len(o.Ref.Task.Job) + len(o.Spec) + len(o.Checkpoint) + len(o.Image)
}

// divide divides a list into parts of at most PartBytes, given an upper bound of the encoded size of each element.
// An element that is larger is a part of its own. Without elements there is one empty part.
func divide[E any](list []E, size func(E) int) [][]E {
	var parts [][]E
	first, total := 0, 0
	for i, e := range list {
		bytes := size(e)
		if i > first && total+bytes > PartBytes {
			parts, first, total = append(parts, list[first:i:i]), i, 0
		}
		total += bytes
	}
	return append(parts, list[first:])
}

// Parts divides orders into the messages for an agent, which must arrive in their order. Small orders are one
// message. AcceptsParts tells whether the agent has set WorkReport.AcceptsParts. If not, a complete list is sent in
// one message; above maxWholeListBytes it only names the runs, which the agent then adopts if its worker runs them
// and refuses otherwise.
func (o WorkOrders) Parts(acceptsParts bool) []WorkOrders {
	total := 0
	for _, order := range o.Starts {
		total += OrderBytes(order)
	}
	starts := [][]plantainrail.RunOrder{o.Starts}
	if !o.Complete || acceptsParts {
		starts = divide(o.Starts, OrderBytes)
	} else if total > maxWholeListBytes {
		starts[0] = adoptions(o.Starts)
	}
	var out []WorkOrders
	part := WorkOrders{Epoch: o.Epoch, Incarnation: o.Incarnation}
	last := len(starts) - 1
	for _, list := range starts[:last] {
		p := part
		if p.Starts, p.StartLimit = list, o.StartLimit; o.Complete {
			p.Starts, p.StartLimit, p.Listed = nil, nil, list
		}
		out = append(out, p)
	}
	stops := divide(o.Stops, func(ref plantainrail.RunRef) int { return refBytes + len(ref.Task.Job) })
	o.Starts, o.Stops = starts[last], stops[0]
	if last > 0 && len(o.Stops) > 0 {
		stops = append([][]plantainrail.RunRef{nil}, stops...)
		o.Stops = nil
	}
	if len(stops) == 1 {
		return append(out, o)
	}
	// Whatever else the orders hold takes effect after all parts.
	final := part
	final.AckedThrough, final.Renewed, final.DepartureAcked = o.AckedThrough, o.Renewed, o.DepartureAcked
	o.AckedThrough, o.Renewed, o.DepartureAcked = 0, 0, false
	out = append(out, o)
	for _, list := range stops[1 : len(stops)-1] {
		p := part
		p.Stops = list
		out = append(out, p)
	}
	final.Stops = stops[len(stops)-1]
	return append(out, final)
}

// adoptions returns orders that name the same runs without what only a start needs.
func adoptions(orders []plantainrail.RunOrder) []plantainrail.RunOrder {
	out := slices.Clone(orders)
	for i := range out {
		out[i].Spec, out[i].Checkpoint, out[i].Adopt = "", "", true
	}
	return out
}

// Parts divides a report into the messages for the owner, which must arrive in their order. A small report is one
// message. The first part holds everything but the rest of the runs and ends, so that a renewal of the lease does not
// wait for them.
func (r WorkReport) Parts() []WorkReport {
	running := divide(r.Running, func(s plantainrail.RunStatus) int { return refBytes + len(s.Ref.Task.Job) + len(s.Checkpoint) })
	ended := divide(r.Ended, func(e plantainrail.RunEnd) int {
		return refBytes + len(e.Ref.Task.Job) + len(e.Outcome) + len(e.Checkpoint)
	})
	part := WorkReport{VM: r.VM, Epoch: r.Epoch, AcceptsParts: r.AcceptsParts}
	r.Running, r.Ended = running[0], ended[0]
	out := []WorkReport{r}
	for _, list := range running[1:] {
		p := part
		p.Running = list
		out = append(out, p)
	}
	for _, list := range ended[1:] {
		p := part
		p.Ended = list
		out = append(out, p)
	}
	return out
}

// ShareParts bounds the number of sessions that send a part at the same time: each holds one of the channel's slots
// meanwhile. Whenever no more parts wait, sent is called, which must not block. ShareParts must be called before
// SendInOrder.
func (s *Session) ShareParts(slots chan struct{}, sent func()) {
	s.partSlots, s.partsSent = slots, sent
}

// SendingParts reports whether frames of SendInOrder wait or the peer has not handled the last one yet.
func (s *Session) SendingParts() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sendingParts
}

// SendInOrder queues frames and does not block. The peer gets them in the order of the calls. A single frame is sent
// as Send does, unless earlier ones are under way. Otherwise each frame is a message of its own: it is followed by a
// ping, and the next one is written only once the peer has answered that, so that it has handled the frame. Frames of
// Send pass those that wait. If the session has ended, or its queue is full, which ends it, SendInOrder returns
// ErrClosed.
func (s *Session) SendInOrder(frames ...Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(frames) == 1 && !s.sendingParts {
		return s.enqueue(frames[0])
	}
	if s.state == StateClosed {
		return ErrClosed
	}
	s.parts = append(s.parts, frames...)
	s.unsent += len(frames)
	if len(s.parts) > maxQueuedFrames {
		go s.end("fail")
		return ErrClosed
	}
	if !s.sendingParts {
		s.sendingParts = true
		go s.sendParts()
	}
	return nil
}

// sendParts sends the frames of SendInOrder one after the other, until none is left or the session has ended.
func (s *Session) sendParts() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-s.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	for s.sendPart(ctx) {
	}
}

// sendPart sends the next frame of SendInOrder and waits until the peer has handled it. It returns false if there is
// none, or the session has ended.
func (s *Session) sendPart(ctx context.Context) bool {
	s.mu.Lock()
	waiting := len(s.parts) > 0
	s.sendingParts = waiting
	s.mu.Unlock()
	if !waiting {
		if s.partsSent != nil {
			s.partsSent()
		}
		return false
	}
	if s.partSlots != nil {
		select {
		case s.partSlots <- struct{}{}:
			defer func() { <-s.partSlots }()
		case <-ctx.Done():
			return false
		}
	}
	s.mu.Lock()
	s.part = &s.parts[0]
	s.parts = s.parts[1:]
	s.mu.Unlock()
	s.wakeWriter()
	select {
	case <-s.partWritten:
	case <-ctx.Done():
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, SessionTimeout)
	defer cancel()
	if err := s.connection.Ping(ctx); err != nil {
		s.end("fail")
		return false
	}
	return true
}
