package linker

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// earlierOrders, earlierReport and earlierFrame are what the build before lists in parts decodes.
type earlierOrders struct {
	Epoch          int64                          `cbor:"0,keyasint"`
	Incarnation    plantainrail.WorkerIncarnation `cbor:"1,keyasint"`
	Complete       bool                           `cbor:"2,keyasint,omitempty"`
	Starts         []plantainrail.RunOrder        `cbor:"3,keyasint,omitempty"`
	Stops          []plantainrail.RunRef          `cbor:"4,keyasint,omitempty"`
	AckedThrough   int64                          `cbor:"5,keyasint,omitempty"`
	Renewed        uint64                         `cbor:"6,keyasint,omitempty"`
	DepartureAcked bool                           `cbor:"7,keyasint,omitempty"`
	StartLimit     *StartLimit                    `cbor:"8,keyasint,omitempty"`
}

type earlierReport struct {
	Sequence     uint64                   `cbor:"0,keyasint,omitempty"`
	VM           plantainrail.VM          `cbor:"1,keyasint"`
	Running      []plantainrail.RunStatus `cbor:"2,keyasint,omitempty"`
	Ended        []plantainrail.RunEnd    `cbor:"3,keyasint,omitempty"`
	Refused      []RunRefusal             `cbor:"4,keyasint,omitempty"`
	Departed     bool                     `cbor:"5,keyasint,omitempty"`
	Measurements *Measurements            `cbor:"6,keyasint,omitempty"`
	LeaseLeftMS  *int64                   `cbor:"7,keyasint,omitempty"`
	Epoch        int64                    `cbor:"8,keyasint,omitempty"`
}

type earlierFrame struct {
	Work   *earlierReport `cbor:"30,keyasint,omitempty"`
	Orders *earlierOrders `cbor:"31,keyasint,omitempty"`
}

// toEarlier encodes a frame and decodes it as the earlier build does. It returns the encoded size too.
func toEarlier(t *testing.T, f Frame) (earlierFrame, int) {
	t.Helper()
	var buffer bytes.Buffer
	assert.NilError(t, Encode(&buffer, []Frame{f}))
	var out earlierFrame
	assert.NilError(t, cbor.Unmarshal(buffer.Bytes(), &out))
	return out, buffer.Len()
}

// manyOrders returns orders with the largest numbers and a spec of the given length.
func manyOrders(n, specBytes int) []plantainrail.RunOrder {
	const largest = 1<<63 - 1
	out := make([]plantainrail.RunOrder, n)
	for i := range out {
		out[i] = plantainrail.RunOrder{
			Ref:  plantainrail.RunRef{Task: plantainrail.TaskID{Job: "0123456789abcdef", Occurrence: largest, Step: largest, Index: i}, Run: largest},
			Spec: strings.Repeat("x", specBytes), Checkpoint: "0123456789abcdef", Filler: true, TailObjective: largest, Image: "image",
			Alone: true, Isolated: true, Reservation: plantainrail.Resources{Processors: largest, Memory: largest, Accelerators: largest},
		}
	}
	return out
}

// Guards against sessions that end with each try to send the list of a worker's runs, since it exceeds the limit of a
// message, and against agents that stop runs, or start them without their spec, since they see a part of the list or
// have been built before there were parts.
func TestOrdersArriveInParts(t *testing.T) {
	for _, c := range []struct {
		name                   string
		runs, specBytes, stops int
		complete, acceptsParts bool
		// messages is the number of messages, and adopted is set if they only name the runs.
		messages int
		adopted  bool
	}{
		{"few starts", 20, 4000, 3, false, true, 1, false},
		{"few starts, earlier build", 20, 4000, 3, false, false, 1, false},
		{"many starts", 2400, 4000, 3, false, true, 79, false},
		{"many starts, earlier build", 2400, 4000, 3, false, false, 79, false},
		{"many stops", 0, 0, 3000, false, true, 3, false},
		{"small list", 20, 4000, 3, true, true, 1, false},
		{"small list, earlier build", 20, 4000, 3, true, false, 1, false},
		{"list of 1 MB, earlier build", 240, 4000, 0, true, false, 1, false},
		{"large list", 2400, 4000, 3, true, true, 79, false},
		{"large list, earlier build", 2400, 4000, 0, true, false, 1, true},
		{"many small runs", 20_000, 3, 0, true, true, 31, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			orders := WorkOrders{Epoch: 7, Complete: c.complete, Starts: manyOrders(c.runs, c.specBytes), AckedThrough: 9, StartLimit: &StartLimit{Heard: 3}}
			for _, o := range manyOrders(c.stops, 0) {
				orders.Stops = append(orders.Stops, o.Ref)
			}
			parts := orders.Parts(c.acceptsParts)
			assert.Equal(t, len(parts), c.messages)
			named, stopped, complete, acked := 0, 0, 0, 0
			for i, part := range parts {
				earlier, size := toEarlier(t, Frame{Orders: &part})
				assert.Assert(t, size <= maxWholeListBytes && (size <= 2*PartBytes || !c.acceptsParts), "message %d has %d bytes", i, size)
				starts := append(part.Listed, earlier.Orders.Starts...)
				for _, o := range starts {
					assert.Equal(t, o.Ref.Task.Index, named, "runs must be named in their order")
					assert.Equal(t, o.Adopt, c.adopted, "a run without its spec must not be started")
					assert.Assert(t, c.adopted || len(o.Spec) == c.specBytes)
					named++
				}
				assert.Assert(t, len(earlier.Orders.Starts) == 0 || part.StartLimit != nil, "starts need their limit")
				stopped += len(earlier.Orders.Stops)
				if earlier.Orders.Complete {
					complete++
					assert.Equal(t, named, c.runs, "the list must be complete by then")
				}
				if earlier.Orders.AckedThrough > 0 {
					acked++
					assert.Equal(t, i, len(parts)-1, "ends must be acknowledged last")
				}
				assert.Assert(t, len(part.Listed) == 0 || c.complete && c.acceptsParts)
			}
			assert.Equal(t, named, c.runs)
			assert.Equal(t, stopped, c.stops)
			assert.Equal(t, complete == 1, c.complete)
			assert.Equal(t, acked, 1)
		})
	}
}

// Guards against sessions that end with each report of all runs, and against earlier owners that misread one in parts.
func TestReportsArriveInParts(t *testing.T) {
	for _, c := range []struct {
		runs, ends, checkpointBytes, messages int
	}{{0, 0, 0, 1}, {500, 10, 16, 1}, {16_000, 500, 16, 16}, {2400, 500, 20_000, 483}} {
		t.Run(fmt.Sprint(c.runs, " ", c.checkpointBytes), func(t *testing.T) {
			report := WorkReport{Sequence: 5, Epoch: 7, VM: plantainrail.VM{Pool: "pool"}}
			checkpoint := strings.Repeat("f", c.checkpointBytes)
			for i, o := range manyOrders(c.runs, 0) {
				report.Running = append(report.Running, plantainrail.RunStatus{Ref: o.Ref, Checkpoint: checkpoint})
				if i < c.ends {
					report.Ended = append(report.Ended, plantainrail.RunEnd{Number: int64(i + 1), Ref: o.Ref, Outcome: plantainrail.RunLeaseExpired, Checkpoint: checkpoint})
				}
			}
			parts := report.Parts()
			assert.Equal(t, len(parts), c.messages)
			running, ended := 0, 0
			for i, part := range parts {
				earlier, size := toEarlier(t, Frame{Work: &part})
				assert.Assert(t, size <= 2*PartBytes, "message %d has %d bytes", i, size)
				assert.Equal(t, earlier.Work.Sequence > 0, i == 0, "the first message asks for the renewal")
				assert.Equal(t, earlier.Work.Epoch, report.Epoch)
				assert.Equal(t, earlier.Work.VM.Pool, report.VM.Pool)
				running += len(earlier.Work.Running)
				for _, end := range earlier.Work.Ended {
					ended++
					assert.Equal(t, end.Number, int64(ended), "ends must arrive in ascending order")
				}
			}
			assert.Equal(t, running, c.runs)
			assert.Equal(t, ended, c.ends)
		})
	}
}

// pipeListener accepts the connections that are sent to it.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	connection, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return connection, nil
}
func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// slowReader handles frames slowly and records what arrives.
type slowReader struct {
	delay   time.Duration
	arrived []string
}

func (r *slowReader) Frame(_ *Session, f Frame) {
	if f.Orders != nil {
		time.Sleep(r.delay)
		r.arrived = append(r.arrived, fmt.Sprint("orders ", f.Orders.Epoch))
	}
	if f.Ack != nil {
		r.arrived = append(r.arrived, "renewal")
	}
}
func (r *slowReader) Opened(st *Stream, _ Frame) { st.Close() }

// withSessions runs a test with the two ends of a session in virtual time, of which the second has the handler.
func withSessions(t *testing.T, handler Handler, test func(t *testing.T, sender *Session)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		listener := make(pipeListener)
		senders := make(chan *Session)
		server := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			connection, err := websocket.Accept(w, req, nil)
			assert.NilError(t, err)
			sender := New(connection)
			senders <- sender
			_ = sender.Run(ctx, &slowReader{})
		})}
		go func() { _ = server.Serve(listener) }()
		transport := &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			listener <- server
			return client, nil
		}}
		connection, response, err := websocket.Dial(ctx, "ws://pipe/", &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}})
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusSwitchingProtocols)
		receiver := New(connection)
		receiver.KeepAlive()
		go func() { _ = receiver.Run(ctx, handler) }()
		test(t, <-senders)
		stop()
		close(listener)
		_ = server.Close()
		transport.CloseIdleConnections()
		time.Sleep(time.Minute)
	})
}

// Guards against leases that expire while a long list is on its way, and against orders that pass the list which they
// follow.
func TestRenewalsPassPartsThatWait(t *testing.T) {
	reader := &slowReader{delay: 200 * time.Millisecond}
	withSessions(t, reader, func(t *testing.T, sender *Session) {
		var sent atomic.Int64
		sender.ShareParts(make(chan struct{}, 1), func() { sent.Add(1) })
		frames := func(from, to int64) (out []Frame) {
			for epoch := from; epoch <= to; epoch++ {
				out = append(out, Frame{Orders: &WorkOrders{Epoch: epoch, Listed: manyOrders(30, 4000)}})
			}
			return out
		}
		assert.NilError(t, sender.SendInOrder(frames(1, 4)...))
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, sender.SendInOrder(frames(5, 5)...))
		assert.NilError(t, sender.Send(Frame{Ack: &Ack{}}))
		assert.Assert(t, !sender.Flushed() && sender.SendingParts() && sent.Load() == 0)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.Assert(t, sender.Flushed() && !sender.SendingParts() && sent.Load() == 1)
		assert.DeepEqual(t, reader.arrived, []string{"orders 1", "renewal", "orders 2", "orders 3", "orders 4", "orders 5"})
		// With nothing under way, a frame is sent at once.
		assert.NilError(t, sender.SendInOrder(frames(6, 6)...))
		synctest.Wait()
		assert.Assert(t, sender.Flushed())
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, reader.arrived[len(reader.arrived)-1], "orders 6")
	})
}

// Guards against one session that holds the slots of all others after its end, and against frames that are sent on
// a session that has ended.
func TestEndedSessionHoldsNoSlot(t *testing.T) {
	reader := &slowReader{delay: time.Second}
	withSessions(t, reader, func(t *testing.T, sender *Session) {
		slots := make(chan struct{}, 1)
		sender.ShareParts(slots, nil)
		assert.NilError(t, sender.SendInOrder(Frame{Orders: &WorkOrders{Epoch: 1}}, Frame{Orders: &WorkOrders{Epoch: 2}}))
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, len(slots), 1)
		sender.Close()
		synctest.Wait()
		assert.Equal(t, len(slots), 0)
		assert.ErrorIs(t, sender.SendInOrder(Frame{}), ErrClosed)
		assert.ErrorIs(t, sender.SendInOrder(Frame{}, Frame{}), ErrClosed)
	})
}
