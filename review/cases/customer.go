package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// resendDelay is ResendMs of the platform's pages: when a customer sends a job again after silence,
// a broken connection, 502 or 504.
const resendDelay = 1300 * time.Millisecond

// taskMemoryMB is the memory that each task of a job asks for.
const taskMemoryMB = 1

// job is a job of one step, as a customer submits it.
type job struct {
	id           string
	tasks        int
	milliCPU     int // left out of the request if it is 0
	taskDuration time.Duration
	patience     time.Duration // how long the customer waits for the answer to an attempt
}

func (j job) body() []byte {
	raw := standin.Job{ID: j.id, Tasks: j.tasks, MilliCPU: j.milliCPU, TaskDuration: j.taskDuration}.Body()
	return bytes.Replace(raw, []byte(`"Cpu":0,`), nil, 1)
}

// newJobID returns the ID of the n-th job of a kind of request.
func newJobID(kind, n int) string { return fmt.Sprintf("%04x%012x", kind, n) }

// call sends a request on a new connection and returns the status and body of the answer, or 0 if
// there was none.
func (d *deployment) call(method string, to *instance, id string, body []byte, patience time.Duration) (status int, answer string) {
	d.record.add("customer sends %s %s to %s", method, id, to.name)
	req, err := standin.NewRequest(context.Background(), method, to.address(), host, prefix+id, body, patience)
	if err != nil {
		panic(err) // cannot happen: the address is valid
	}
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		d.record.add("customer gets no answer to %s %s from %s: %v", method, id, to.name, err)
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }() // it was read
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		d.record.add("customer gets half an answer to %s %s from %s: %v", method, id, to.name, err)
		return 0, ""
	}
	answer = strings.TrimSpace(string(raw))
	d.record.add("customer gets %d for %s %s from %s: %s", res.StatusCode, method, id, to.name, answer)
	return res.StatusCode, answer
}

// submit sends a job until it has an answer other than 502 or 504, at most attempts times. The
// platform hands each attempt to the next instance of the zone that runs.
func (d *deployment) submit(j job, zone string, first, attempts int) (status int) {
	for n := range attempts {
		to := d.running(zone, first+n)
		if to == nil {
			d.record.add("no instance runs that could take %s", j.id)
		} else if status, _ = d.call(http.MethodPost, to, j.id, j.body(), j.patience); status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		time.Sleep(resendDelay)
	}
	return status
}

// running returns the n-th of the running instances of a zone, counted round, those of all zones if
// none runs there, or nil.
func (d *deployment) running(zone string, n int) *instance {
	runs := func(i *instance) bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		return i.process != nil
	}
	list := slices.DeleteFunc(slices.Clone(d.instances), func(i *instance) bool { return !runs(i) || i.zone != zone })
	if len(list) == 0 {
		list = slices.DeleteFunc(slices.Clone(d.instances), func(i *instance) bool { return !runs(i) })
	}
	if len(list) == 0 {
		return nil
	}
	return list[n%len(list)]
}
