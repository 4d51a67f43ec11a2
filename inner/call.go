package inner

import (
	"context"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
)

// Send sends f as a one-way message. If there is no open connection, it opens one first. A
// nil error means that f was queued, not that the peer has received it. The errors are:
//   - Gone: nothing listens at the peer's address, or the instance runs as another incarnation;
//   - Unreachable: no connection could be opened, or the peer reads too slowly;
//   - TooLarge: f exceeds MaxFrameBytes;
//   - the error with which the peer refused the connection.
func (m *Mesh) Send(peer fate.Incarnation, f *Frame) error {
	c, err := m.connectToIncarnation(peer)
	if err != nil {
		return err
	}
	m.cfg.CountSent(KindOf(f))
	return c.send(f)
}

// TrySend is like Send but never waits for a connection to be opened. If none is open, it
// starts to open one in the background, does not send f, and returns the error Unreachable.
func (m *Mesh) TrySend(peer fate.Incarnation, f *Frame) error {
	c, err := m.connectionOrStartDial(peer)
	if err != nil {
		return err
	}
	m.cfg.CountSent(KindOf(f))
	return c.send(f)
}

// CallAsync sends the request f like TrySend. If that succeeds, it later calls done with the
// reply, with the typed error that the peer replied, or with the error Lost if the connection
// broke before the reply arrived. done must not block, because the frames that follow the
// reply are read only after done returns.
func (m *Mesh) CallAsync(peer fate.Incarnation, f *Frame, done func(*Frame, error)) error {
	_, err := m.CallAsyncConn(peer, f, done)
	return err
}

// CallAsyncConn is like CallAsync and also returns the connection on which the request is sent.
// Messages that must arrive after the request have to be sent on the same connection.
func (m *Mesh) CallAsyncConn(peer fate.Incarnation, f *Frame, done func(*Frame, error)) (Connection, error) {
	c, err := m.connectionOrStartDial(peer)
	if err != nil {
		return nil, err
	}
	m.cfg.CountSent(KindOf(f))
	c.markCalled()
	return c, c.call(f, func(reply *Frame) { done(replyOf(peer, reply)) })
}

// connectionOrStartDial returns the open connection to an incarnation. If there is none, it
// starts to open one in the background and returns the error Unreachable.
func (m *Mesh) connectionOrStartDial(peer fate.Incarnation) (*connection, error) {
	m.mu.Lock()
	state := m.dialed[peer.Instance()]
	closed := m.closed
	m.mu.Unlock()
	c := m.sharedConnection(peer.Instance())
	if c == nil {
		c = state.connectionIfOpen()
	}
	if c != nil && c.peer != peer {
		return nil, failure.Gone.New("%s is gone: the instance is running as %s", peer, c.peer)
	}
	if c == nil && !closed {
		go func() { _, _ = m.connectToInstance(peer.Instance()) }()
	}
	if c == nil {
		return nil, failure.Unreachable.New("no open connection to %s", peer)
	}
	return c, nil
}

// replyOf returns reply, or the typed error if reply carries one. If reply is nil, the
// connection broke before the reply arrived, and the error is Lost.
func replyOf(peer fate.Incarnation, reply *Frame) (*Frame, error) {
	if reply == nil {
		return nil, failure.Lost.New("the connection to %s broke before it replied", peer)
	}
	if reply.GetProblem() != nil {
		return nil, ToError(reply.GetProblem())
	}
	return reply, nil
}

// PendingCall is a call whose request has been sent and whose reply has not been received.
type PendingCall struct {
	peer       fate.Incarnation
	connection *connection
	id         uint64
	reply      chan *Frame
}

// StartCall sends the request f without waiting for the reply. Requests on the same lane of a
// connection arrive in the order in which they were started. The errors are those of Send.
func (m *Mesh) StartCall(peer fate.Incarnation, f *Frame) (*PendingCall, error) {
	c, err := m.connectToIncarnation(peer)
	if err != nil {
		return nil, err
	}
	m.cfg.CountSent(KindOf(f))
	reply := make(chan *Frame, 1)
	if err := c.call(f, func(r *Frame) { reply <- r }); err != nil {
		return nil, err
	}
	return &PendingCall{peer, c, f.GetId(), reply}, nil
}

// Wait returns the reply. The error is Lost if the connection broke before the reply
// arrived, Timeout if ctx ended, or the typed error that the peer replied.
func (p *PendingCall) Wait(ctx context.Context) (*Frame, error) {
	select {
	case reply := <-p.reply:
		return replyOf(p.peer, reply)
	case <-ctx.Done():
		p.connection.removeCall(p.id)
		return nil, failure.Timeout.New("%s did not reply before the deadline", p.peer)
	}
}

// Call sends the request f and waits for its reply. The errors are those of StartCall
// and PendingCall.Wait.
func (m *Mesh) Call(ctx context.Context, peer fate.Incarnation, f *Frame) (*Frame, error) {
	p, err := m.StartCall(peer, f)
	if err != nil {
		return nil, err
	}
	return p.Wait(ctx)
}
