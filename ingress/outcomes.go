package ingress

import (
	"math"
	"sync"
	"time"
)

// offerClass groups offers of jobs that wait for capacity, in so far as their chances to be served
// are alike. How well the reported waits predict the start of a job depends on its route: on how
// exactly its customers estimate durations, and on how different the sizes of its tasks are.
type offerClass struct {
	route    string
	pressure pressureClass
}

// pressureClass is the number of pressureBounds that a pressure reaches. Class 0 always has a
// chance.
type pressureClass int

// pressureBounds separate the classes of pressures. Below the first one, the job would be in time.
var pressureBounds = [...]float64{1, 1.5, 2.5}

// initialShares are the served shares by pressureClass that are assumed before outcomes are known.
var initialShares = [len(pressureBounds) + 1]float64{1, 0.2, 0.08, 0.04}

const (
	// minServedShare is the least share of the jobs of a class that must be served for a job of
	// it to be offered. Rejecting less hopeless ones would take from many customers a chance that
	// they would rather wait for.
	minServedShare = 0.1
	// outcomeWeight is the weight of one outcome in the moving average of the served share.
	outcomeWeight = 0.1
	// outcomesTimeConstant is the time within which the difference between the served share and
	// its initial value decays to 1/e. A crowd changes within seconds.
	outcomesTimeConstant = 10 * time.Second
	// probeShare is the share of the jobs without a chance that are offered all the same, so that
	// a wrong or outdated estimate shows.
	probeShare = 0.05
)

// classOf returns the class of an offer of a job to a group whose waits are known.
func classOf(route string, g *groupWait) offerClass {
	c := offerClass{route: route}
	for c.pressure < pressureClass(len(pressureBounds)) && g.pressure >= pressureBounds[c.pressure] {
		c.pressure++
	}
	return c
}

// outcomes estimates for each class of offers which share of the jobs was served lately.
type outcomes struct {
	mu      sync.Mutex
	byClass map[offerClass]servedShare
}

// servedShare is a moving average as of a time.
type servedShare struct {
	share float64
	at    time.Time
}

// hasChance reports whether enough jobs of a class were served lately to offer another one.
func (o *outcomes) hasChance(c offerClass, now time.Time) bool {
	if c.pressure == 0 {
		return true
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.shareAt(c, now) >= minServedShare
}

// shareAt returns the served share of a class, decayed to the given time. The lock must be held.
func (o *outcomes) shareAt(c offerClass, now time.Time) float64 {
	initial := initialShares[c.pressure]
	s, found := o.byClass[c]
	if !found {
		return initial
	}
	return initial + (s.share-initial)*math.Exp(-now.Sub(s.at).Seconds()/outcomesTimeConstant.Seconds())
}

// record records whether a job of a class was served.
func (o *outcomes) record(c offerClass, served bool, now time.Time) {
	if c.pressure == 0 {
		return
	}
	outcome := 0.0
	if served {
		outcome = 1
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	share := o.shareAt(c, now)
	if o.byClass == nil {
		o.byClass = map[offerClass]servedShare{}
	}
	o.byClass[c] = servedShare{share + outcomeWeight*(outcome-share), now}
}
