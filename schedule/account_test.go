package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// poolOf returns a pool whose upstreams, named u0, u1 and so on, have the given CPU capacities and
// have sent their first reports.
func poolOf(cfg Config, milliCPU ...int64) *Pool {
	p := NewPool(cfg, 1)
	var list []fleet.Upstream
	for i, cpu := range milliCPU {
		list = append(list, fleet.Upstream{ID: fmt.Sprintf("u%d", i), Service: "s", Capacity: fleet.Resources{MilliCPU: cpu}})
	}
	p.SetUpstreams(startTime, list)
	for _, u := range list {
		p.HandleHoldResponse(startTime, u.Incarnation(), startTime, fleet.Report{}, nil)
	}
	return p
}

// offerOf returns an offer that may queue for long.
func offerOf(id string, milliCPU int64, tasks int, took time.Duration) Offer {
	o := Offer{
		Key: JobKey{"home", id, 1}, Service: "s", Route: "r", Demand: fleet.Resources{MilliCPU: milliCPU}, Estimate: took,
		MaxAttempts: 2, Stretch: 1.6, Slack: time.Minute, Timeout: time.Minute, MayQueue: true,
	}
	for i := range tasks {
		o.Tasks = append(o.Tasks, i)
	}
	return o
}

// TestRoomByCause checks that the account divides the capacity of all upstreams by cause, and that
// it stays empty while nothing waits.
func TestRoomByCause(t *testing.T) {
	p := poolOf(DefaultConfig, 16000, 16000, 16000, 16000)
	started := p.Offer(startTime, offerOf("a", 10000, 4, time.Second)).Starts
	if use := p.Tick(startTime.Add(20 * time.Millisecond)).Room; use.Total() != 0 {
		t.Errorf("nothing waits, but the account is %v", use)
	}
	now := startTime.Add(25 * time.Millisecond)
	for _, s := range started[:2] {
		p.HandleStartResponse(now, s.Upstream.Incarnation(), s.Order.Run, fleet.NotRefused, nil)
	}
	p.Offer(now, offerOf("b", 8000, 1, time.Second)) // fits nowhere
	p.upstreams["u2"].silent = true
	p.upstreams["u3"].health = health{ejected: true, ejectedUntil: startTime.Add(time.Second)}
	use := p.Tick(startTime.Add(30 * time.Millisecond)).Room
	want := RoomUse{RoomBusy: 200, RoomStarting: 100, RoomFragments: 120, RoomSilent: 160, RoomEjected: 60}
	if use != want {
		t.Errorf("the account of 10 ms is %v, want %v", use, want)
	}
	if use.Total() != 640 {
		t.Errorf("the sum over all causes is %d, want 10 ms of 64 cores", use.Total())
	}
}
