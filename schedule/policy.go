package schedule

// Policy switches the rules by which a pool decides. The laboratory measures
// what each of them is worth; the product runs with all of DefaultPolicy.
type Policy struct {
	// EarliestFirst starts first what must start soonest to be in time; without
	// it, what was offered first.
	EarliestFirst bool
	// BegunFirst puts jobs of which something began before others.
	BegunFirst bool
	// GiveUp ends jobs that cannot end while that is of use, though something of
	// them began.
	GiveUp bool
	// MoveSlow stops runs that crawl or stand still, and starts them elsewhere.
	MoveSlow bool
	// DoubtFailing, DoubtRefusing and DoubtSlow leave alone for a while the
	// upstreams whose tasks fail, that refuse starts, or that are slow.
	DoubtFailing  bool
	DoubtRefusing bool
	DoubtSlow     bool
	// SingleTrial gives one task only to an upstream that was left alone.
	SingleTrial bool
	// LearnTimes corrects declared times by those seen on the route, and
	// LearnJob by those of other tasks of the same job.
	LearnTimes bool
	LearnJob   bool
	// RejectEarly ends jobs of which nothing began once they are expected to end
	// late.
	RejectEarly bool
	// WholeJobs starts no task of a job before all of it is expected to start
	// in time.
	WholeJobs bool
	// ComparePeers takes reports that do not come for the fault of an upstream
	// only where its peers answer.
	ComparePeers bool
	// LookOverdue asks for a report where an end is overdue and reports get lost.
	LookOverdue bool
	// LearnSpeed keeps tasks from upstreams that are slower than their peers.
	LearnSpeed bool
}

// DefaultPolicy is the policy of the product.
var DefaultPolicy = Policy{
	EarliestFirst: true, BegunFirst: true, GiveUp: true,
	MoveSlow: true, DoubtFailing: true, DoubtRefusing: true, DoubtSlow: true, SingleTrial: true,
	LearnTimes: true, LearnJob: true, RejectEarly: true, WholeJobs: true, ComparePeers: true, LookOverdue: true, LearnSpeed: true,
}
