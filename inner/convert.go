package inner

import (
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"github.com/samber/lo"
)

// FromLogID returns id as a protobuf message.
func FromLogID(id fate.LogID) *LogID {
	return &LogID{Home: string(id.Home), Witness: string(id.Witness), Number: id.Number}
}

// ToLogID returns the id that m describes.
func ToLogID(m *LogID) fate.LogID {
	return fate.LogID{Home: fate.Incarnation(m.GetHome()), Witness: fate.Incarnation(m.GetWitness()), Number: m.GetNumber()}
}

// FromKey returns key as a protobuf message.
func FromKey(key fate.Key) *Key {
	return &Key{Session: string(key.Session), Sequence: key.Sequence, Generation: key.Generation}
}

// ToKey returns the key that m describes.
func ToKey(m *Key) fate.Key {
	return fate.Key{Session: fate.Session(m.GetSession()), Sequence: m.GetSequence(), Generation: m.GetGeneration()}
}

// FromJob returns job as a protobuf message, or nil if job is nil.
func FromJob(job *fate.Job) *Job {
	if job == nil {
		return nil
	}
	m := &Job{
		Service: job.Service, Caller: job.Caller, Repeatable: job.Repeatable,
		DeadlineMs: job.DeadlineMs, Trace: job.Trace, Digest: job.Digest,
		Tasks: make([]*Task, len(job.Tasks)),
	}
	for i := range job.Tasks {
		t := &job.Tasks[i]
		m.Tasks[i] = &Task{Cpu: t.CPU, MemoryMb: t.MemoryMB, Accelerators: t.Accelerators, RunMs: t.RunMs, Payload: t.Payload}
	}
	return m
}

// ToJob returns the job that m describes, or nil if m is nil.
func ToJob(m *Job) *fate.Job {
	if m == nil {
		return nil
	}
	job := &fate.Job{
		Service: m.GetService(), Caller: m.GetCaller(), Repeatable: m.GetRepeatable(),
		DeadlineMs: m.GetDeadlineMs(), Trace: m.GetTrace(), Digest: m.GetDigest(),
		Tasks: make([]fate.Task, len(m.GetTasks())),
	}
	for i, t := range m.GetTasks() {
		job.Tasks[i] = fate.Task{CPU: t.GetCpu(), MemoryMB: t.GetMemoryMb(), Accelerators: t.GetAccelerators(), RunMs: t.GetRunMs(), Payload: t.GetPayload()}
	}
	return job
}

func fromOutcome(o fate.Outcome) *Outcome {
	return &Outcome{State: string(o.State), Result: o.Result, Error: o.Error}
}

func toOutcome(m *Outcome) fate.Outcome {
	return fate.Outcome{State: fate.TaskState(m.GetState()), Result: m.GetResult(), Error: m.GetError()}
}

// FromAnswer returns a as a protobuf message, or nil if a is nil.
func FromAnswer(a *fate.Answer) *Answer {
	if a == nil {
		return nil
	}
	return &Answer{
		Key: FromKey(a.Key), Kind: string(a.Kind), Reason: string(a.Reason),
		Tasks: lo.Map(a.Tasks, func(o fate.Outcome, _ int) *Outcome { return fromOutcome(o) }),
	}
}

// ToAnswer returns the answer that m describes, or nil if m is nil.
func ToAnswer(m *Answer) *fate.Answer {
	if m == nil {
		return nil
	}
	return &fate.Answer{
		Key: ToKey(m.GetKey()), Kind: fate.Kind(m.GetKind()), Reason: fate.Reason(m.GetReason()),
		Tasks: lo.Map(m.GetTasks(), func(o *Outcome, _ int) fate.Outcome { return toOutcome(o) }),
	}
}

// FromAppend returns a as a protobuf message.
func FromAppend(a *fate.Append) *Append {
	return &Append{
		Log: FromLogID(a.Log), Sequence: a.Sequence, WantAck: a.WantAck,
		Records: lo.Map(a.Records, func(r fate.Record, _ int) *Record { return fromRecord(&r) }),
	}
}

// ToAppend returns the append that m describes.
func ToAppend(m *Append) *fate.Append {
	return &fate.Append{
		Log: ToLogID(m.GetLog()), Sequence: m.GetSequence(), WantAck: m.GetWantAck(),
		Records: lo.Map(m.GetRecords(), func(r *Record, _ int) fate.Record { return toRecord(r) }),
	}
}

func fromRecord(r *fate.Record) *Record {
	return &Record{
		Key: FromKey(r.Key), Job: FromJob(r.Job), Verdict: FromAnswer(r.Verdict),
		Permits: lo.Map(r.Permits, func(p fate.Permit, _ int) *Permit {
			return &Permit{Task: uint32(p.Task), Attempt: p.Attempt, Upstream: p.Upstream}
		}),
		Results: lo.Map(r.Results, func(t fate.TaskResult, _ int) *TaskResult {
			return &TaskResult{Task: uint32(t.Task), Outcome: fromOutcome(t.Outcome)}
		}),
	}
}

func toRecord(m *Record) fate.Record {
	return fate.Record{
		Key: ToKey(m.GetKey()), Job: ToJob(m.GetJob()), Verdict: ToAnswer(m.GetVerdict()),
		Permits: lo.Map(m.GetPermits(), func(p *Permit, _ int) fate.Permit {
			return fate.Permit{Task: int(p.GetTask()), Attempt: p.GetAttempt(), Upstream: p.GetUpstream()}
		}),
		Results: lo.Map(m.GetResults(), func(t *TaskResult, _ int) fate.TaskResult {
			return fate.TaskResult{Task: int(t.GetTask()), Outcome: toOutcome(t.GetOutcome())}
		}),
	}
}

// FromError returns err as a protobuf message.
func FromError(err error) *Problem {
	return &Problem{Code: failure.Code(err), Field: failure.FieldOf(err), Text: failure.Text(err)}
}

// ToError returns the typed error that m describes. An unknown code becomes Internal.
func ToError(m *Problem) error {
	t, found := failure.ByCode(m.GetCode())
	if !found {
		t = failure.Internal
	}
	if m.GetField() == "" {
		return t.New("%s", m.GetText())
	}
	return failure.Field(t, m.GetField(), "%s", m.GetText())
}
