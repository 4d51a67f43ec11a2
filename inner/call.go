package inner

import (
	"context"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
)

// Send sends f without waiting for anything. The errors are Unreachable, and
// Gone when the peer is another incarnation by now, or does not run.
func (m *Mesh) Send(peer fate.Incarnation, f *Frame) error {
	k, err := m.to(peer)
	if err != nil {
		return err
	}
	m.cfg.CountSent(KindOf(f))
	return k.send(f)
}

// TrySend is Send, but never waits for a connection to be opened: without one the
// error is Unreachable, and one is opened for later.
func (m *Mesh) TrySend(peer fate.Incarnation, f *Frame) error {
	k, err := m.opened(peer)
	if err != nil {
		return err
	}
	m.cfg.CountSent(KindOf(f))
	return k.send(f)
}

// CallAsync sends f as a call, as TrySend does, and hands its reply to done, or the
// errors of Wait but for Timeout. Done must not block: replies behind it wait.
func (m *Mesh) CallAsync(peer fate.Incarnation, f *Frame, done func(*Frame, error)) error {
	_, err := m.CallAsyncConn(peer, f, done)
	return err
}

// CallAsyncConn is Notify, and returns the connection that the call went on: what belongs
// to the call has to follow it there.
func (m *Mesh) CallAsyncConn(peer fate.Incarnation, f *Frame, done func(*Frame, error)) (Connection, error) {
	k, err := m.opened(peer)
	if err != nil {
		return nil, err
	}
	m.cfg.CountSent(KindOf(f))
	k.calledNow()
	return k, k.call(f, func(reply *Frame) { done(replyOf(peer, reply)) })
}

// opened returns the connection to one incarnation, if it is open.
func (m *Mesh) opened(peer fate.Incarnation) (*link, error) {
	m.mu.Lock()
	d := m.links[peer.Instance()]
	closed := m.closed
	m.mu.Unlock()
	k := m.sharedWith(peer.Instance())
	if k == nil {
		k = d.open()
	}
	if k != nil && k.peer != peer {
		return nil, failure.Gone.New("%s is gone: its instance is %s now", peer, k.peer)
	}
	if k == nil && !closed {
		go func() { _, _ = m.connect(peer.Instance()) }()
	}
	if k == nil {
		return nil, failure.Unreachable.New("no connection to %s is open yet", peer)
	}
	return k, nil
}

// replyOf reads a reply; nil is a connection that broke before it came.
func replyOf(peer fate.Incarnation, reply *Frame) (*Frame, error) {
	if reply == nil {
		return nil, failure.Lost.New("the connection to %s broke", peer)
	}
	if reply.GetProblem() != nil {
		return nil, ToError(reply.GetProblem())
	}
	return reply, nil
}

// PendingCall is a call whose reply has not come yet.
type PendingCall struct {
	peer  fate.Incarnation
	link  *link
	id    uint64
	reply chan *Frame
}

// StartCall sends f as a call. Calls to one peer that begin one after another
// arrive in that order. The errors are those of Send.
func (m *Mesh) StartCall(peer fate.Incarnation, f *Frame) (*PendingCall, error) {
	k, err := m.to(peer)
	if err != nil {
		return nil, err
	}
	m.cfg.CountSent(KindOf(f))
	reply := make(chan *Frame, 1)
	if err := k.call(f, func(r *Frame) { reply <- r }); err != nil {
		return nil, err
	}
	return &PendingCall{peer, k, f.GetId(), reply}, nil
}

// Wait returns the reply. The errors are Lost, when the connection broke
// before it came, Timeout, and whatever typed error the peer replied.
func (p *PendingCall) Wait(ctx context.Context) (*Frame, error) {
	select {
	case reply := <-p.reply:
		return replyOf(p.peer, reply)
	case <-ctx.Done():
		p.link.forget(p.id)
		return nil, failure.Timeout.New("%s did not reply in time", p.peer)
	}
}

// Call sends f and waits for its reply, with the errors of Begin and Wait.
func (m *Mesh) Call(ctx context.Context, peer fate.Incarnation, f *Frame) (*Frame, error) {
	p, err := m.StartCall(peer, f)
	if err != nil {
		return nil, err
	}
	return p.Wait(ctx)
}
