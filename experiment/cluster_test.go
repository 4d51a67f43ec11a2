package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/standin"
)

// newTestCluster starts a cluster of two zones, with two entry instances and
// three upstreams in each. If edit is not nil, it can change this spec first.
func newTestCluster(t *testing.T, edit func(*ClusterSpec)) *Cluster {
	t.Helper()
	spec := ClusterSpec{
		Zones:             []ZoneSpec{{"a", 2, 3}, {"b", 2, 3}},
		HeartbeatInterval: 50 * time.Millisecond, InstancePollInterval: 50 * time.Millisecond,
	}
	if edit != nil {
		edit(&spec)
	}
	c, err := StartCluster(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// sleepTask returns a task that sleeps and then has echo, a JSON value, as its
// result.
func sleepTask(sleep time.Duration, echo string) api.Task {
	payload, _ := json.Marshal(standin.TaskPayload{SleepUs: sleep.Microseconds(), Echo: json.RawMessage(echo)})
	return api.Task{RunMs: uint32(sleep.Milliseconds()), Payload: payload}
}

func TestWholeAnswer(t *testing.T) {
	c := newTestCluster(t, nil)
	cl, err := c.Client("desk")
	if err != nil {
		t.Fatal(err)
	}
	defer cl.Close()
	job := client.Job{Service: "wardrobe-desk"}
	for i := range 50 {
		job.Tasks = append(job.Tasks, sleepTask(10*time.Millisecond, fmt.Sprint(i)))
	}
	answer, err := cl.Do(context.Background(), job)
	if err != nil {
		t.Fatal(err)
	}
	if answer.Fate != fate.Complete || len(answer.Tasks) != 50 {
		t.Fatalf("answer %+v, want the fate complete with 50 tasks", answer)
	}
	for i, task := range answer.Tasks {
		if string(task.Result) != fmt.Sprint(i) {
			t.Errorf("task %d has result %s, want its index", i, task.Result)
		}
	}
	if starts, duplicates := c.Recorder.Starts(); starts != 50 || len(duplicates) > 0 {
		t.Errorf("%d starts, want 50; tasks started more than once: %v, want none", starts, duplicates)
	}
}
