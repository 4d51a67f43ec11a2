package node

import (
	"time"

	"github.com/sedgehatch/sedgehatch/membership"
)

// This file holds the timings of an instance in one place, because several of them depend on
// each other.

// Heartbeats.

const (
	// heartbeatInterval is the interval of heartbeats between near neighbours, which are the
	// hubs of one zone.
	heartbeatInterval = 100 * time.Millisecond
	// farHeartbeatInterval is the interval of heartbeats to all other neighbours. It is
	// longer because traffic between zones is charged for, and because a large zone has
	// many instances.
	farHeartbeatInterval = 250 * time.Millisecond
	// joinHeartbeatInterval is the interval of heartbeats during joinPeriod, which begins
	// when this instance takes a group. In that time the upstreams of the group accept this
	// instance, and the load that its heartbeats report changes quickly.
	joinHeartbeatInterval = 20 * time.Millisecond
	joinPeriod            = 400 * time.Millisecond
	// dialTimeout is the time limit for opening a connection to a peer. A round trip takes
	// about 1 ms. If the SYN packet is lost, it is faster to dial again than to wait for
	// its retransmission, which takes seconds.
	dialTimeout = 250 * time.Millisecond
	// heartbeatWait is how long a new instance waits for the heartbeats of its peers before
	// it takes groups. Running peers send theirs within a few round trips. A longer wait
	// prolongs a restart of the whole fleet, in which no task runs until groups are taken.
	heartbeatWait = 200 * time.Millisecond
	// busyPeerWait is how long a new instance waits before it takes groups if a peer
	// accepts connections but has not sent a heartbeat yet. Such a peer is running, and may
	// own the groups. When the whole fleet starts, a small instance is unresponsive for most
	// of a second.
	busyPeerWait = 2 * time.Second
	// seedDelay is the age at which an instance that knows no peers contacts the seed
	// peers of its settings.
	seedDelay = 100 * time.Millisecond
)

// silenceLimits holds the times in milliseconds without a heartbeat after which a peer is suspected
// and considered dead. For far neighbours both are doubled, because their heartbeats are rarer. The
// tasks of a lost instance should be stopped well before its customers submit their jobs again. The
// leases of coordinators ensure that they are, also where this instance stalls and detects it later.
var silenceLimits = membership.Config{SuspectMs: 350, DeadMs: 600, FarFactor: 2}

// dialYieldDelay is how long an instance waits before it dials a peer whose name sorts before
// its own. The peer may dial first, and one connection between the two is enough.
const dialYieldDelay = 30 * time.Millisecond

// recentChangePeriod is how long heartbeats report that an upstream is draining or has changed
// its capacity. By then every peer has received the report or reads the change from the store.
const recentChangePeriod = 3 * time.Second

// relayInterval is the interval at which a hub relays owners in other zones to the spokes of
// its zone.
const relayInterval = 500 * time.Millisecond

// Cancellations.

const (
	// How long to wait for the reply to a cancellation: of a spoke, of a hub that waits for
	// spokes, and of a hub that waits for other hubs.
	cancelSpokeTimeout = 150 * time.Millisecond
	cancelHubTimeout   = 300 * time.Millisecond
	cancelRelayTimeout = 500 * time.Millisecond
	// cancelPatience is how long a cancellation is tried again, every cancelRetryDelay, because
	// the owner of a group has not replied. A lost owner is replaced within about that time.
	cancelPatience   = time.Second
	cancelRetryDelay = 200 * time.Millisecond
)

// Loads of owners.

// maxLoadAge is the maximum age of an owner's last load report at which jobs are offered to it
// while other owners can take them. An older report means that the owner may be lost.
const maxLoadAge = 350 * time.Millisecond

const (
	// maxRelayedLoadAge takes the place of maxLoadAge for reports that a hub relays. They may
	// arrive later by the interval of relays plus that of heartbeats between zones.
	maxRelayedLoadAge = maxLoadAge + relayInterval + farHeartbeatInterval
	// relayedOwnerExpiry is the age of the last relayed report of an owner at which this
	// instance forgets that owner.
	relayedOwnerExpiry = 3 * time.Second
	// activeOwnerPeriod is how long an instance counts as an active owner after the last
	// offer was sent to it.
	activeOwnerPeriod = 5 * time.Second
)

// Reads of the store.

const (
	// shortConfigWatchWait is how long the store may keep a watch on the configuration
	// open for the first hubs of a zone. If a response is lost, they notice that only
	// after this time, and a new version must be in use within seconds.
	shortConfigWatchWait = 900 * time.Millisecond
	// hubConfigWatchWait is how long the store may keep a watch on the configuration open
	// for the other hubs.
	hubConfigWatchWait = 3 * time.Second
	// upstreamWatchWait is how long the store may keep a watch on the upstreams open.
	upstreamWatchWait = 1500 * time.Millisecond
	// hubPeerWatchWait is how long the store may keep a watch on the list of instances open
	// for hubs.
	hubPeerWatchWait = 3 * time.Second
	// spokeWatchWait is how long the store may keep a watch on the configuration or the
	// list of instances open for a spoke that receives heartbeats from several hubs. It may
	// be long because these heartbeats also bring what a lost response contained. A long time
	// saves many calls to the store, most of which are watches that end without changes.
	spokeWatchWait = 15 * time.Second
	// ownerReadPause is the pause between reads of the upstreams on an instance that owns
	// groups, and standbyReadPause on one that does not. Without a pause there would be one
	// read after the other: each upstream changes its entry with each of its heartbeats, so
	// that a watch returns at once. An owner must learn soon that an upstream drains; other
	// instances need the list only when they take a group.
	ownerReadPause   = 400 * time.Millisecond
	standbyReadPause = 1200 * time.Millisecond
	// fullReadInterval is how often a standby instance reads all upstreams. Such an instance
	// takes groups only when larger instances are lost, and must know the upstreams then
	// even if the store is unavailable. The interval is long because there are some thousand
	// entries, of some 400 bytes each on the wire.
	fullReadInterval = 30 * time.Second
	// maxUpstreamListAge is the age of the last read of the upstreams from which on an instance
	// that owns groups requests theirs from its peers, every upstreamRequestInterval until it can
	// read them again. Usually the store responds every upstreamWatchWait plus ownerReadPause at
	// the latest.
	maxUpstreamListAge      = 2500 * time.Millisecond
	upstreamRequestInterval = time.Second
	// peerListTimeout is how long a new instance waits for the list of instances before it
	// reads the upstreams. Normally the list arrives within milliseconds, and shows that most
	// instances of a large zone need not read the upstreams. In a small zone all may need
	// them, and a longer wait for a slow store would only delay the start.
	peerListTimeout = 100 * time.Millisecond
	// standbyDelay is the age up to which an instance reads no upstreams while larger
	// instances are listed. After that time, the larger instances own the groups or are known
	// not to run.
	standbyDelay = busyPeerWait
	// minRetryPause is the first pause after a failed call to the store.
	minRetryPause = 50 * time.Millisecond
	// modePollInterval is how often a storeFollower that does not follow continuously
	// checks whether its mode has changed.
	modePollInterval = 50 * time.Millisecond
	// maxRetryPause is the longest pause between retries of a failed call to the store.
	maxRetryPause = 700 * time.Millisecond
)

// shortConfigWatchers is the number of instances of a zone that use shortConfigWatchWait. It
// is 3 because one may be lost and another partitioned from the store at the same time.
const shortConfigWatchers = 3

const (
	// registrationTTL is the time to live of an instance's entry in the store, and so how
	// long the entry of a lost instance stays there. Peers find each other by their entries,
	// and an instance that receives no heartbeats concludes from the entries of its peers
	// that it is partitioned from them.
	registrationTTL = 4 * time.Second
	// registrationRenewInterval is the interval at which an instance renews the lease of its
	// entry. It is short enough for the entry to outlast one or two lost renewals.
	registrationRenewInterval = 1200 * time.Millisecond
)

// Planned shutdown.

const (
	// drainPollInterval is how often a planned shutdown checks whether it is complete.
	drainPollInterval = 20 * time.Millisecond
	// minDrainTime is the minimum duration of a planned shutdown, because new customers still
	// arrive at its beginning: the platform probes the readiness once a second, and stops
	// sending customers after the second failed probe.
	minDrainTime = 3200 * time.Millisecond
	// A planned shutdown stops waiting for jobs graceMargin before the end of the grace
	// period. The process then waits responseFlushTime for the last responses to be sent,
	// and has the rest of the margin to end.
	graceMargin       = 500 * time.Millisecond
	responseFlushTime = 50 * time.Millisecond
)
