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

// storeFollower keeps a copy of the store's keys below a prefix.
type storeFollower struct {
	prefix string
	// watchWait is how long the store may hold a watch back that has nothing to tell.
	watchWait func() time.Duration
	// readPause is the pause after each answer: more changes are read together then.
	readPause func() time.Duration
	// mode tells how closely the keys have to be followed now; nil is closely, always.
	mode func() followMode
	// replace takes all keys as they were at a revision, update those that changed.
	replace func(items []platform.Item, revision uint64)
	update  func(items []platform.Item)
	// onReadFailure is called where the store does not answer before all keys have been read; it
	// may be nil.
	onReadFailure func()
}

// followMode is how closely keys of the store have to be followed.
type followMode int

const (
	followContinuously followMode = iota
	followPeriodically            // it is enough to read them all from time to time
	followNothing
)

// currentMode returns how closely the keys have to be followed currentMode.
func (f *storeFollower) currentMode() followMode {
	if f.mode == nil {
		return followContinuously
	}
	return f.mode()
}

// follow runs f until the instance stops. The store may be away for long: what
// is known stays.
func (n *Node) follow(f storeFollower) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = minRetryPause, maxRetryPause
	revision, known, lost := uint64(0), false, time.Time{}
	for n.ctx.Err() == nil {
		if f.currentMode() == followNothing {
			known = false
			n.sleep(modePollInterval)
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
			known = !n.waitForNextFullRead(f)
			if known {
				n.sleep(f.readPause())
			}
			continue
		}
		known = known && !failure.Is(err, failure.Gone) // its history is gone: read all again
		if lost.IsZero() {
			lost = clock.Now()
			event.StoreLost.Log(n.log, slog.String("prefix", f.prefix), slog.String("error", err.Error()))
		}
		if !known && f.onReadFailure != nil {
			f.onReadFailure()
		}
		n.sleep(pause.NextBackOff())
	}
}

// waitForNextFullRead pauses while the keys are only needed roughly, up to roughRest, and
// reports whether they have to be read again in whole.
func (n *Node) waitForNextFullRead(f storeFollower) bool {
	began, rested := clock.Now(), false
	for f.currentMode() == followPeriodically && n.ctx.Err() == nil {
		if clock.Since(began) >= fullReadInterval {
			return true
		}
		n.sleep(modePollInterval)
		rested = true
	}
	return rested
}

func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

func noPause() time.Duration { return 0 }

// read reads all keys of a follower, or what has changed since a revision.
func (n *Node) read(f storeFollower, known bool, revision uint64) ([]platform.Item, uint64, error) {
	if known {
		return n.store.Watch(f.prefix, revision, f.watchWait())
	}
	return n.store.Range(f.prefix)
}

// sleep waits, unless the instance stops.
func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}
