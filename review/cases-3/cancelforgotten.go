package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

const (
	// maxCancelTime is cancel_ms, and contactTime is ContactMs.
	maxCancelTime = 3 * time.Second
	contactTime   = 3 * time.Second
	// cancelledJobs and keptJobs make the share of the site's cancellations, 0.25.
	cancelledJobs = 6
	keptJobs      = 18
	// longTask is how long each run of the cancelled jobs takes.
	longTask = 12 * time.Second
	// patience is how long the customers of these jobs wait.
	patience = 30 * time.Second
	// freezeTime is how long the instance that the jobs were sent to stands still.
	freezeTime = 4 * time.Second
	// freezeAfterStop is when the freeze begins, counted from the first planned stop.
	freezeAfterStop = 2100 * time.Millisecond
	// cancelAfterFreeze is when the customers cancel, counted from the beginning of the freeze. The
	// neighbours of the frozen instance have given it up by then, and the instance that was stopped
	// first has not ended yet.
	cancelAfterFreeze = 900 * time.Millisecond
	// settleTime is the pause between the start of the first instance and the stop of the second one.
	settleTime = 500 * time.Millisecond
)

// playCancelForgotten has customers send jobs to an instance that freezes, and cancel them through
// another one. Two other instances are stopped and started in turn: first the owner of the upstreams,
// then the one that has taken its place.
func playCancelForgotten(r *record, trouble bool) (bool, error) {
	in, err := newInstallation(map[string]zoneSize{"a": {5, 6}})
	if err != nil {
		return false, err
	}
	defer in.close()
	for _, u := range in.upstreams["a"] {
		u.WithModel(func(m *standin.UpstreamModel) { m.ShouldFail = func(run fleet.Run) bool { return run.Number == 1 } })
	}
	if err := in.startAll(); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	first, err := in.waitOwner(nil)
	if err != nil {
		return false, err
	}
	began := time.Now()
	restarted := r.restart(first)
	second, err := in.waitOwner(first)
	if err != nil {
		return false, err
	}
	r.add("%s is the next owner of the upstreams", second.name)
	var others []*instance
	for _, p := range in.all() {
		if p != first && p != second {
			others = append(others, p)
		}
	}
	frozen, asked := others[0], others[1]
	time.Sleep(time.Until(began.Add(freezeAfterStop)))
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		r.add("%s freezes", frozen.name)
		time.AfterFunc(freezeTime, func() {
			r.add("%s wakes", frozen.name)
			frozen.signal(syscall.SIGCONT)
		})
	}
	var answers sync.WaitGroup
	for i := range cancelledJobs {
		answers.Go(func() {
			job := standin.Job{ID: jobID(i), Tasks: 1, MilliCPU: taskMilliCPU, TaskDuration: longTask}
			r.add("job %s is sent to %s", job.ID, frozen.name)
			status, body, err := call(newCustomer(), http.MethodPost, frozen, job.ID, job.Body(), patience)
			r.add("job %s: status %d %s %v", job.ID, status, body, err)
		})
	}
	for i := range keptJobs {
		answers.Go(func() {
			job := standin.Job{ID: jobID(cancelledJobs + i), Tasks: 1, MilliCPU: taskMilliCPU, TaskDuration: 100 * time.Millisecond}
			status, body, err := call(newCustomer(), http.MethodPost, asked, job.ID, job.Body(), patience)
			r.add("job %s, which is not cancelled, at %s: status %d %s %v", job.ID, asked.name, status, body, err)
		})
	}
	time.Sleep(cancelAfterFreeze)
	acknowledged := map[string]time.Time{}
	for i := range cancelledJobs {
		status, body, err := call(newCustomer(), http.MethodDelete, asked, jobID(i), nil, cancelTimeout)
		r.add("the cancellation of job %s at %s: status %d %s %v", jobID(i), asked.name, status, body, err)
		if status == http.StatusOK || status == http.StatusGone {
			acknowledged[jobID(i)] = time.Now()
		}
	}
	<-restarted
	if err := waitReady(first); err != nil {
		return false, err
	}
	r.add("%s is ready", first.name)
	time.Sleep(settleTime)
	restartedSecond := r.restart(second)
	if third, err := in.waitOwner(second); err == nil {
		r.add("%s is the next owner of the upstreams", third.name)
	}
	answers.Wait()
	<-restartedSecond
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

// restart stops an instance as planned and starts it again once it has exited. The channel that it
// returns is closed then.
func (r *record) restart(p *instance) <-chan struct{} {
	done := make(chan struct{})
	exited := p.exited()
	p.signal(syscall.SIGTERM)
	r.add("SIGTERM to %s", p.name)
	go func() {
		defer close(done)
		<-exited
		r.add("%s has exited and starts again", p.name)
		if err := p.start(); err != nil {
			r.add("%s does not start: %v", p.name, err)
		}
	}()
	return done
}

// waitOwner returns the instance that has taken the upstreams last, according to the logs, and waits
// for another one than former.
func (in *installation) waitOwner(former *instance) (*instance, error) {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if p := in.lastOwner(); p != nil && p != former {
			return p, nil
		}
	}
	return nil, fmt.Errorf("no instance has taken the upstreams after %v", readyTimeout)
}

// lastOwner returns the instance whose log tells of the latest taking of a group, or nil.
func (in *installation) lastOwner() *instance {
	var owner *instance
	var latest time.Time
	for _, p := range in.all() {
		log, err := os.Open(filepath.Join(in.dir, p.name+".log"))
		if err != nil {
			continue // the process has not started yet
		}
		for lines := bufio.NewScanner(log); lines.Scan(); {
			var line struct {
				Time time.Time `json:"time"`
				Msg  string    `json:"msg"`
			}
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "group_taken" && line.Time.After(latest) {
				owner, latest = p, line.Time
			}
		}
		_ = log.Close() // it was only read
	}
	return owner
}
