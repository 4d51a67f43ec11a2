package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// Two cases: an instance is frozen, and customers cancel jobs on the connections that they have to it.
// When it wakes, it answers that there is no such job, but the jobs go on at other instances. In the
// first case it owned the upstreams before the freeze, and takes itself for their owner still. In the
// second case it is a spoke of a large zone, which knows no upstreams and relies on the hubs.

const (
	wakeUpstreams = 4
	wakeJobs      = 12

	wakeFreeze   = 3 * time.Second         // node_freeze, for_s
	wakeSubmitAt = 1200 * time.Millisecond // from the beginning of the freeze
	wakeCancelAt = 2200 * time.Millisecond

	ownerInstances = 3
	// fullMeshInstances is the largest number of instances of a zone without spokes.
	fullMeshInstances = 12
	// maxAdded limits the number of instances that are added until one is a spoke.
	maxAdded = 6
)

// runWakeOwner runs the case of the owner.
func runWakeOwner(b *bench) ([]string, error) {
	if err := b.startZone(ownerInstances); err != nil {
		return nil, err
	}
	frozen, err := b.findInstance(func(log string) bool { return strings.Contains(log, `"group_taken"`) })
	if err != nil {
		return nil, err
	}
	return b.cancelAtFrozen(frozen)
}

// runWakeSpoke runs the case of the spoke. It is an instance that was added to a running zone.
func runWakeSpoke(b *bench) ([]string, error) {
	if err := b.startZone(fullMeshInstances); err != nil {
		return nil, err
	}
	for n := range maxAdded {
		i, err := b.addInstance(fmt.Sprintf("z0-%d", fullMeshInstances+n), "z0")
		if err != nil {
			return nil, err
		}
		if err := i.waitReady(); err != nil {
			return nil, err
		}
		time.Sleep(warmUp)
		log, err := i.log()
		if err != nil {
			return nil, err
		}
		lastChange := log[strings.LastIndex(log, `"neighbours_changed"`)+1:]
		if strings.Contains(lastChange, `"hub":false`) {
			return b.cancelAtFrozen(i)
		}
	}
	return nil, errors.New("no added instance has become a spoke")
}

// startZone starts a number of instances and the upstreams of the only zone.
func (b *bench) startZone(instances int) error {
	if err := b.configure(1); err != nil {
		return err
	}
	b.store.SetFault(standin.NoFault, storeResponse)
	for n := range wakeUpstreams {
		if _, err := b.addUpstream(fmt.Sprintf("u%d", n+1), "z0", largeKind, cancelTaskCPU, nil); err != nil {
			return err
		}
	}
	for n := range instances {
		if _, err := b.addInstance(fmt.Sprintf("z0-%d", n), "z0"); err != nil {
			return err
		}
	}
	if err := b.waitReady(); err != nil {
		return err
	}
	time.Sleep(warmUp)
	return nil
}

// findInstance returns the first instance with a log that matches.
func (b *bench) findInstance(matches func(log string) bool) (*instance, error) {
	for _, i := range b.instances {
		log, err := i.log()
		if err != nil {
			return nil, err
		}
		if matches(log) {
			return i, nil
		}
	}
	return nil, errors.New("no instance is what the case needs")
}

// cancelAtFrozen freezes an instance, submits jobs to the others, and cancels the jobs at the frozen
// instance before it wakes.
func (b *bench) cancelAtFrozen(frozen *instance) ([]string, error) {
	var others []*instance
	for _, i := range b.instances {
		if i != frozen {
			others = append(others, i)
		}
	}
	connected := make([]*customer, wakeJobs)
	jobs := make([]standin.Job, wakeJobs)
	for n := range jobs {
		jobs[n] = standin.Job{ID: fmt.Sprintf("%016x", n+1), Tasks: 1, MilliCPU: cancelTaskCPU, TaskDuration: cancelTask}
		connected[n] = b.newCustomer()
		connected[n].do(http.MethodGet, frozen, jobs[n].ID, nil, time.Second) // opens the connection
	}
	frozenAt := time.Now()
	if b.trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Until(frozenAt.Add(wakeSubmitAt)))
	var customers, cancels sync.WaitGroup
	for n, job := range jobs {
		customers.Go(func() {
			c := b.newCustomer()
			defer c.http.CloseIdleConnections()
			c.submit(others[n%len(others)], job, cancelDeadline)
		})
	}
	time.Sleep(time.Until(frozenAt.Add(wakeCancelAt)))
	var mu sync.Mutex
	var violations []string
	for n, job := range jobs {
		cancels.Go(func() {
			if v := b.cancelAndCheck(connected[n], frozen, job); v != "" {
				mu.Lock()
				defer mu.Unlock()
				violations = append(violations, v)
			}
		})
	}
	time.Sleep(time.Until(frozenAt.Add(wakeFreeze)))
	if b.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	cancels.Wait()
	customers.Wait()
	return violations, nil
}
