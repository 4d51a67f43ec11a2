package ingress

import (
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// modelOwner is a process that may own the group of its zone.
type modelOwner struct {
	process
	zone    string
	pool    *schedule.Pool // nil while another owns the group
	answers map[schedule.JobKey]owner.OfferCallbacks
	peer    *modelOwner
	heard   time.Time // from its peer
}

// take begins to own the group, under a token above all others.
func (o *modelOwner) take() {
	o.w.note("", "%s takes the group", o.name)
	o.w.token++
	o.pool = schedule.NewPool(schedule.DefaultConfig, o.w.token)
	o.answers = map[schedule.JobKey]owner.OfferCallbacks{}
	added, effects := o.pool.SetUpstreams(o.Now(), o.w.listed(o.zone))
	o.apply(effects)
	for _, id := range added {
		o.follow(o.pool, id)
	}
	o.tick(o.pool)
}

// drop gives the group up: all that was offered is lost.
func (o *modelOwner) drop() {
	answers := o.answers
	o.pool, o.answers = nil, map[schedule.JobKey]owner.OfferCallbacks{}
	for _, key := range o.w.sortedKeys(answers) {
		answers[key].OfferEnded(schedule.Result{Key: key, Outcome: schedule.Unknown, Begun: true}, schedule.Load{})
	}
}

// watchPeer exchanges heartbeats with the other process of the zone: the group goes to
// whoever has the higher token, and to the standby where its owner is not heard.
func (o *modelOwner) watchPeer() {
	o.AfterFunc(modelBeat, func() {
		token := uint64(0)
		if o.pool != nil {
			token = o.pool.Token()
		}
		o.peer.AfterFunc(modelHop, func() {
			o.peer.heard = o.Now()
			if o.peer.pool != nil && token > o.peer.pool.Token() {
				o.peer.drop()
			}
		})
		if o.pool == nil && o.Now().Sub(o.heard) >= modelTakeover {
			o.take()
		}
		o.watchPeer()
	})
}

func (o *modelOwner) tick(pool *schedule.Pool) {
	o.AfterFunc(modelTick, func() {
		if o.pool != pool {
			return
		}
		o.apply(pool.Tick(o.Now()))
		o.tick(pool)
	})
}

func (o *modelOwner) follow(pool *schedule.Pool, id string) {
	u, order, known := pool.HoldOrder(o.Now(), id)
	if o.pool != pool || !known {
		return
	}
	o.hold(pool, u.ID, order, func(err error) {
		if err == nil {
			o.follow(pool, id)
			return
		}
		o.AfterFunc(modelTick, func() { o.follow(pool, id) })
	})
}

func (o *modelOwner) hold(pool *schedule.Pool, id string, order fleet.HoldOrder, then func(error)) {
	sent := o.Now()
	o.w.upstreams[id].CallHold(order, modelCall, func(report fleet.Report, err error) {
		o.do(func() {
			if o.pool == pool {
				o.apply(pool.HandleHoldResponse(o.Now(), fleet.UpstreamIncarnation{ID: id}, sent, report, err))
				then(err)
			}
		})
	})
}

// apply carries out what the pool decided. Each call is made a moment later, and not
// while the process stands still.
func (o *modelOwner) apply(e schedule.Effects) {
	pool := o.pool
	for _, s := range e.Starts {
		o.w.note(s.Order.Run.Task.Job, "%s starts %v on %s", o.name, s.Order.Run, s.Upstream.ID)
		o.AfterFunc(o.w.RandMillis(0, 1), func() {
			o.w.upstreams[s.Upstream.ID].CallStart(s.Order, modelStart, func(r fleet.Refusal, err error) {
				o.do(func() {
					if o.pool == pool {
						o.apply(pool.HandleStartResponse(o.Now(), s.Upstream.Incarnation(), s.Order.Run, r, err))
					}
				})
			})
		})
	}
	for _, s := range e.Stops {
		o.w.note(s.Run.Task.Job, "%s stops %v on %s", o.name, s.Run, s.Upstream.ID)
		o.AfterFunc(o.w.RandMillis(0, 1), func() {
			o.w.upstreams[s.Upstream.ID].CallStop(s.Run, pool.Token(), modelCall, func(err error) {
				o.do(func() {
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
	o.tell(e)
}

func (o *modelOwner) tell(e schedule.Effects) {
	for _, r := range e.Returns {
		if a, known := o.answers[r.Key]; known {
			a.TasksReturned(r, o.pool.Load(o.Now()))
		}
	}
	for _, r := range e.Results {
		if a, known := o.answers[r.Key]; known {
			delete(o.answers, r.Key)
			a.OfferEnded(r, o.pool.Load(o.Now()))
		}
	}
}

// offered takes an offer that came on a link.
func (o *modelOwner) offered(l *modelLink, offer schedule.Offer) {
	inner := offer.Key
	back := func(f func(owner.OfferCallbacks) func(schedule.Result, schedule.Load)) func(schedule.Result, schedule.Load) {
		return func(r schedule.Result, load schedule.Load) {
			r.Key = inner
			l.toCoordinator(func() {
				if a, open := l.offers[inner]; open {
					if r.Outcome != "" {
						delete(l.offers, inner)
					}
					l.c.views[o.zone] = loadAt(o.zone, load)
					f(a)(r, load)
				}
			})
		}
	}
	answer := owner.OfferCallbacks{
		TasksReturned: back(func(a owner.OfferCallbacks) func(schedule.Result, schedule.Load) { return a.TasksReturned }),
		OfferEnded:    back(func(a owner.OfferCallbacks) func(schedule.Result, schedule.Load) { return a.OfferEnded }),
	}
	if o.pool == nil {
		answer.OfferEnded(schedule.Result{Outcome: schedule.Completed}, schedule.Load{})
		return
	}
	offer.Key.Coordinator = l.key()
	o.w.note(offer.Key.ID, "%s takes the offer on %s", o.name, l.key())
	o.answers[offer.Key] = answer
	o.apply(o.pool.Offer(o.Now(), offer))
}

func (o *modelOwner) withdrawn(l *modelLink, key schedule.JobKey) {
	o.w.note(key.ID, "%s takes the withdrawal of part %d on %s", o.name, key.Part, l.key())
	key.Coordinator = l.key()
	delete(o.answers, key)
	if o.pool != nil {
		o.apply(o.pool.Withdraw(o.Now(), key, "withdrawn"))
	}
}
