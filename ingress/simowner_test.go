package ingress

import (
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// simOwner is one of the two processes of a zone that can own the zone's group. The other one
// is its peer.
type simOwner struct {
	simProcess
	zone              string
	pool              *schedule.Pool // nil while this process does not own the group
	callbacks         map[schedule.JobKey]owner.OfferCallbacks
	peer              *simOwner
	lastPeerHeartbeat time.Time
	endedToken        uint64 // fencing token of the peer if its process is known to have ended
}

// acquireGroup makes the process the owner of the group, with the highest fencing token so far.
func (o *simOwner) acquireGroup() {
	o.fleet.record("", "%s acquires the group", o.name)
	o.fleet.lastToken++
	cfg := schedule.DefaultConfig
	cfg.Policy.AdoptRuns, cfg.EndedOwner, o.endedToken = o.fleet.adoptsRuns, o.endedToken, 0
	o.pool = schedule.NewPool(cfg, o.fleet.lastToken)
	o.callbacks = map[schedule.JobKey]owner.OfferCallbacks{}
	added, effects := o.pool.SetUpstreams(o.Now(), o.fleet.upstreamsIn(o.zone))
	o.apply(effects)
	for _, id := range added {
		o.holdLoop(o.pool, id)
	}
	o.tickLoop(o.pool)
}

// crash ends the process, which starts again at once as a standby. Its connections are reset, and
// the peer, which notices that the process has ended, acquires the group.
func (o *simOwner) crash() {
	if o.paused || o.pool == nil || o.peer.paused {
		return
	}
	o.fleet.record("", "%s crashes", o.name)
	o.peer.endedToken = o.pool.Token()
	o.pool, o.callbacks = nil, map[schedule.JobKey]owner.OfferCallbacks{}
	for _, c := range o.fleet.coordinators {
		if l := c.links[o]; l != nil {
			l.ownerOpen = false
			o.fleet.AfterFunc(simNetworkDelay, func() { c.run(l.closeAtCoordinator) })
		}
	}
	o.peer.AfterFunc(simNetworkDelay, func() {
		if o.peer.pool == nil {
			o.peer.acquireGroup()
		}
	})
}

// loseGroup ends the process's ownership of the group. The open offers of the group end with
// outcome Unknown.
func (o *simOwner) loseGroup() {
	callbacks := o.callbacks
	o.pool, o.callbacks = nil, map[schedule.JobKey]owner.OfferCallbacks{}
	for _, key := range o.fleet.sortedKeys(callbacks) {
		callbacks[key].OfferEnded(schedule.Result{Key: key, Outcome: schedule.Unknown, Begun: true}, schedule.Load{})
	}
}

// peerHeartbeats sends heartbeats with the process's fencing token, or 0, to the other process
// of the zone at regular intervals. An owner that receives a token higher than its own loses
// the group. A standby that has received no heartbeat for simTakeoverTimeout acquires it.
func (o *simOwner) peerHeartbeats() {
	o.AfterFunc(simZoneHeartbeat, func() {
		token := uint64(0)
		if o.pool != nil {
			token = o.pool.Token()
		}
		o.peer.AfterFunc(simNetworkDelay, func() {
			o.peer.lastPeerHeartbeat = o.Now()
			if o.peer.pool != nil && token > o.peer.pool.Token() {
				o.peer.loseGroup()
			}
		})
		if o.pool == nil && o.Now().Sub(o.lastPeerHeartbeat) >= simTakeoverTimeout {
			o.acquireGroup()
		}
		o.peerHeartbeats()
	})
}

func (o *simOwner) tickLoop(pool *schedule.Pool) {
	o.AfterFunc(simTickInterval, func() {
		if o.pool != pool {
			return
		}
		o.apply(pool.Tick(o.Now()))
		o.tickLoop(pool)
	})
}

// holdLoop sends one hold after the other to an upstream, to renew the leases of its runs and to
// get its reports, as long as the upstream belongs to the pool.
func (o *simOwner) holdLoop(pool *schedule.Pool, id string) {
	u, order, known := pool.HoldOrder(o.Now(), id)
	if o.pool != pool || !known {
		return
	}
	o.hold(pool, u.ID, order, func(err error) {
		if err == nil {
			o.holdLoop(pool, id)
			return
		}
		o.AfterFunc(simTickInterval, func() { o.holdLoop(pool, id) })
	})
}

func (o *simOwner) hold(pool *schedule.Pool, id string, order fleet.HoldOrder, then func(error)) {
	sent := o.Now()
	o.fleet.upstreams[id].CallHold(order, simCallTimeout, func(report fleet.Report, err error) {
		o.run(func() {
			if o.pool == pool {
				o.apply(pool.HandleHoldResponse(o.Now(), fleet.UpstreamIncarnation{ID: id}, sent, report, err))
				then(err)
			}
		})
	})
}

// apply carries out the effects that a pool returns: calls to upstreams, and results for
// coordinators. Starts and stops are sent up to a millisecond later, and after the pause if the
// process is paused by then.
func (o *simOwner) apply(e schedule.Effects) {
	pool := o.pool
	for _, s := range e.Starts {
		o.fleet.record(s.Order.Run.Task.Job, "%s starts %v on %s", o.name, s.Order.Run, s.Upstream.ID)
		o.AfterFunc(o.fleet.RandMillis(0, 1), func() {
			o.fleet.upstreams[s.Upstream.ID].CallStart(s.Order, simStartTimeout, func(r fleet.Refusal, err error) {
				o.run(func() {
					if o.pool == pool {
						o.apply(pool.HandleStartResponse(o.Now(), s.Upstream.Incarnation(), s.Order.Run, r, err))
					}
				})
			})
		})
	}
	for _, s := range e.Stops {
		o.fleet.record(s.Run.Task.Job, "%s stops %v on %s", o.name, s.Run, s.Upstream.ID)
		o.AfterFunc(o.fleet.RandMillis(0, 1), func() {
			o.fleet.upstreams[s.Upstream.ID].CallStop(s.Run, pool.Token(), simCallTimeout, func(err error) {
				o.run(func() {
					if o.pool == pool {
						o.apply(pool.HandleStopResponse(o.Now(), s.Upstream.Incarnation(), s.Run, err))
					}
				})
			})
		})
	}
	for _, id := range e.Polls {
		if _, order, known := pool.PollOrder(o.Now(), id); known {
			o.hold(pool, id, order, func(error) {})
		}
	}
	o.notify(e)
}

func (o *simOwner) notify(e schedule.Effects) {
	for _, r := range e.Progress {
		if c := o.callbacks[r.Key]; c.TasksDone != nil {
			c.TasksDone(r.Done)
		}
	}
	for _, r := range e.Returns {
		if c, known := o.callbacks[r.Key]; known {
			c.TasksReturned(r, o.pool.Load(o.Now()))
		}
	}
	for _, r := range e.Results {
		if c, known := o.callbacks[r.Key]; known {
			delete(o.callbacks, r.Key)
			c.OfferEnded(r, o.pool.Load(o.Now()))
		}
	}
}

// handleOffer passes an offer that was received on a link to the pool. If this process does not
// own the group, it ends the offer at once without having started a task.
func (o *simOwner) handleOffer(l *simLink, offer schedule.Offer) {
	key := offer.Key
	// viaLink returns a callback for the pool's results that sends each result over the link.
	// The coordinator passes it to the one of its own callbacks that pick selects.
	viaLink := func(pick func(owner.OfferCallbacks) func(schedule.Result, schedule.Load)) func(schedule.Result, schedule.Load) {
		return func(r schedule.Result, load schedule.Load) {
			r.Key = key
			l.sendToCoordinator(func() {
				if c, open := l.offers[key]; open {
					if r.Outcome != "" {
						delete(l.offers, key)
					}
					l.coordinator.recordLoad(o, load)
					pick(c)(r, load)
				}
			})
		}
	}
	callbacks := owner.OfferCallbacks{
		TasksReturned: viaLink(func(c owner.OfferCallbacks) func(schedule.Result, schedule.Load) { return c.TasksReturned }),
		OfferEnded:    viaLink(func(c owner.OfferCallbacks) func(schedule.Result, schedule.Load) { return c.OfferEnded }),
	}
	if o.fleet.adoptsRuns {
		callbacks.TasksDone = func(tasks []int) {
			l.sendToCoordinator(func() {
				if c, open := l.offers[key]; open {
					c.TasksDone(tasks)
				}
			})
		}
	}
	if o.pool == nil {
		callbacks.OfferEnded(schedule.Result{Outcome: schedule.Completed}, schedule.Load{})
		return
	}
	offer.Key.Coordinator = l.name()
	o.fleet.record(offer.Key.ID, "%s receives the offer on %s", o.name, l.name())
	o.callbacks[offer.Key] = callbacks
	o.apply(o.pool.Offer(o.Now(), offer))
}

func (o *simOwner) handleWithdrawal(l *simLink, key schedule.JobKey) {
	o.fleet.record(key.ID, "%s receives the withdrawal of part %d on %s", o.name, key.Part, l.name())
	key.Coordinator = l.name()
	delete(o.callbacks, key)
	if o.pool != nil {
		o.apply(o.pool.Withdraw(o.Now(), key, "withdrawn"))
	}
}
