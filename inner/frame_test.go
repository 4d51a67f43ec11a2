package inner

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"google.golang.org/protobuf/proto"
)

func sample() *fate.Append {
	key := fate.Key{Session: "s", Sequence: 7, Generation: 1}
	return &fate.Append{
		Log: fate.LogID{Home: "a.1", Witness: "b.2", Number: 3}, Sequence: 9, WantAck: true,
		Records: []fate.Record{{
			Key:     key,
			Job:     &fate.Job{Service: "desk", Caller: "c", Repeatable: true, DeadlineMs: 5, Trace: "t", Digest: 6, Tasks: []fate.Task{{CPU: 1.5, MemoryMB: 2, Accelerators: 3, RunMs: 4, Payload: []byte("{}")}}},
			Permits: []fate.Permit{{Task: 1, Attempt: 2, Upstream: "u"}},
			Results: []fate.TaskResult{{Task: 1, Outcome: fate.Outcome{State: fate.TaskFinished, Result: []byte("1")}}},
			Verdict: &fate.Answer{Key: key, Kind: fate.Failed, Reason: fate.ReasonCancelled, Tasks: []fate.Outcome{{State: fate.TaskFailed, Error: "e"}}},
		}},
	}
}

func TestAppendSurvivesTheWire(t *testing.T) {
	first := FromAppend(sample())
	buf, err := AppendFrame(nil, &Frame{Id: 1, Body: &Frame_Append{first}})
	if err != nil {
		t.Fatal(err)
	}
	f, err := ReadFrame(bufio.NewReader(bytes.NewReader(buf)))
	if err != nil {
		t.Fatal(err)
	}
	if again := FromAppend(ToAppend(f.GetAppend())); !proto.Equal(first, again) {
		t.Errorf("an append was changed by encoding and decoding: got\n%v, want\n%v", again, first)
	}
}

func TestErrorSurvivesTheWire(t *testing.T) {
	err := ToError(FromError(failure.Field(failure.Conflict, "sequence", "other work")))
	if !failure.Is(err, failure.Conflict) || failure.FieldOf(err) != "sequence" || failure.Text(err) != "other work" {
		t.Errorf("error after conversion to a message and back: %v, want a Conflict in the field sequence", err)
	}
}

func FuzzReadFrame(f *testing.F) {
	buf, _ := AppendFrame(nil, &Frame{Id: 1, Body: &Frame_Append{FromAppend(sample())}})
	f.Add(buf)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := ReadFrame(bufio.NewReader(bytes.NewReader(raw)))
		if err != nil {
			return
		}
		if a := frame.GetAppend(); a != nil {
			w := fate.NewWitness(ToLogID(a.GetLog()), fate.Retention{MaxCount: 1, MaxBytes: 1})
			w.Append(ToAppend(a))
		}
		_, _ = AppendFrame(nil, frame)
	})
}
