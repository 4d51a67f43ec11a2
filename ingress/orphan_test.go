package ingress

import (
	"slices"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/platform/standin"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// orphanCase plays a job of two tasks whose first offer is lost, with an owner that has token 5.
type orphanCase struct {
	*standin.Simulation
	t           *testing.T
	owners      *fakeOwners
	coordinator *Coordinator
	offers      []schedule.Offer
	callbacks   []owner.OfferCallbacks
	refusal     error // of further offers
	left        bool  // the customer has disconnected
	responses   []Response
	respondedAt time.Time
}

func newOrphanCase(t *testing.T, policy Policy) *orphanCase {
	c := &orphanCase{Simulation: standin.NewSimulation(simEpoch, 1), t: t, owners: &fakeOwners{}}
	c.setOwner(5)
	c.owners.offer = func(_ string, o schedule.Offer, cb owner.OfferCallbacks) error {
		if c.refusal != nil {
			return c.refusal
		}
		c.offers, c.callbacks = append(c.offers, o), append(c.callbacks, cb)
		return nil
	}
	c.coordinator = NewSimulatedCoordinator("a", c.owners, c, policy, alwaysHalf)
	r := newRequest(2)
	r.Job.Steps[0].Estimate = time.Second
	r.Disconnected = func() bool { return c.left }
	j, _, _ := c.coordinator.attachOrCreate(r)
	j.onResponse = func(response Response) { c.responses, c.respondedAt = append(c.responses, response), c.Now() }
	j.offerUnassigned()
	return c
}

// setOwner makes an owner with a token report its load now.
func (c *orphanCase) setOwner(token uint64) {
	c.owners.loads = []OwnerLoad{{Group: "a/0", Zone: "a", Free: 2, Capacity: 9, Token: token}}
}

func (c *orphanCase) wait(d time.Duration) {
	for i := range c.owners.loads {
		c.owners.loads[i].Age += d
	}
	c.Run(c.Now().Add(d))
}

// wantOffers checks the number of offers, and that the last one adopts both tasks.
func (c *orphanCase) wantOffers(count int, adoptFrom uint64, mayTakeOver bool) {
	c.t.Helper()
	if len(c.offers) != count {
		c.t.Fatalf("%d offers, want %d", len(c.offers), count)
	}
	if o := c.offers[count-1]; o.AdoptFrom != adoptFrom || o.MayQueue != mayTakeOver || !slices.Equal(o.Tasks, []int{0, 1}) || o.Key.Part != count {
		c.t.Errorf("offer %+v, want part %d with both tasks that adopts from %d, MayQueue %v", o, count, adoptFrom, mayTakeOver)
	}
}

func (c *orphanCase) wantResponse(v Verdict, after time.Duration) {
	c.t.Helper()
	if len(c.responses) != 1 || c.responses[0].Verdict != v || c.respondedAt.Sub(simEpoch) != after {
		c.t.Errorf("responses %+v after %v, want one %s after %v", c.responses, c.respondedAt.Sub(simEpoch), v, after)
	}
}

func (c *orphanCase) endLast(r schedule.Result) { endOffer(c.callbacks[len(c.callbacks)-1], r) }

// TestOrphanAdopted checks that a job is completed by the next owner if the first one is lost.
func TestOrphanAdopted(t *testing.T) {
	c := newOrphanCase(t, DefaultPolicy)
	c.callbacks[0].OwnerLost(5)
	c.wait(100 * time.Millisecond)
	c.setOwner(9)
	c.wait(100 * time.Millisecond)
	c.wantOffers(2, 5, true)
	c.endLast(schedule.Result{Outcome: schedule.Completed, Done: []int{0, 1}, Begun: true})
	c.wantResponse(Completed, 200*time.Millisecond)
}

// TestOrphanFailures lets something fail between the loss of the first owner and the response. No
// task may be offered as if it had never begun, and the customer must get its response in time.
func TestOrphanFailures(t *testing.T) {
	for name, play := range map[string]func(c *orphanCase){
		"adoption is switched off": func(c *orphanCase) {
			c.coordinator.policy.AdoptRuns = false
			c.callbacks[0].OwnerLost(5)
			c.wantResponse(Unknown, 0)
		},
		"no next owner": func(c *orphanCase) {
			c.callbacks[0].OwnerLost(5)
			c.owners.loads = nil
			c.wait(2 * maxOrphanWait)
			c.wantResponse(Unknown, maxOrphanWait)
		},
		"the lost owner reports again": func(c *orphanCase) {
			c.callbacks[0].OwnerLost(5)
			c.wait(100 * time.Millisecond)
			c.setOwner(5)
			c.wait(100 * time.Millisecond)
			c.wantResponse(Unknown, 125*time.Millisecond)
		},
		"a report from before the loss is handled after it": func(c *orphanCase) {
			c.callbacks[0].OwnerLost(5)
			c.wait(10 * time.Millisecond)
			c.setOwner(5)
			c.wait(90 * time.Millisecond)
			c.setOwner(9)
			c.wait(100 * time.Millisecond)
			c.wantOffers(2, 5, true)
			c.endLast(schedule.Result{Outcome: schedule.Completed, Done: []int{0, 1}, Begun: true})
			c.wantResponse(Completed, 200*time.Millisecond)
		},
		"the customer leaves": func(c *orphanCase) {
			c.callbacks[0].OwnerLost(5)
			c.left = true
			c.setOwner(9)
			c.wait(100 * time.Millisecond)
			c.wantResponse(CustomerLeft, 25*time.Millisecond)
		},
		"the customer leaves while the next owner adopts": func(c *orphanCase) {
			c.setOwner(9)
			c.callbacks[0].OwnerLost(5)
			c.wantOffers(2, 5, true)
			c.left = true
			c.coordinator.EndDisconnected()
			c.wantResponse(CustomerLeft, 0)
			if w := c.owners.withdrawn; len(w) != 1 || w[0].Part != 2 {
				c.t.Errorf("withdrawn %v, want the adopting offer, part 2", w)
			}
		},
		"the next owner cannot be reached": func(c *orphanCase) {
			c.setOwner(9)
			c.refusal = failure.Unreachable.New("partitioned")
			c.callbacks[0].OwnerLost(5)
			c.wait(100 * time.Millisecond)
			c.refusal = nil
			c.wait(100 * time.Millisecond)
			c.endLast(schedule.Result{Outcome: schedule.Completed, Done: []int{0, 1}, Begun: true})
			c.wantResponse(Completed, 200*time.Millisecond)
		},
		"the next owner has given the group up": func(c *orphanCase) {
			c.setOwner(9)
			c.callbacks[0].OwnerLost(5)
			c.endLast(schedule.Result{Outcome: schedule.Completed}) // the result for an offer that was rejected
			c.setOwner(11)
			c.wait(100 * time.Millisecond)
			c.wantOffers(3, 5, true)
			c.endLast(schedule.Result{Outcome: schedule.Unknown, Done: []int{1}, Begun: true})
			c.wantResponse(Unknown, 100*time.Millisecond)
		},
		"the next owner is lost too": func(c *orphanCase) {
			c.setOwner(9)
			c.callbacks[0].OwnerLost(5)
			c.wantOffers(2, 5, true)
			c.callbacks[1].OwnerLost(9)
			c.wait(100 * time.Millisecond)
			c.setOwner(11)
			c.wait(100 * time.Millisecond)
			c.wantOffers(3, 9, false)
			c.owners.loads = nil
			c.callbacks[2].OwnerLost(11)
			c.wait(2 * maxOrphanWait)
			c.wantResponse(Unknown, maxOrphanWait) // since the first loss
		},
		"a task was done before": func(c *orphanCase) {
			c.setOwner(9)
			c.callbacks[0].TasksDone([]int{0})
			c.callbacks[0].OwnerLost(5)
			if o := c.offers[1]; o.AdoptFrom != 5 || !slices.Equal(o.Tasks, []int{1}) {
				c.t.Errorf("offer %+v, want an adopting one of task 1", o)
			}
			c.endLast(schedule.Result{Outcome: schedule.Completed, Done: []int{1}, Begun: true})
			c.wantResponse(Completed, 0)
		},
		"all tasks were done before": func(c *orphanCase) {
			c.callbacks[0].TasksDone([]int{0})
			c.callbacks[0].TasksDone([]int{1})
			c.callbacks[0].OwnerLost(5)
			c.wantResponse(Completed, 0)
		},
		"the next owner leaves a task out": func(c *orphanCase) {
			c.setOwner(9)
			c.callbacks[0].OwnerLost(5)
			c.endLast(schedule.Result{Outcome: schedule.Completed, Done: []int{0}, Begun: true})
			c.wantResponse(Unknown, 0)
		},
		"a task that the next owner has taken over is returned": func(c *orphanCase) {
			c.setOwner(9)
			c.callbacks[0].OwnerLost(5)
			c.endLast(schedule.Result{Outcome: schedule.Completed, Done: []int{0}, Returned: []int{1}, History: map[int]schedule.TaskHistory{1: {LastRun: 4}}, Begun: true})
			if o := c.offers[2]; o.AdoptFrom != 0 || !slices.Equal(o.Tasks, []int{1}) || o.History[1].LastRun != 4 {
				c.t.Errorf("offer %+v, want an ordinary one of task 1 after run 4", o)
			}
			c.endLast(schedule.Result{Outcome: schedule.Completed, Done: []int{1}, Begun: true})
			c.wantResponse(Completed, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newOrphanCase(t, DefaultPolicy)
			play(c)
			c.wait(10 * time.Second)
			if len(c.responses) > 1 {
				t.Errorf("%d responses, want at most 1", len(c.responses))
			}
			for _, o := range c.offers[1:] {
				if o.AdoptFrom == 0 && o.History[o.Tasks[0]].LastRun == 0 {
					t.Errorf("tasks %v are offered as if they had never begun", o.Tasks)
				}
			}
		})
	}
}
