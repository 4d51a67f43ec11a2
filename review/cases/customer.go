package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// resendDelay is ResendMs of the platform's pages: when a customer sends a job again after silence,
// a broken connection, 502 or 504.
const resendDelay = 1300 * time.Millisecond

// job is a submitted job of one step. A field that is 0 is left out of the request.
type job struct {
	id           string
	tasks        int
	milliCPU     int
	memoryMB     int
	taskDuration time.Duration
	patience     time.Duration // how long the customer waits for the answer to an attempt
}

// spec tells the stand-in of an upstream how long a task takes.
func (j job) spec() string { return strconv.FormatInt(j.taskDuration.Milliseconds(), 10) }

func (j job) body() []byte {
	step := map[string]any{"Count": j.tasks, "MemoryLimitMb": j.memoryMB, "EstimatedMs": j.taskDuration.Milliseconds()}
	if j.milliCPU > 0 {
		step["Cpu"] = j.milliCPU
	}
	raw, err := json.Marshal(map[string]any{"TaskSpec": j.spec(), "BestEffort": true, "Steps": []any{step}})
	if err != nil {
		panic(err) // cannot happen: all values can be encoded
	}
	return raw
}

// newJobID returns the ID of the n-th job of a kind of request.
func newJobID(kind, n int) string { return fmt.Sprintf("%04x%012x", kind, n) }

// call sends a request on a new connection and returns the status and body of the answer, or 0 if
// there was none.
func (d *deployment) call(method string, to *instance, id string, body []byte, patience time.Duration) (status int, answer string) {
	d.record.add("customer sends %s %s to %s", method, id, to.name)
	req, err := http.NewRequest(method, "http://"+to.address()+prefix+id, bytes.NewReader(body))
	if err != nil {
		panic(err) // cannot happen: the address is valid
	}
	req.Host = host
	req.Header.Set("X-Deadline-Milliseconds", strconv.FormatInt(patience.Milliseconds(), 10))
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
