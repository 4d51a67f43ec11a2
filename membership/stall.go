package membership

// stallShare is the fraction of SuspectMs for which a stall counts as silence of the peers. It is
// more than nothing, so that a process that stalls again and again still finds lost peers, and
// small enough that a stall alone makes no peer Suspect.
const stallShare = 0.5

// DetectStall is called ahead of each Tick, with the same time. If the last Tick was SuspectMs ago
// or longer, this process stalled: it was not scheduled, and so could neither receive heartbeats
// nor tell silent peers from itself. DetectStall then returns the length of the stall, in
// milliseconds, and counts it as silence of the peers only for stallShare of SuspectMs: by the
// time that a peer is considered Dead, the heartbeats that wait on the connections have been read.
func (t *Table) DetectStall(now int64) (stalledMs int64) {
	gap := now - t.lastTickMs
	if t.lastTickMs == 0 || gap < t.cfg.SuspectMs {
		return 0
	}
	excused := gap - int64(stallShare*float64(t.cfg.SuspectMs))
	for _, p := range t.sorted {
		p.lastHeartbeatMs = min(p.lastHeartbeatMs+excused, now)
	}
	return gap
}
