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

func small(t *testing.T, edit func(*ClusterSpec)) *Cluster {
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

func work(sleep time.Duration, echo string) api.Task {
	payload, _ := json.Marshal(standin.TaskPayload{SleepUs: sleep.Microseconds(), Echo: json.RawMessage(echo)})
	return api.Task{RunMs: uint32(sleep.Milliseconds()), Payload: payload}
}

func TestWholeAnswer(t *testing.T) {
	c := small(t, nil)
	cl, err := c.Client("desk")
	if err != nil {
		t.Fatal(err)
	}
	defer cl.Close()
	job := client.Job{Service: "wardrobe-desk"}
	for i := range 50 {
		job.Tasks = append(job.Tasks, work(10*time.Millisecond, fmt.Sprint(i)))
	}
	answer, err := cl.Do(context.Background(), job)
	if err != nil {
		t.Fatal(err)
	}
	if answer.Fate != fate.Complete || len(answer.Tasks) != 50 {
		t.Fatalf("answer %+v", answer)
	}
	for i, task := range answer.Tasks {
		if string(task.Result) != fmt.Sprint(i) {
			t.Errorf("task %d has result %s", i, task.Result)
		}
	}
	if starts, twice := c.Recorder.Starts(); starts != 50 || len(twice) > 0 {
		t.Errorf("%d starts, twice: %v", starts, twice)
	}
}
