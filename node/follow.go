package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/platform"

	"github.com/cenkalti/backoff/v5"
)

// follower keeps a copy of the store's keys below a prefix.
type follower struct {
	prefix string
	// wait is how long the store may hold a watch back that has nothing to tell.
	wait func() time.Duration
	// rest is the pause after each answer: more changes are read together then.
	rest func() time.Duration
	// need tells how closely the keys have to be followed now; nil is closely, always.
	need func() need
	// replace takes all keys as they were at a revision, update those that changed.
	replace func(items []platform.Item, revision uint64)
	update  func(items []platform.Item)
	// unread is called where the store does not answer before all keys have been read; it
	// may be nil.
	unread func()
}

// need is how closely keys of the store have to be followed.
type need int

const (
	needClosely need = iota
	needRoughly      // it is enough to read them all from time to time
	needNothing
)

// now returns how closely the keys have to be followed now.
func (f *follower) now() need {
	if f.need == nil {
		return needClosely
	}
	return f.need()
}

// follow runs f until the instance stops. The store may be away for long: what
// is known stays.
func (n *Node) follow(f follower) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetry, longestRetry
	revision, known, lost := uint64(0), false, time.Time{}
	for n.ctx.Err() == nil {
		if f.now() == needNothing {
			known = false
			n.pause(neededPoll)
			continue
		}
		items, next, err := n.read(f, known, revision)
		if err == nil {
			revision = next
			if !lost.IsZero() {
				event.StoreBack.Log(n.log, slog.String("prefix", f.prefix), slog.Duration("away", clock.Since(lost)))
				lost = time.Time{}
			}
			pause.Reset()
			if !known {
				f.replace(items, revision)
			} else if len(items) > 0 {
				f.update(items)
			}
			known = !n.restRoughly(f)
			if known {
				n.pause(f.rest())
			}
			continue
		}
		known = known && !failure.Is(err, failure.Gone) // its history is gone: read all again
		if lost.IsZero() {
			lost = clock.Now()
			event.StoreLost.Log(n.log, slog.String("prefix", f.prefix), slog.String("error", err.Error()))
		}
		if !known && f.unread != nil {
			f.unread()
		}
		n.pause(pause.NextBackOff())
	}
}

// restRoughly pauses while the keys are only needed roughly, up to roughRest, and
// reports whether they have to be read again in whole.
func (n *Node) restRoughly(f follower) bool {
	began, rested := clock.Now(), false
	for f.now() == needRoughly && n.ctx.Err() == nil {
		if clock.Since(began) >= roughRest {
			return true
		}
		n.pause(neededPoll)
		rested = true
	}
	return rested
}

func always(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

func noRest() time.Duration { return 0 }

// read reads all keys of a follower, or what has changed since a revision.
func (n *Node) read(f follower, known bool, revision uint64) ([]platform.Item, uint64, error) {
	if known {
		return n.store.Watch(f.prefix, revision, f.wait())
	}
	return n.store.Range(f.prefix)
}

// pause waits, unless the instance stops.
func (n *Node) pause(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}
