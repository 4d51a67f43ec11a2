package schedule

// Policy switches single rules of a pool's decisions on or off. Package lab measures the
// effect of each rule by switching it off; in production all are on, as in DefaultPolicy.
type Policy struct {
	// EarliestFirst starts jobs in the order of their latest start times, the times by
	// which they must start to meet their latency objectives. Without this rule they
	// start in the order in which they were offered.
	EarliestFirst bool
	// BegunFirst starts the waiting tasks of jobs that have begun before those of other
	// jobs. A job has begun once any of its tasks has started.
	BegunFirst bool
	// GiveUp ends jobs whose results would come too late to be of use, even if some of
	// their tasks have started.
	GiveUp bool
	// MoveSlow stops runs that are stalled or far slower than expected, and starts
	// their tasks on other upstreams.
	MoveSlow bool
	// DoubtFailing ejects upstreams on which tasks fail: they get no work for some time.
	// DoubtRefusing does the same with upstreams that refuse starts because of their
	// state, and DoubtSlow with those on which runs are slow or stalled.
	DoubtFailing  bool
	DoubtRefusing bool
	DoubtSlow     bool
	// SingleTrial limits an upstream whose ejection is over to one task at a time until a
	// task succeeds there.
	SingleTrial bool
	// LearnTimes corrects the declared duration of tasks by the measured durations of
	// tasks on the same route. LearnJob replaces it by the measured duration of a task of
	// the same job.
	LearnTimes bool
	LearnJob   bool
	// RejectEarly ends jobs that have not begun as soon as they are expected to finish
	// late.
	RejectEarly bool
	// WholeJobs starts the first task of a job only once all of its tasks are expected to
	// start in time.
	WholeJobs bool
	// ComparePeers raises the number of missing reports after which an upstream counts as
	// silent, while reports of other upstreams are missing as well.
	ComparePeers bool
	// LookOverdue polls upstreams for reports on runs that should have ended, while
	// reports are being lost.
	LookOverdue bool
	// LearnSpeed avoids upstreams on which tasks take longer than on the others.
	LearnSpeed bool
	// PlaceWhenDue looks for room for waiting tasks only at ticks and after inputs that may
	// have made any. Without it, every input does.
	PlaceWhenDue bool
	// MoveLeaving stops runs on upstreams that leave before these runs can end, and starts
	// their tasks on other upstreams, if they are expected to end sooner there.
	MoveLeaving bool
	// AdoptRuns lets runs that a former owner has started go on for a moment, and counts
	// those that are done for the offers that were lost with that owner.
	AdoptRuns bool
	// TellProgress tells coordinators which tasks of an offer are done while others are not, so
	// that they need not ask the next owner for these if this one is lost.
	TellProgress bool
	// FitBySize forecasts when tasks can start from the free resources of each upstream and the
	// demands of the tasks. Without this rule, the end of each run is capacity for one task.
	FitBySize bool
	// ChoosePartners chooses among several waiting tasks those that leave the least capacity of
	// an upstream free. Without this rule, tasks start strictly in the order of the queue.
	ChoosePartners bool
	// LastingSpeed takes into account that tasks always take longer or shorter on some
	// upstreams than on others: in expected durations, in what counts as slow, and in the
	// choice of upstreams for jobs that would be late on the slower ones.
	LastingSpeed bool
}

// DefaultPolicy is the policy used in production: all rules are on.
var DefaultPolicy = Policy{
	EarliestFirst: true, BegunFirst: true, GiveUp: true,
	MoveSlow: true, DoubtFailing: true, DoubtRefusing: true, DoubtSlow: true, SingleTrial: true,
	LearnTimes: true, LearnJob: true, RejectEarly: true, WholeJobs: true, ComparePeers: true, LookOverdue: true, LearnSpeed: true, PlaceWhenDue: true, MoveLeaving: true, AdoptRuns: true, TellProgress: true, FitBySize: true, ChoosePartners: true, LastingSpeed: true,
}
