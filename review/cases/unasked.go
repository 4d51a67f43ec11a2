package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

const (
	// The bounds of the deployment vacoas-hatch.
	cancelBound = 3000 * time.Millisecond // cancel_ms
	stopBound   = 50 * time.Millisecond   // StopTimeoutMs
	contactTime = 3000 * time.Millisecond // ContactMs
	// checkMargin is how long after the bounds the case looks whether the task runs.
	checkMargin = 200 * time.Millisecond

	retryAfter      = time.Second // the Retry-After of the 503
	unaskedPatience = 20 * time.Second
	unaskedTask     = 15 * time.Second
	unaskedMilliCPU = 27_000
	// otherJobs run beside the job that is cancelled, so that a third of the jobs is: the limit of
	// the site file is a share of 0.4.
	otherJobs = 2
)

// playUnasked cancels a job at the instance to which the platform hands the customer's connections,
// while another one of the zone runs it.
func playUnasked(r *record, trouble bool) (string, error) {
	d, err := newDeployment(r, shape{zones: 1, instances: 2, upstreams: 4}, func(string) fleet.Resources {
		return fleet.Resources{MilliCPU: unaskedMilliCPU, MemoryMB: taskMemoryMB}
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return "", err
	}
	usual, other := d.instances[0], d.instances[1]
	j := job{id: newJobID(3, 1), tasks: 1, milliCPU: unaskedMilliCPU, taskDuration: unaskedTask, patience: unaskedPatience}
	if trouble {
		usual.restart()
		for usual.isReady() {
			time.Sleep(pollInterval)
		}
	}
	var others sync.WaitGroup
	defer others.Wait()
	for n := range otherJobs {
		another := j
		another.id = newJobID(3, n+2)
		others.Go(func() { d.call(http.MethodPost, other, another.id, another.body(), another.patience) })
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		for _, to := range []*instance{usual, other} {
			if status, _ := d.call(http.MethodPost, to, j.id, j.body(), j.patience); status != http.StatusServiceUnavailable {
				return
			}
			time.Sleep(retryAfter) // a retry meets another instance
		}
	}()
	started := time.Now()
	for !d.tracker.IsRunning(j.id) {
		if time.Since(started) > readyTimeout {
			return "", fmt.Errorf("the job %s does not start", j.id)
		}
		time.Sleep(pollInterval)
	}
	if trouble {
		if err := usual.waitRestarted(); err != nil {
			return "", err
		}
	}
	time.Sleep(contactTime) // the cancelling is the only disruption from now on
	status, _ := d.call(http.MethodDelete, usual, j.id, nil, unaskedPatience)
	acknowledged := status/100 == 2 || status == http.StatusGone
	if !acknowledged {
		return "", fmt.Errorf("the cancelling is answered %d", status)
	}
	time.Sleep(cancelBound + stopBound + checkMargin)
	runs := d.tracker.IsRunning(j.id)
	r.add("%v after the acknowledgement of the cancelling, the task runs: %v", cancelBound+stopBound+checkMargin, runs)
	<-answered
	if runs {
		return fmt.Sprintf("UNASKED: the task of %s runs on more than %v after its cancelling was acknowledged with %d", j.id, cancelBound+stopBound, status), nil
	}
	return "", nil
}

// restart orders a planned shutdown of the daemon. The platform then starts it again.
func (i *instance) restart() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.d.record.add("instance %s gets SIGTERM", i.name)
	i.expected = true
	_ = i.process.Signal(syscall.SIGTERM) // fails only if the process has just ended
}

// waitRestarted waits until the daemon has been started a second time and is ready.
func (i *instance) waitRestarted() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		i.mu.Lock()
		restarted := i.starts > 1 && i.process != nil
		i.mu.Unlock()
		if restarted && i.isReady() {
			i.d.record.add("instance %s is ready again", i.name)
			return nil
		}
	}
	return fmt.Errorf("instance %s is not ready again", i.name)
}
