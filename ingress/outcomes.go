package ingress

import (
	"math"
	"sync"
	"time"
)

// offerClass groups offers of jobs that wait for capacity, in so far as their chances to be served
// are alike. How well reported waits predict the start of a job depends on the route: owners start
// the jobs with the shortest objectives first. It also depends on the size of the tasks: capacity
// that becomes free in small pieces is of no use to a large task. And it depends on the number of
// owners that have refused the job, each after it has waited there.
type offerClass struct {
	route    string
	refusals int // number of owners that have refused the job, at most maxClassRefusals
	pressure pressureClass
	large    bool // the tasks are much larger than usual
}

// pressureClass classifies groupWait.pressure.
type pressureClass int

const (
	inTime   pressureClass = iota // up to 1
	late                          // up to veryLatePressure
	veryLate                      // above
)

const (
	// veryLatePressure is the pressure above which a job would start far too late.
	veryLatePressure = 2.0
	// largeTaskFactor is how many times the usual CPU demand a large task needs at least. Tasks
	// of a route differ by about 20%, so that few are large.
	largeTaskFactor = 1.5
	// maxClassRefusals bounds offerClass.refusals. After more refusals, the chances are alike.
	maxClassRefusals = 2
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

// initialShares are the served shares that are assumed before outcomes are known.
var initialShares = map[pressureClass]float64{inTime: 0.5, late: 0.3, veryLate: 0.15}

// newOfferClass returns the class of an offer of a job to a group whose waits are known.
func newOfferClass(route string, refusals int, g *groupWait, milliCPU int64) offerClass {
	c := offerClass{route: route, refusals: min(refusals, maxClassRefusals)}
	c.large = float64(milliCPU) > largeTaskFactor*float64(g.load.Waits.TaskMilliCPU)
	switch {
	case g.pressure > veryLatePressure:
		c.pressure = veryLate
	case g.pressure > 1:
		c.pressure = late
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

// servedShare returns the served share of a class.
func (o *outcomes) servedShare(c offerClass, now time.Time) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.decayed(c, now)
}

// decayed returns the served share of a class, decayed to the given time. The lock must be held.
func (o *outcomes) decayed(c offerClass, now time.Time) float64 {
	initial := initialShares[c.pressure]
	s, found := o.byClass[c]
	if !found {
		return initial
	}
	return initial + (s.share-initial)*math.Exp(-now.Sub(s.at).Seconds()/outcomesTimeConstant.Seconds())
}

// record records whether a job was served after an offer.
func (o *outcomes) record(c offerClass, served bool, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	outcome := 0.0
	if served {
		outcome = 1
	}
	share := o.decayed(c, now)
	if o.byClass == nil {
		o.byClass = map[offerClass]servedShare{}
	}
	o.byClass[c] = servedShare{share + outcomeWeight*(outcome-share), now}
}
