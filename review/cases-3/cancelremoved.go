package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

const (
	// ackTimeout is AckTimeoutMs, and maxStopTime is StopTimeoutMs.
	ackTimeout  = 4 * time.Second
	maxStopTime = 50 * time.Millisecond
	// removedPrefix is the path prefix of the route that the second configuration leaves out.
	removedPrefix = "/q1/"
	// jobsOfRoute is the number of jobs that are sent to the route. The first removedCancels of them
	// are cancelled, a share of 0.25.
	jobsOfRoute    = 8
	removedCancels = 2
	// recancelInterval is the time between two cancellations of the same job.
	recancelInterval = 500 * time.Millisecond
)

// playCancelRemoved has customers send jobs to a route that a new configuration then removes, and
// cancel some of them once the instances have been undisturbed for contactTime. Each cancellation
// that is not acknowledged is sent again, to each instance by turns.
func playCancelRemoved(r *record, trouble bool) (bool, error) {
	in, err := newInstallation(map[string]zoneSize{"a": {2, 2}, "b": {2, 2}})
	if err != nil {
		return false, err
	}
	defer in.close()
	kept := standin.Route{Name: "r0", Host: host, Prefix: routePrefix, Service: service, MaxAttempts: 4}
	removed := standin.Route{Name: "r1", Host: host, Prefix: removedPrefix, Service: service, MaxAttempts: 4}
	if err := in.store.Configure(2, []standin.Route{kept, removed}); err != nil {
		return false, err
	}
	if err := in.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	instances := in.all()
	send := func(method string, p *instance, job standin.Job, timeout time.Duration) (int, string, error) {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		var body []byte
		if method == http.MethodPost {
			body = job.Body()
		}
		req, err := standin.NewRequest(ctx, method, p.customerAddress(), host, removedPrefix+job.ID, body, timeout)
		if err != nil {
			return 0, "", err
		}
		return do(newCustomer(), req)
	}
	jobs := make([]standin.Job, jobsOfRoute)
	var answers sync.WaitGroup
	for i := range jobs {
		jobs[i] = standin.Job{ID: jobID(i), Tasks: 1, MilliCPU: taskMilliCPU, TaskDuration: longTask}
		p := instances[i%len(instances)]
		answers.Go(func() {
			r.add("job %s is sent to %s", jobs[i].ID, p.name)
			status, body, err := send(http.MethodPost, p, jobs[i], patience)
			r.add("job %s: status %d %s %v", jobs[i].ID, status, body, err)
		})
	}
	time.Sleep(time.Second)
	for _, job := range jobs {
		if !in.tracker.IsRunning(job.ID) {
			return false, fmt.Errorf("job %s does not run", job.ID)
		}
	}
	if trouble {
		if err := in.store.Configure(3, []standin.Route{kept}); err != nil {
			return false, err
		}
		r.add("the store has acknowledged configuration 3, without the route of the jobs")
	}
	time.Sleep(contactTime)
	var mu sync.Mutex
	broken := false
	var customers sync.WaitGroup
	for i := range removedCancels {
		customers.Go(func() {
			job := jobs[i]
			began := time.Now()
			// The task has to be over by due: from then on it counts as running for too long.
			due := began.Add(ackTimeout + maxCancelTime + maxStopTime)
			for n := 0; time.Since(began) < ackTimeout; n++ {
				p := instances[(i+n)%len(instances)]
				status, body, err := send(http.MethodDelete, p, job, cancelTimeout)
				r.add("the cancellation of job %s at %s: status %d %s %v", job.ID, p.name, status, body, err)
				if status == http.StatusOK || status == http.StatusGone {
					due = time.Now().Add(maxCancelTime + maxStopTime)
					break
				}
				time.Sleep(recancelInterval)
			}
			time.Sleep(time.Until(due))
			running := in.tracker.IsRunning(job.ID)
			r.add("job %s runs %d ms after its first cancellation: %v", job.ID, time.Since(began).Milliseconds(), running)
			mu.Lock()
			defer mu.Unlock()
			broken = broken || running
		})
	}
	customers.Wait()
	answers.Wait()
	return broken, nil
}
