package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// fakePeers is a Peers whose calls return the given errors, one after the other, and then the
// answer Complete.
type fakePeers struct {
	errors []error
	wait   time.Duration // how long a call takes before its error
	calls  int
	sent   []sentFrame
}

// sentFrame is a frame that was passed to TrySend.
type sentFrame struct {
	to    fate.Incarnation
	frame *inner.Frame
}

// TrySend implements Peers.
func (p *fakePeers) TrySend(to fate.Incarnation, f *inner.Frame) error {
	p.sent = append(p.sent, sentFrame{to, f})
	return nil
}

// CallAsync implements Peers.
func (p *fakePeers) CallAsync(fate.Incarnation, *inner.Frame, func(*inner.Frame, error)) error {
	return nil
}

// Call implements Peers.
func (p *fakePeers) Call(_ context.Context, _ fate.Incarnation, f *inner.Frame) (*inner.Frame, error) {
	p.calls++
	if p.calls <= len(p.errors) {
		time.Sleep(p.wait)
		return nil, p.errors[p.calls-1]
	}
	answer := &fate.Answer{Key: inner.ToKey(f.GetSubmit().GetKey()), Kind: fate.Complete}
	return &inner.Frame{Body: &inner.Frame_Answer{Answer: inner.FromAnswer(answer)}}, nil
}

// TestWitnessIsAskedAgain guards against callers that are told "unknown" although the witness is
// running: the connection to it was closed while it was asked for the fate of their job.
func TestWitnessIsAskedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		errors []error
		found  bool
		calls  int
	}{
		"answers":                     {nil, true, 1},
		"connection closed":           {[]error{failure.Lost.New("closed")}, true, 2},
		"closed, then not reachable":  {[]error{failure.Lost.New("closed"), failure.Unreachable.New("no route")}, true, 3},
		"the process has ended":       {[]error{failure.Gone.New("refused")}, false, 1},
		"closed, then it has ended":   {[]error{failure.Lost.New("closed"), failure.Gone.New("refused")}, false, 2},
		"does not answer the request": {[]error{failure.Refused.New("no")}, false, 1},
	} {
		peers := &fakePeers{errors: c.errors}
		d := New(Config{Self: "home.1"}, peers)
		l := newHomeLog(d, fate.LogID{Home: "home.1", Witness: "witness.1", Number: 1})
		if _, found := l.fetchFromWitness(fate.Key{Session: "s", Sequence: 1}); found != c.found || peers.calls != c.calls {
			t.Errorf("%s: found %v after %d calls, want %v after %d", name, found, peers.calls, c.found, c.calls)
		}
		d.Close()
	}
}

// TestWitnessIsAskedAfterEachBreak guards against callers that are told "unknown" because two
// connections to a running witness broke far apart, as they do where processes stall.
func TestWitnessIsAskedAfterEachBreak(t *testing.T) {
	for name, c := range map[string]struct {
		fail  error
		found bool
		calls int
	}{
		"connections that were open break": {failure.Lost.New("broke"), true, 4},
		"no reply":                         {failure.Timeout.New("late"), false, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			peers := &fakePeers{errors: []error{c.fail, c.fail, c.fail}, wait: 2 * DefaultWitnessTimeout}
			d := New(Config{Self: "home.1"}, peers)
			defer d.Close()
			l := newHomeLog(d, fate.LogID{Home: "home.1", Witness: "witness.1", Number: 1})
			if _, found := l.fetchFromWitness(fate.Key{Session: "s", Sequence: 1}); found != c.found || peers.calls != c.calls {
				t.Errorf("%s: found %v after %d calls, want %v after %d", name, found, peers.calls, c.found, c.calls)
			}
		})
	}
}
