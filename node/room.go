package node

import "github.com/sedgehatch/sedgehatch/schedule"

// RoomUsed implements owner.Observer. It counts the CPU time of the groups that this instance
// owns by its use, in core-milliseconds, while they are crowded.
func (n *Node) RoomUsed(use schedule.RoomUse) {
	use.Each(func(cause schedule.RoomCause, coreMs int64) { n.metrics.Add("room_"+cause.String()+"_core_ms", coreMs) })
}
