package schedule

// Policy switches the rules by which a pool decides. Package lab measures the effect
// of each rule; in production all of them are on, as in DefaultPolicy.
type Policy struct {
	// EarliestFirst starts jobs in the order of the latest start with which they
	// still meet their objective. Without it, they start in the order of their
	// offers.
	EarliestFirst bool
	// BegunFirst puts jobs with tasks that have started before all others.
	BegunFirst bool
	// GiveUp ends jobs that can no longer finish while their result is of use, also
	// if tasks of them have started.
	GiveUp bool
	// MoveSlow stops runs that are stalled or far slower than expected, and starts
	// their tasks on other upstreams.
	MoveSlow bool
	// DoubtFailing, DoubtRefusing and DoubtSlow eject upstreams on which tasks fail,
	// that refuse starts, and on which runs are slow: they get no work for some time.
	DoubtFailing  bool
	DoubtRefusing bool
	DoubtSlow     bool
	// SingleTrial limits an ejected upstream to one task at a time until a task
	// succeeds there.
	SingleTrial bool
	// LearnTimes corrects the declared duration of tasks by the durations measured on
	// the same route, and LearnJob by those of other tasks of the same job.
	LearnTimes bool
	LearnJob   bool
	// RejectEarly ends jobs that have not started as soon as they are expected to
	// finish late.
	RejectEarly bool
	// WholeJobs starts the tasks of a job only once all of them are expected to
	// start in time.
	WholeJobs bool
	// ComparePeers raises the number of missing reports after which an upstream
	// counts as silent while reports of its peers are missing as well.
	ComparePeers bool
	// LookOverdue polls an upstream where the end of a run is overdue while reports
	// are being lost.
	LookOverdue bool
	// LearnSpeed avoids upstreams on which tasks take longer than on their peers.
	LearnSpeed bool
}

// DefaultPolicy is the policy used in production: all rules are on.
var DefaultPolicy = Policy{
	EarliestFirst: true, BegunFirst: true, GiveUp: true,
	MoveSlow: true, DoubtFailing: true, DoubtRefusing: true, DoubtSlow: true, SingleTrial: true,
	LearnTimes: true, LearnJob: true, RejectEarly: true, WholeJobs: true, ComparePeers: true, LookOverdue: true, LearnSpeed: true,
}
