package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

const (
	storeDelay     = 4 * time.Millisecond
	slowStoreDelay = 60 * storeDelay
	slowStoreTime  = 4500 * time.Millisecond
	// firstProbe is when the platform first asks the restarted process whether it is ready. It asks
	// again every probeInterval.
	firstProbe    = 80 * time.Millisecond
	probeInterval = time.Second
	// maxCancelTime is cancel_ms, and contactTime is ContactMs.
	maxCancelTime = 3 * time.Second
	contactTime   = 3 * time.Second
	cancelledJobs = 6
	// longTask is how long each run of the cancelled jobs takes.
	longTask = 12 * time.Second
	// patience is how long the customers of these jobs wait.
	patience = 30 * time.Second
)

// playCancelAfterRestart restarts one instance as planned while the store is slow. As soon as the
// instance is ready, customers cancel jobs there that run for another instance.
func playCancelAfterRestart(r *record, trouble bool) (bool, error) {
	in, err := newInstallation(map[string]zoneSize{"a": {2, 4}, "b": {2, 4}})
	if err != nil {
		return false, err
	}
	defer in.close()
	for _, zone := range in.upstreams {
		for _, u := range zone {
			u.WithModel(func(m *standin.UpstreamModel) { m.ShouldFail = func(run fleet.Run) bool { return run.Number == 1 } })
		}
	}
	in.store.SetFault(standin.NoFault, storeDelay)
	if err := in.startAll(); err != nil {
		return false, err
	}
	restarted, others := in.instances["b"][0], in.instances["a"]
	var answers sync.WaitGroup
	for i := range cancelledJobs {
		coordinator := others[i%len(others)]
		answers.Go(func() {
			job := standin.Job{ID: jobID(i), Tasks: 1, MilliCPU: taskMilliCPU, TaskDuration: longTask}
			r.add("job %s is sent to %s", job.ID, coordinator.name)
			status, body, err := call(newCustomer(), http.MethodPost, coordinator, job.ID, job.Body(), patience)
			r.add("job %s: status %d %s %v", job.ID, status, body, err)
		})
	}
	if err := in.waitRunning(cancelledJobs); err != nil {
		return false, err
	}
	if trouble {
		in.store.SetFault(standin.NoFault, slowStoreDelay)
		slow := time.AfterFunc(slowStoreTime, func() {
			in.store.SetFault(standin.NoFault, storeDelay)
			r.add("the store is no longer slow")
		})
		defer slow.Stop()
		r.add("the store is slow")
	}
	restarted.signal(syscall.SIGTERM)
	r.add("SIGTERM to %s", restarted.name)
	<-restarted.exited()
	r.add("%s has exited and starts again", restarted.name)
	if err := restarted.start(); err != nil {
		return false, err
	}
	time.Sleep(firstProbe)
	for !restarted.ready() {
		time.Sleep(probeInterval)
	}
	r.add("%s is ready", restarted.name)
	acknowledged := map[string]time.Time{}
	for i := range cancelledJobs {
		status, _, err := call(newCustomer(), http.MethodDelete, restarted, jobID(i), nil, cancelTimeout)
		r.add("the cancellation of job %s at %s: status %d %v", jobID(i), restarted.name, status, err)
		if status == http.StatusOK || status == http.StatusGone {
			acknowledged[jobID(i)] = time.Now()
		}
	}
	answers.Wait()
	broken := false
	for id, at := range acknowledged {
		after := in.tracker.LastJobStart(id).Sub(at)
		if after > maxCancelTime {
			r.add("a task of job %s started %d ms after the acknowledgement of its cancellation", id, after.Milliseconds())
			broken = true
		}
	}
	return broken, nil
}

// waitRunning waits until the jobs with the lowest numbers run.
func (in *installation) waitRunning(jobs int) error {
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(pollInterval) {
		running := 0
		for i := range jobs {
			if in.tracker.IsRunning(jobID(i)) {
				running++
			}
		}
		if running == jobs {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d jobs run after %v", running, jobs, readyTimeout)
		}
	}
}
