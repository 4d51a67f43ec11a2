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

// storeFollower says how follow reads the store's keys with a prefix and the changes to them, and
// to which functions it passes them.
type storeFollower struct {
	prefix string
	// watchWait returns how long the store may keep a watch open before it responds
	// without changes.
	watchWait func() time.Duration
	// readPause returns the pause between two calls that read changes. With a longer pause,
	// one call returns more changes.
	readPause func() time.Duration
	// mode returns how closely the keys have to be followed at the moment. If mode is nil,
	// they are followed continuously.
	mode func() followMode
	// replace is called with all keys as of a revision, and update with the keys that have
	// changed since the last call of either.
	replace func(items []platform.Item, revision uint64)
	update  func(items []platform.Item)
	// onRead is called after each successful call to the store, once its result has been
	// passed on. It may be nil.
	onRead func()
	// onReadFailure is called after each failed call to the store after which the next call
	// must read all keys. It may be nil.
	onReadFailure func()
}

// followMode is how closely the keys of a storeFollower are followed.
type followMode int

const (
	followContinuously followMode = iota // read all keys once and watch for changes
	followPeriodically                   // read all keys every fullReadInterval
	followNothing                        // read nothing until the mode changes
)

// currentMode returns how closely the keys have to be followed at the moment.
func (f *storeFollower) currentMode() followMode {
	if f.mode == nil {
		return followContinuously
	}
	return f.mode()
}

// follow reads the keys of f until the instance ends. However long the store is unavailable, it
// repeats failed calls, and what it has passed on before stays valid.
func (n *Node) follow(f storeFollower) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryPause, maxRetryPause
	revision, synced, failingSince := uint64(0), false, time.Time{}
	for n.ctx.Err() == nil {
		if f.currentMode() == followNothing {
			synced = false
			n.sleep(modePollInterval)
			continue
		}
		items, next, err := n.read(f, synced, revision)
		if err == nil {
			revision = next
			if !failingSince.IsZero() {
				event.StoreBack.Log(n.log, slog.String("prefix", f.prefix), slog.Duration("away", clock.Since(failingSince)))
				failingSince = time.Time{}
			}
			retry.Reset()
			if !synced {
				f.replace(items, revision)
			} else if len(items) > 0 {
				f.update(items)
			}
			if f.onRead != nil {
				f.onRead()
			}
			synced = !n.waitForNextFullRead(f)
			if synced {
				n.sleep(f.readPause())
			}
			continue
		}
		synced = synced && !failure.Is(err, failure.Gone) // the store has dropped its history: read all keys again
		if failingSince.IsZero() {
			failingSince = clock.Now()
			event.StoreLost.Log(n.log, slog.String("prefix", f.prefix), slog.String("error", err.Error()))
		}
		if !synced && f.onReadFailure != nil {
			f.onReadFailure()
		}
		n.sleep(retry.NextBackOff())
	}
}

// waitForNextFullRead waits while the mode of f is followPeriodically, for fullReadInterval
// at most. It reports whether it has waited at all. If so, changes may have been missed, and all
// keys have to be read again.
func (n *Node) waitForNextFullRead(f storeFollower) bool {
	began, paused := clock.Now(), false
	for f.currentMode() == followPeriodically && n.ctx.Err() == nil {
		if clock.Since(began) >= fullReadInterval {
			return true
		}
		n.sleep(modePollInterval)
		paused = true
	}
	return paused
}

// constant returns a function that always returns d.
func constant(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

func noPause() time.Duration { return 0 }

// read returns all keys of f or, if synced is set, those that have changed since a revision. It
// also returns the revision from which the next call must continue.
func (n *Node) read(f storeFollower, synced bool, revision uint64) ([]platform.Item, uint64, error) {
	if synced {
		return n.store.Watch(f.prefix, revision, f.watchWait())
	}
	return n.store.Range(f.prefix)
}

// sleep waits for d, or until the instance ends.
func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}
