package node

import (
	"time"

	"github.com/sedgehatch/sedgehatch/membership"
)

// The timings of an instance, in one list: several of them have to fit together.

// Heartbeats.

const (
	// presenceEvery is how often peers hear of this instance, and joinEvery
	// that while the upstreams of a group that it has just taken join.
	presenceEvery = 100 * time.Millisecond
	// farEvery is the same for far neighbours: bytes between availability
	// zones have a price, and a large zone has many instances.
	farEvery  = 250 * time.Millisecond
	joinEvery = 20 * time.Millisecond
	joinTime  = 400 * time.Millisecond
	// dialTimeout bounds opening a connection to a peer: a round trip takes
	// about a millisecond, and a lost opening packet is sent again only after
	// seconds.
	dialTimeout = 250 * time.Millisecond
	// settleTime is how long a new instance listens at most before it owns
	// anything: peers that live answer within a few round trips, and after a
	// restart of all every moment is one without service.
	settleTime = 200 * time.Millisecond
	// busySettleTime is the same while a peer accepts connections and says
	// nothing yet: it runs, and may own what this instance would take from it. At
	// the start of all, a small instance stands still for most of a second.
	busySettleTime = 2 * time.Second
	// seedAfter is when an instance without peers tries those of its settings.
	seedAfter = 100 * time.Millisecond
)

// silence bounds how long a peer may be silent: a job of an instance that is
// lost must be stopped well before its customer sends it again.
var silence = membership.Config{SuspectMs: 350, DeadMs: 600, FarFactor: 2}

// yieldDial is how long the instance of two whose name sorts last leaves opening
// a connection to the other: one between them is enough.
const yieldDial = 30 * time.Millisecond

// tellDrains is how long a drain is passed on: every peer has heard of it then,
// or reads it in the store.
const tellDrains = 3 * time.Second

// relayEvery is how often a hub passes on what it hears of owners in other
// availability zones.
const relayEvery = 500 * time.Millisecond

// Loads of owners.

// staleLoad is how old the load report of an owner may be for jobs to go there while
// others can take them: it is about to be found lost.
const staleLoad = 350 * time.Millisecond

const (
	// staleRelayed is staleLoad for what a hub passes on, which comes that
	// much later.
	staleRelayed = staleLoad + relayEvery + farEvery
	// forgetRelayed is when an owner that no hub speaks of is forgotten.
	forgetRelayed = 3 * time.Second
	// useTime is how long the owner of an offer counts as in use after it.
	useTime = 5 * time.Second
)

// The store.

const (
	// shortConfigWatchWait bounds a watch on the configuration of the first hubs of an
	// availability zone: an answer that is lost is noticed that late, and versions
	// must be in force within seconds. configWait is that of the other instances.
	shortConfigWatchWait = 900 * time.Millisecond
	hubConfigWatchWait   = 3 * time.Second
	// upstreamWatchWait and peerWait bound the other watches.
	upstreamWatchWait = 1500 * time.Millisecond
	hubPeerWatchWait  = 3 * time.Second
	// spokeWatchWait bounds the watches of an instance that hears several hubs: what a lost
	// answer would have told comes with their heartbeats. Most calls to the store are such
	// watches that end without anything to tell.
	spokeWatchWait = 15 * time.Second
	// The entries of upstreams change with every heartbeat, so that a watch
	// returns at once. An owner must hear soon that an upstream drains; others
	// only need the list for a takeover.
	ownerRest   = 400 * time.Millisecond
	standbyRest = 1200 * time.Millisecond
	// roughRest is how often an instance that only stands by for larger ones reads
	// all upstreams, for the case that it must own them while the store is away: an
	// entry is some 400 bytes on the wire, and there are some thousand.
	roughRest = 30 * time.Second
	// listFirst is how long a new instance waits for the list of instances before it reads
	// the upstreams: the store answers in milliseconds, and one that is slow must not
	// delay a small zone.
	listFirst = 100 * time.Millisecond
	// standbyFirst is how long a new instance leaves the upstreams to larger ones that
	// are listed: those own something by then, or are known not to run.
	standbyFirst = busySettleTime
	// firstRetry and longestRetry bound the pause after a failed call to the
	// store.
	firstRetry = 50 * time.Millisecond
	// neededPoll is how often a follower looks whether its keys are needed.
	neededPoll   = 50 * time.Millisecond
	longestRetry = 700 * time.Millisecond
)

// shortConfigWatchers is how many instances of an availability zone watch the configuration
// closely: one may be lost, and another cut off from the store, at the same time.
const shortConfigWatchers = 3

const (
	// registrationTTL is how long the entry of a lost instance stays. Peers
	// find each other by it, and one that is cut off from them sees by it that
	// they live.
	registrationTTL = 4 * time.Second
	// renewEvery keeps the entry through a lost renewal or two.
	renewEvery = 1200 * time.Millisecond
)

// A planned stop.

const (
	// drainPoll is how often a planned stop looks whether it is done.
	drainPoll = 20 * time.Millisecond
	// minDrain is how long customers may still come after a planned stop
	// began: the platform asks once a second and believes the second refusal.
	minDrain = 3200 * time.Millisecond
	// graceMargin is kept of the grace for the end itself, and flushTime of
	// that for the last answers.
	graceMargin = 500 * time.Millisecond
	flushTime   = 50 * time.Millisecond
)
