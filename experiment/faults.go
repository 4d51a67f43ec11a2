package experiment

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/standin"
)

// faultKinds holds the functions that inject faults, by the kind that a scenario
// names. Each returns a function that ends the fault, or nil if the fault has
// nothing that can be ended.
var faultKinds = map[string]func(c *Cluster, n *Network, f *FaultSection) func(){
	"kill_entry": killEntries,
	"stop_entry": stopEntries,
	"rolling":    rollingRestart,
	"losses":     killInTurn,
	"fail_all":   upstreamFault(func(u *standin.Upstream, on bool, _ int64) { u.Faults.FailAll.Store(on) }),
	"straggle": upstreamFault(func(u *standin.Upstream, on bool, factor int64) {
		u.Faults.SlowdownFactor.Store(factorIfOn(on, factor))
	}),
	"drop_answers": upstreamFault(func(u *standin.Upstream, on bool, _ int64) { u.Faults.DropAnswers.Store(on) }),
	"drop_starts":  upstreamFault(func(u *standin.Upstream, on bool, _ int64) { u.Faults.DropStarts.Store(on) }),
	"leave":        upstreamFault(func(u *standin.Upstream, on bool, _ int64) { u.Faults.Leaving.Store(on) }),
	"vanish":       closeUpstreams,
	"platform":     startPlatformOutage,
	"cut":          isolateZone,
}

// factorIfOn returns factor while a fault is on, and otherwise 1, which leaves run
// times as they are.
func factorIfOn(on bool, factor int64) int64 {
	if on {
		return factor
	}
	return 1
}

// injectFaults injects and ends the scenario's faults at their times. If stop is
// closed before the last of these times, it heals the network, so that no data is
// held back any more, and returns without ending the other faults.
func (s *Scenario) injectFaults(c *Cluster, n *Network, stop chan struct{}) {
	type scheduledAction struct {
		at  time.Duration
		run func()
	}
	var schedule []scheduledAction
	for i := range s.Faults {
		f := &s.Faults[i]
		var undo func()
		schedule = append(schedule, scheduledAction{seconds(f.At), func() { undo = faultKinds[f.Kind](c, n, f) }})
		if f.For > 0 {
			schedule = append(schedule, scheduledAction{seconds(f.At + f.For), func() {
				if undo != nil {
					undo()
				}
			}})
		}
	}
	slices.SortStableFunc(schedule, func(a, b scheduledAction) int { return cmp.Compare(a.at, b.at) })
	start := time.Now()
	for _, action := range schedule {
		select {
		case <-stop:
			n.Heal()
			return
		case <-time.After(action.at - time.Since(start)):
			action.run()
		}
	}
}

// killEntries ends the target entry instances abruptly. The function that it returns
// restarts them.
func killEntries(c *Cluster, _ *Network, f *FaultSection) func() {
	for _, name := range splitList(f.Target) {
		c.KillEntry(name)
	}
	return func() {
		for _, name := range splitList(f.Target) {
			_, _ = c.StartEntry(name)
		}
	}
}

// killInTurn kills f.Factor entry instances, one after another. It restarts each
// after downtime, and waits until all instances have discovered each other again
// before it kills the next one.
func killInTurn(c *Cluster, _ *Network, f *FaultSection) func() {
	const (
		downtime = 250 * time.Millisecond
		interval = 1250 * time.Millisecond
		stride   = 4 // distance in Names between one victim and the next, chosen so that their zones differ
	)
	for i := range f.Factor {
		name := c.Names()[int(i)*stride%len(c.Names())]
		c.KillEntry(name)
		time.Sleep(downtime)
		if _, err := c.StartEntry(name); err != nil {
			return nil
		}
		_ = c.AwaitMembers(len(c.Names()), 10*time.Second)
		time.Sleep(interval - downtime)
	}
	return nil
}

func stopEntries(c *Cluster, _ *Network, f *FaultSection) func() {
	for _, name := range splitList(f.Target) {
		c.StopEntry(context.Background(), name)
	}
	return func() {
		for _, name := range splitList(f.Target) {
			_, _ = c.StartEntry(name)
		}
	}
}

// rollingRestart shuts the entry instances down gracefully and restarts them, one
// after another.
func rollingRestart(c *Cluster, _ *Network, _ *FaultSection) func() {
	for _, name := range c.Names() {
		c.StopEntry(context.Background(), name)
		if _, err := c.StartEntry(name); err != nil {
			return nil
		}
		_ = c.AwaitMembers(len(c.Names()), 10*time.Second)
	}
	return nil
}

// upstreamFault returns a function for faultKinds whose fault is switched on and off
// by calling set for each target upstream.
func upstreamFault(set func(u *standin.Upstream, on bool, factor int64)) func(*Cluster, *Network, *FaultSection) func() {
	return func(c *Cluster, _ *Network, f *FaultSection) func() {
		targets := c.matchUpstreams(f.Target)
		for _, u := range targets {
			set(u, true, f.Factor)
		}
		return func() {
			for _, u := range targets {
				set(u, false, f.Factor)
			}
		}
	}
}

// matchUpstreams returns the upstreams that match one of the comma-separated
// targets. A target is the ID of an upstream, or the part of IDs before a hyphen, such
// as a zone.
func (c *Cluster) matchUpstreams(targets string) []*standin.Upstream {
	var list []*standin.Upstream
	for _, u := range c.Upstreams {
		id := u.Instance().ID
		if slices.ContainsFunc(splitList(targets), func(t string) bool { return id == t || strings.HasPrefix(id, t+"-") }) {
			list = append(list, u)
		}
	}
	return list
}

func closeUpstreams(c *Cluster, _ *Network, f *FaultSection) func() {
	for _, u := range c.matchUpstreams(f.Target) {
		u.Close()
	}
	return nil
}

func startPlatformOutage(c *Cluster, _ *Network, _ *FaultSection) func() {
	c.Platform.Faults.Down.Store(true)
	return func() { c.Platform.Faults.Down.Store(false) }
}

// isolateZone partitions the first target zone from the other zones and from the
// platform.
func isolateZone(c *Cluster, n *Network, f *FaultSection) func() {
	zones := splitList(f.Target)
	for _, z := range c.Spec.Zones {
		if z.Name != zones[0] {
			n.Partition(zones[0], z.Name)
		}
	}
	n.Partition(zones[0], platformZone)
	return n.Heal
}
