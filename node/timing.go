package node

import (
	"time"

	"github.com/sedgehatch/sedgehatch/membership"
)

// The timings of an instance, in one list: several of them have to fit together.

// Heartbeats.

const (
	// heartbeatInterval is how often peers hear of this instance, and joinEvery
	// that while the upstreams of a group that it has just taken join.
	heartbeatInterval = 100 * time.Millisecond
	// farHeartbeatInterval is the same for far neighbours: bytes between availability
	// zones have a price, and a large zone has many instances.
	farHeartbeatInterval  = 250 * time.Millisecond
	joinHeartbeatInterval = 20 * time.Millisecond
	joinPeriod            = 400 * time.Millisecond
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
	// seedDelay is when an instance without peers tries those of its settings.
	seedDelay = 100 * time.Millisecond
)

// silenceLimits bounds how long a peer may be silent: a job of an instance that is
// lost must be stopped well before its customer sends it again.
var silenceLimits = membership.Config{SuspectMs: 350, DeadMs: 600, FarFactor: 2}

// dialYieldDelay is how long the instance of two whose name sorts last leaves opening
// a connection to the other: one between them is enough.
const dialYieldDelay = 30 * time.Millisecond

// recentChangePeriod is how long a drain is passed on: every peer has heard of it then,
// or reads it in the store.
const recentChangePeriod = 3 * time.Second

// relayInterval is how often a hub passes on what it hears of owners in other
// availability zones.
const relayInterval = 500 * time.Millisecond

// Loads of owners.

// maxLoadAge is how old the load report of an owner may be for jobs to go there while
// others can take them: it is about to be found lost.
const maxLoadAge = 350 * time.Millisecond

const (
	// maxRelayedLoadAge is staleLoad for what a hub passes on, which comes that
	// much later.
	maxRelayedLoadAge = maxLoadAge + relayInterval + farHeartbeatInterval
	// relayedOwnerExpiry is when an owner that no hub speaks of is forgotten.
	relayedOwnerExpiry = 3 * time.Second
	// activeOwnerPeriod is how long the owner of an offer counts as in use after it.
	activeOwnerPeriod = 5 * time.Second
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
	ownerReadPause   = 400 * time.Millisecond
	standbyReadPause = 1200 * time.Millisecond
	// fullReadInterval is how often an instance that only stands by for larger ones reads
	// all upstreams, for the case that it must own them while the store is away: an
	// entry is some 400 bytes on the wire, and there are some thousand.
	fullReadInterval = 30 * time.Second
	// peerListTimeout is how long a new instance waits for the list of instances before it reads
	// the upstreams: the store answers in milliseconds, and one that is slow must not
	// delay a small zone.
	peerListTimeout = 100 * time.Millisecond
	// standbyDelay is how long a new instance leaves the upstreams to larger ones that
	// are listed: those own something by then, or are known not to run.
	standbyDelay = busySettleTime
	// minRetryPause and longestRetry bound the pause after a failed call to the
	// store.
	minRetryPause = 50 * time.Millisecond
	// modePollInterval is how often a follower looks whether its keys are needed.
	modePollInterval = 50 * time.Millisecond
	maxRetryPause    = 700 * time.Millisecond
)

// shortConfigWatchers is how many instances of an availability zone watch the configuration
// closely: one may be lost, and another cut off from the store, at the same time.
const shortConfigWatchers = 3

const (
	// registrationTTL is how long the entry of a lost instance stays. Peers
	// find each other by it, and one that is cut off from them sees by it that
	// they live.
	registrationTTL = 4 * time.Second
	// registrationRenewInterval keeps the entry through a lost renewal or two.
	registrationRenewInterval = 1200 * time.Millisecond
)

// A planned stop.

const (
	// drainPollInterval is how often a planned stop looks whether it is done.
	drainPollInterval = 20 * time.Millisecond
	// minDrainTime is how long customers may still come after a planned stop
	// began: the platform asks once a second and believes the second refusal.
	minDrainTime = 3200 * time.Millisecond
	// graceMargin is kept of the grace for the end itself, and flushTime of
	// that for the last answers.
	graceMargin       = 500 * time.Millisecond
	responseFlushTime = 50 * time.Millisecond
)
