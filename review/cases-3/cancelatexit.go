package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

const (
	// cancelTimeout is how long a customer waits for the response to a cancellation: AckTimeoutMs.
	cancelTimeout = 4 * time.Second
	// lossSlack is LossSlackMs.
	lossSlack = 200 * time.Millisecond
	// firstCancel is the age of the planned shutdown at which the first of the cancellations is sent;
	// the others follow at intervals of cancelInterval.
	firstCancel    = 2600 * time.Millisecond
	cancelInterval = 100 * time.Millisecond
	// cancelCount of the customerCount customers cancel: the share of the site's cancellations, 0.25.
	customerCount = 8
	cancelCount   = 2
)

// playCancelAtExit stops one instance as planned, the only one of its zone, while two of the
// customers that have open connections to it cancel jobs: one a job that has ended, and one a job to
// be kept, which the product has not taken.
func playCancelAtExit(r *record, trouble bool) (bool, error) {
	in, err := newInstallation(map[string]zoneSize{"a": {2, 4}, "b": {1, 4}})
	if err != nil {
		return false, err
	}
	defer in.close()
	if err := in.startAll(); err != nil {
		return false, err
	}
	stopped := in.instances["b"][0]
	var customers []*http.Client
	for i := range customerCount {
		customers = append(customers, newCustomer())
		job := standin.Job{ID: jobID(i), Tasks: 2, MilliCPU: taskMilliCPU, TaskDuration: 100 * time.Millisecond, Durable: i%2 == 1}
		status, body, err := call(customers[i], http.MethodPost, stopped, job.ID, job.Body(), 1500*time.Millisecond)
		r.add("customer %d sent job %s, to be kept: %v, to %s: status %d %s %v", i, job.ID, job.Durable, stopped.name, status, body, err)
		if err != nil {
			return false, fmt.Errorf("job %s got no response before the shutdown", job.ID)
		}
	}
	time.Sleep(3 * time.Second) // ContactMs without any disruption
	began := time.Now()
	if trouble {
		stopped.signal(syscall.SIGTERM)
		r.add("SIGTERM to %s", stopped.name)
		go func() { <-stopped.exited(); r.add("%s has exited", stopped.name) }()
	}
	var mu sync.Mutex
	broken := false
	var wait sync.WaitGroup
	for i, c := range customers[:cancelCount] {
		wait.Go(func() {
			time.Sleep(time.Until(began.Add(firstCancel + time.Duration(i)*cancelInterval)))
			sent := time.Now()
			r.add("customer %d cancels job %s on its open connection", i, jobID(i))
			status, body, err := call(c, http.MethodDelete, stopped, jobID(i), nil, cancelTimeout)
			took := time.Since(sent)
			r.add("customer %d: status %d %s %v after %d ms", i, status, body, err, took.Milliseconds())
			mu.Lock()
			broken = broken || err != nil && took > lossSlack && took < cancelTimeout
			mu.Unlock()
		})
	}
	wait.Wait()
	return broken, nil
}

// jobID returns the id of the job with a number.
func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d9400000+n) }
