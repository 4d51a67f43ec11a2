package inner

import (
	"bufio"
	"net"
	"sync"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"github.com/hashicorp/yamux"
)

// maxQueued bounds the bytes that wait on one lane for a slow peer.
const maxQueued = 64 << 20

const readBuffer = 64 << 10

// lane is one ordered stream of frames of a connection.
type lane struct {
	stream net.Conn
	mu     sync.Mutex
	ready  *sync.Cond
	queued []byte
	closed bool
}

func newLane(stream net.Conn) *lane {
	l := &lane{stream: stream}
	l.ready = sync.NewCond(&l.mu)
	return l
}

// send queues f. Frames that are queued together are written together.
func (l *lane) send(f *Frame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return failure.Unreachable.New("the connection is closed")
	}
	if len(l.queued) > maxQueued {
		return failure.Unreachable.New("the peer reads too slowly: %d bytes wait", len(l.queued))
	}
	queued, err := AppendFrame(l.queued, f)
	if err != nil {
		return err
	}
	l.queued = queued
	l.ready.Signal()
	return nil
}

// write writes what is queued until the lane closes.
func (l *lane) write() {
	var spare []byte
	for {
		l.mu.Lock()
		for len(l.queued) == 0 && !l.closed {
			l.ready.Wait()
		}
		if l.closed {
			l.mu.Unlock()
			return
		}
		batch := l.queued
		l.queued = spare[:0]
		l.mu.Unlock()
		if _, err := l.stream.Write(batch); err != nil {
			l.close()
			return
		}
		spare = batch
		if cap(spare) > readBuffer {
			spare = nil
		}
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
	case *Frame_Heartbeat, *Frame_SlotRequest, *Frame_SlotGrant, *Frame_SlotRelease, *Frame_SlotWithdraw, *Frame_SlotSync:
		return laneControl
	default:
		return laneBulk
	}
}

// link is one open connection to a peer.
type link struct {
	session *yamux.Session
	lanes   [laneCount]*lane
	peer    fate.Incarnation
	zone    string

	mu    sync.Mutex
	calls map[uint64]chan *Frame
	next  uint64
	down  bool
}

func newLink(session *yamux.Session, streams [laneCount]net.Conn, hello *Hello) *link {
	k := &link{session: session, peer: fate.Incarnation(hello.GetIncarnation()), zone: hello.GetZone(), calls: map[uint64]chan *Frame{}}
	for i, s := range streams {
		k.lanes[i] = newLane(s)
	}
	return k
}

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
		if f.GetReply() {
			k.answered(f)
		} else {
			take(f)
		}
	}
}

// expect registers a call and returns its id and where its reply will come.
func (k *link) expect() (uint64, chan *Frame, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return 0, nil, failure.Unreachable.New("the connection to %s is closed", k.peer)
	}
	k.next++
	reply := make(chan *Frame, 1)
	k.calls[k.next] = reply
	return k.next, reply, nil
}

func (k *link) forget(id uint64) {
	k.mu.Lock()
	delete(k.calls, id)
	k.mu.Unlock()
}

func (k *link) answered(f *Frame) {
	k.mu.Lock()
	reply := k.calls[f.GetId()]
	delete(k.calls, f.GetId())
	k.mu.Unlock()
	if reply != nil {
		reply <- f
	}
}

func (k *link) close() {
	k.mu.Lock()
	calls := k.calls
	k.calls = map[uint64]chan *Frame{}
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
	for _, reply := range calls {
		close(reply)
	}
}
