package inner

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"github.com/hashicorp/yamux"
)

// maxQueuedBytes limits the memory that one lane uses for a peer that reads slowly. While
// more than this is queued, sending on the lane fails with the error Unreachable.
const maxQueuedBytes = 64 << 20

// readBufferBytes is the size of a lane's read buffer. It is small because every
// connection has two, and yamux itself reads from the socket in larger chunks.
const readBufferBytes = 4 << 10

// maxSpareBytes is the maximum size of the buffer that a lane keeps for reuse after writing
// it. Larger buffers are left to the garbage collector.
const maxSpareBytes = 64 << 10

// lane is one ordered stream of frames of a connection. Frames are appended to queued and
// written by the lane's writer goroutine, or by a sender if nothing is being written.
type lane struct {
	stream     net.Conn
	mu         sync.Mutex
	wakeWriter *sync.Cond
	queued     []byte // encoded frames that wait to be written
	spare      []byte // buffer of an earlier write, reused for the queue at the next write
	writing    bool   // a goroutine is writing to the stream
	closed     bool
	sendState  *sendState
}

// sendState is what all lanes of a mesh share for sending.
type sendState struct {
	activeReaders atomic.Int32 // reader goroutines that are handling a frame
	sentBytes     atomic.Int64 // total size of all sent frames, including their headers
	// queueOnly leaves all writing to the writer goroutines, so that senders do not block
	// while a peer does not read.
	queueOnly bool
}

func newLane(stream net.Conn, state *sendState) *lane {
	l := &lane{stream: stream, sendState: state}
	l.wakeWriter = sync.NewCond(&l.mu)
	return l
}

// send queues f. The whole queue is written in one write. If no write is in progress and the
// queue is small, the sender writes it itself, which saves waking the writer goroutine.
//
// A reader goroutine must not write: if the readers of two instances were blocked in writes to
// each other, neither would read, and both would wait forever. Since send cannot tell whether
// a reader has called it, it leaves all writes to the writer goroutines while any reader of
// this instance is handling a frame.
func (l *lane) send(f *Frame) error {
	return l.enqueue(func(queued []byte) ([]byte, error) { return AppendFrame(queued, f) })
}

// sendRaw is like send for a frame that is already encoded.
func (l *lane) sendRaw(frame []byte) error {
	return l.enqueue(func(queued []byte) ([]byte, error) { return append(queued, frame...), nil })
}

// enqueue calls appendTo to append a frame to the queue, and either writes the queue or
// wakes the writer to do so.
func (l *lane) enqueue(appendTo func(queued []byte) ([]byte, error)) error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return failure.Unreachable.New("the connection is closed")
	}
	if len(l.queued) > maxQueuedBytes {
		l.mu.Unlock()
		return failure.Unreachable.New("the peer reads too slowly: %d bytes are queued", len(l.queued))
	}
	queued, err := appendTo(l.queued)
	if err != nil {
		l.mu.Unlock()
		return err
	}
	l.sendState.sentBytes.Add(int64(len(queued) - len(l.queued)))
	l.queued = queued
	if l.sendState.queueOnly || l.writing || len(queued) > maxDirectWriteBytes || l.sendState.activeReaders.Load() > 0 {
		l.wakeWriter.Signal()
		l.mu.Unlock()
		return nil
	}
	l.writeQueued()
	return nil
}

// maxDirectWriteBytes is the maximum size of a queue that a sender writes itself. A larger
// queue is left to the writer goroutine.
const maxDirectWriteBytes = 16 << 10

// writeQueued writes the queued frames. l.mu must be held and is unlocked on return.
func (l *lane) writeQueued() {
	batch := l.queued
	l.queued = l.spare[:0]
	l.spare = nil
	l.writing = true
	l.mu.Unlock()
	_, err := l.stream.Write(batch)
	l.mu.Lock()
	l.writing = false
	if cap(batch) <= maxSpareBytes {
		l.spare = batch
	}
	if len(l.queued) > 0 {
		l.wakeWriter.Signal()
	}
	l.mu.Unlock()
	if err != nil {
		l.close()
	}
}

// writeLoop writes the frames that senders did not write themselves, until the lane is closed.
func (l *lane) writeLoop() {
	for {
		l.mu.Lock()
		for (len(l.queued) == 0 || l.writing) && !l.closed {
			l.wakeWriter.Wait()
		}
		if l.closed {
			l.mu.Unlock()
			return
		}
		l.writeQueued()
	}
}

func (l *lane) close() {
	l.mu.Lock()
	l.closed = true
	l.wakeWriter.Signal()
	l.mu.Unlock()
	_ = l.stream.Close()
}

// The lanes of a connection. Frames on the same lane arrive in the order in which they were
// sent; frames on different lanes may overtake each other.
const (
	laneControl = iota // heartbeats and slot frames, which are small and must not wait behind payloads
	laneBulk           // all other frames, such as submissions, appends to permit logs, and answers
	laneCount
)

func laneOf(f *Frame) int {
	switch f.GetBody().(type) {
	case *Frame_Presence, *Frame_Heartbeat, *Frame_SlotRequest, *Frame_SlotGrant, *Frame_SlotRelease, *Frame_SlotWithdraw, *Frame_SlotSync:
		return laneControl
	default:
		return laneBulk
	}
}

// connection implements Connection on a yamux session, with one stream for each lane.
type connection struct {
	session      *yamux.Session
	lanes        [laneCount]*lane
	sendState    *sendState
	id           uint64 // unique within this process
	peer         fate.Incarnation
	openedHere   bool         // opened by this instance, not by the peer
	lastReceived atomic.Int64 // when the last frame arrived, as nanoseconds of monotonic()
	lastCall     atomic.Int64 // when CallAsync last used the connection, as nanoseconds of monotonic()

	mu         sync.Mutex
	pending    map[uint64]func(*Frame) // reply callbacks by call id, called with nil if the connection breaks
	lastCallID uint64
	closed     bool
}

var connectionCount atomic.Uint64 // number of connections since the process started

func newConnection(session *yamux.Session, streams [laneCount]net.Conn, hello *Hello, state *sendState) *connection {
	c := &connection{id: connectionCount.Add(1), session: session, sendState: state, peer: fate.Incarnation(hello.GetIncarnation()), pending: map[uint64]func(*Frame){}}
	for i, s := range streams {
		c.lanes[i] = newLane(s, state)
	}
	return c
}

var processStart = clock.Now()

// monotonic returns the time since the process started, on the monotonic clock.
func monotonic() time.Duration { return clock.Since(processStart) }

func (c *connection) markReceived()                 { c.lastReceived.Store(int64(monotonic())) }
func (c *connection) lastReceivedAt() time.Duration { return time.Duration(c.lastReceived.Load()) }
func (c *connection) markCalled()                   { c.lastCall.Store(int64(monotonic())) }
func (c *connection) lastCallAt() time.Duration     { return time.Duration(c.lastCall.Load()) }

// ID implements Connection.
func (c *connection) ID() uint64 { return c.id }

// Send implements Connection.
func (c *connection) Send(f *Frame) error { return c.send(f) }

func (c *connection) send(f *Frame) error { return c.lanes[laneOf(f)].send(f) }

// readLanes starts the writers of all lanes and calls handle for each frame that is not a
// reply. It returns once the connection is closed.
func (c *connection) readLanes(handle func(*Frame)) {
	var lanes sync.WaitGroup
	for _, l := range c.lanes {
		go l.writeLoop()
		lanes.Go(func() { c.readLane(l, handle) })
	}
	lanes.Wait()
}

func (c *connection) readLane(l *lane, handle func(*Frame)) {
	defer c.close()
	r := bufio.NewReaderSize(l.stream, readBufferBytes)
	for {
		f, err := ReadFrame(r)
		if err != nil {
			return
		}
		c.markReceived()
		c.sendState.activeReaders.Add(1)
		if f.GetReply() {
			c.handleReply(f)
		} else {
			handle(f)
		}
		c.sendState.activeReaders.Add(-1)
	}
}

// addCall registers the callback for the reply of a call and returns the id of the call.
func (c *connection) addCall(done func(*Frame)) (uint64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, failure.Unreachable.New("the connection to %s is closed", c.peer)
	}
	c.lastCallID++
	c.pending[c.lastCallID] = done
	return c.lastCallID, nil
}

// call sends the request f. If that succeeds, done is later called with the reply, or with nil
// if the connection breaks before the reply arrives.
func (c *connection) call(f *Frame, done func(*Frame)) error {
	id, err := c.addCall(done)
	if err != nil {
		return err
	}
	f.Id = id
	if err := c.send(f); err != nil {
		c.removeCall(id)
		return err
	}
	return nil
}

func (c *connection) removeCall(id uint64) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
}

func (c *connection) handleReply(f *Frame) {
	c.mu.Lock()
	done := c.pending[f.GetId()]
	delete(c.pending, f.GetId())
	c.mu.Unlock()
	if done != nil {
		done(f)
	}
}

func (c *connection) close() {
	c.mu.Lock()
	pending := c.pending
	c.pending = map[uint64]func(*Frame){}
	first := !c.closed
	c.closed = true
	c.mu.Unlock()
	if !first {
		return
	}
	for _, l := range c.lanes {
		l.close()
	}
	_ = c.session.Close()
	for _, done := range pending {
		done(nil)
	}
}

// KindOf returns the name of the kind of frame that f is, as passed to Config.CountSent.
func KindOf(f *Frame) string {
	switch f.GetBody().(type) {
	case *Frame_Heartbeat:
		return "heartbeat"
	case *Frame_OpenLog:
		return "open_log"
	case *Frame_ReleaseLog:
		return "release_log"
	case *Frame_Append:
		return "append"
	case *Frame_AppendReply:
		return "append_reply"
	case *Frame_Submit:
		return "forward"
	case *Frame_Answer:
		return "forward_reply"
	case *Frame_Cancel:
		return "cancel"
	case *Frame_SlotRequest:
		return "slot_request"
	case *Frame_SlotGrant:
		return "slot_grant"
	case *Frame_SlotRelease:
		return "slot_release"
	case *Frame_SlotWithdraw:
		return "slot_withdraw"
	case *Frame_SlotSync:
		return "slot_sync"
	case *Frame_Presence:
		return "presence"
	case *Frame_Offer:
		return "offer"
	case *Frame_OfferReturned:
		return "offer_returned"
	case *Frame_OfferEnded:
		return "offer_ended"
	case *Frame_OfferProgress:
		return "offer_progress"
	case *Frame_OfferWithdrawn:
		return "offer_withdrawn"
	case *Frame_ConfigRequest, *Frame_ConfigReply:
		return "config"
	case *Frame_UpstreamsRequest, *Frame_UpstreamsReply:
		return "upstreams"
	case *Frame_Renewal:
		return "renewal"
	case *Frame_CancelJob:
		return "cancel_job"
	case *Frame_CancelJobReply:
		return "cancel_job_reply"
	case *Frame_Learn, *Frame_Known:
		return "learn"
	case *Frame_Problem:
		return "problem"
	default:
		return "other"
	}
}
