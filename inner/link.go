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

// maxQueued bounds the bytes that wait on one lane for a slow peer.
const maxQueued = 64 << 20

// readBuffer holds what a lane has read ahead, in bytes. There are two for each
// connection, and yamux reads the socket in larger pieces itself.
const readBuffer = 4 << 10

// spareBuffer bounds the buffer that a lane keeps to queue in, in bytes.
const spareBuffer = 64 << 10

// lane is one ordered stream of frames of a connection.
type lane struct {
	stream net.Conn
	mu     sync.Mutex
	ready  *sync.Cond
	queued []byte
	spare  []byte // to queue in next
	// writing is true while somebody writes to the stream.
	writing bool
	closed  bool
	traffic *traffic
}

// traffic is what the lanes of one instance count together.
type traffic struct {
	handling atomic.Int32 // readers that handle a frame
	sent     atomic.Int64 // bytes of frames
	// queueOnly leaves all writing to the lanes' writers: a peer that does not
	// read holds up whoever writes to it.
	queueOnly bool
}

func newLane(stream net.Conn, traffic *traffic) *lane {
	l := &lane{stream: stream, traffic: traffic}
	l.ready = sync.NewCond(&l.mu)
	return l
}

// send queues f. Frames that are queued together are written together. Where
// nobody writes, a small frame is written at once by its sender, which saves
// waking the writer. But no reader ever writes, or two instances that wait for
// each other to read could stand still: while any reader of this instance
// handles a frame, all is left to the writers.
func (l *lane) send(f *Frame) error {
	return l.queue(func(queued []byte) ([]byte, error) { return AppendFrame(queued, f) })
}

// sendRaw queues a frame that is encoded already, as send does.
func (l *lane) sendRaw(frame []byte) error {
	return l.queue(func(queued []byte) ([]byte, error) { return append(queued, frame...), nil })
}

// queue lets add append to what is queued, and has it written.
func (l *lane) queue(add func(queued []byte) ([]byte, error)) error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return failure.Unreachable.New("the connection is closed")
	}
	if len(l.queued) > maxQueued {
		l.mu.Unlock()
		return failure.Unreachable.New("the peer reads too slowly: %d bytes wait", len(l.queued))
	}
	queued, err := add(l.queued)
	if err != nil {
		l.mu.Unlock()
		return err
	}
	l.traffic.sent.Add(int64(len(queued) - len(l.queued)))
	l.queued = queued
	if l.traffic.queueOnly || l.writing || len(queued) > directWrite || l.traffic.handling.Load() > 0 {
		l.ready.Signal()
		l.mu.Unlock()
		return nil
	}
	l.writeQueued()
	return nil
}

// directWrite bounds what a sender writes itself, in bytes.
const directWrite = 16 << 10

// writeQueued writes what is queued. The lock is held, and free on return.
func (l *lane) writeQueued() {
	batch := l.queued
	l.queued = l.spare[:0]
	l.spare = nil
	l.writing = true
	l.mu.Unlock()
	_, err := l.stream.Write(batch)
	l.mu.Lock()
	l.writing = false
	if cap(batch) <= spareBuffer {
		l.spare = batch
	}
	if len(l.queued) > 0 {
		l.ready.Signal()
	}
	l.mu.Unlock()
	if err != nil {
		l.close()
	}
}

// write writes what senders leave to it until the lane closes.
func (l *lane) write() {
	for {
		l.mu.Lock()
		for (len(l.queued) == 0 || l.writing) && !l.closed {
			l.ready.Wait()
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
	l.ready.Signal()
	l.mu.Unlock()
	_ = l.stream.Close()
}

// The lanes of a connection. What must keep its order among itself shares one.
const (
	laneControl = iota // heartbeats and slots: small, and never behind a payload
	laneBulk           // submissions, appends and answers
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

// link is one open connection to a peer.
type link struct {
	session *yamux.Session
	lanes   [laneCount]*lane
	traffic *traffic
	number  uint64 // names the connection within this process
	peer    fate.Incarnation
	opened  bool         // by this instance
	heard   atomic.Int64 // when the last frame came, nanoseconds of steady
	called  atomic.Int64 // when the last call was made here, as heard

	mu    sync.Mutex
	calls map[uint64]func(*Frame) // by id; nil stands for a broken connection
	next  uint64
	down  bool
}

var links atomic.Uint64 // connections so far

func newLink(session *yamux.Session, streams [laneCount]net.Conn, hello *Hello, traffic *traffic) *link {
	k := &link{number: links.Add(1), session: session, traffic: traffic, peer: fate.Incarnation(hello.GetIncarnation()), calls: map[uint64]func(*Frame){}}
	for i, s := range streams {
		k.lanes[i] = newLane(s, traffic)
	}
	return k
}

var processBegan = clock.Now()

// steady is the time since the process began, on the steady clock.
func steady() time.Duration { return clock.Since(processBegan) }

func (k *link) heardNow()               { k.heard.Store(int64(steady())) }
func (k *link) heardAt() time.Duration  { return time.Duration(k.heard.Load()) }
func (k *link) calledNow()              { k.called.Store(int64(steady())) }
func (k *link) calledAt() time.Duration { return time.Duration(k.called.Load()) }

// ID implements Link.
func (k *link) ID() uint64 { return k.number }

// Send implements Link.
func (k *link) Send(f *Frame) error { return k.send(f) }

func (k *link) send(f *Frame) error { return k.lanes[laneOf(f)].send(f) }

// run reads every lane into take, and returns once the connection is down.
func (k *link) run(take func(*Frame)) {
	var lanes sync.WaitGroup
	for _, l := range k.lanes {
		go l.write()
		lanes.Go(func() { k.read(l, take) })
	}
	lanes.Wait()
}

func (k *link) read(l *lane, take func(*Frame)) {
	defer k.close()
	r := bufio.NewReaderSize(l.stream, readBuffer)
	for {
		f, err := ReadFrame(r)
		if err != nil {
			return
		}
		k.heardNow()
		k.traffic.handling.Add(1)
		if f.GetReply() {
			k.answered(f)
		} else {
			take(f)
		}
		k.traffic.handling.Add(-1)
	}
}

// expect registers what takes the reply of a call, and returns the call's id.
func (k *link) expect(take func(*Frame)) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return 0, failure.Unreachable.New("the connection to %s is closed", k.peer)
	}
	k.next++
	k.calls[k.next] = take
	return k.next, nil
}

// call sends f and hands its reply to take.
func (k *link) call(f *Frame, take func(*Frame)) error {
	id, err := k.expect(take)
	if err != nil {
		return err
	}
	f.Id = id
	if err := k.send(f); err != nil {
		k.forget(id)
		return err
	}
	return nil
}

func (k *link) forget(id uint64) {
	k.mu.Lock()
	delete(k.calls, id)
	k.mu.Unlock()
}

func (k *link) answered(f *Frame) {
	k.mu.Lock()
	take := k.calls[f.GetId()]
	delete(k.calls, f.GetId())
	k.mu.Unlock()
	if take != nil {
		take(f)
	}
}

func (k *link) close() {
	k.mu.Lock()
	calls := k.calls
	k.calls = map[uint64]func(*Frame){}
	first := !k.down
	k.down = true
	k.mu.Unlock()
	if !first {
		return
	}
	for _, l := range k.lanes {
		l.close()
	}
	_ = k.session.Close()
	for _, take := range calls {
		take(nil)
	}
}

// KindOf names the kind of a frame for counting.
func KindOf(f *Frame) string {
	switch f.GetBody().(type) {
	case *Frame_Heartbeat:
		return "heartbeat"
	case *Frame_OpenLog:
		return "open_log"
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
	case *Frame_OfferWithdrawn:
		return "offer_withdrawn"
	case *Frame_ConfigRequest, *Frame_ConfigReply:
		return "config"
	case *Frame_UpstreamsRequest, *Frame_UpstreamsReply:
		return "upstreams"
	case *Frame_Renewal:
		return "renewal"
	case *Frame_Learn, *Frame_Known:
		return "learn"
	case *Frame_Problem:
		return "problem"
	default:
		return "other"
	}
}
