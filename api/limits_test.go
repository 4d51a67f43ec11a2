package api

import (
	"strings"
	"testing"

	"github.com/sedgehatch/sedgehatch/failure"
)

const sessionToken = "a.1~b.2~3~desk.4"

func requestBody(fields string) string {
	return `{"session":"` + sessionToken + `","sequence":1,"attempt":1,"service":"desk",` + fields + `}`
}

// TestBadInput verifies that each invalid request is rejected with an error that names the
// field.
func TestBadInput(t *testing.T) {
	deep := strings.Repeat("[", 100) + strings.Repeat("]", 100)
	for name, c := range map[string]struct{ body, field string }{
		"cut off":           {`{"session":"x`, "session"},
		"empty":             {``, "body"},
		"not an object":     {`[1]`, ""},
		"something behind":  {requestBody(`"tasks":[{}]`) + "{}", "body"},
		"unknown field":     {requestBody(`"tasks":[{}],"colour":1`), "colour"},
		"repeated name":     {requestBody(`"tasks":[{}],"sequence":2`), "sequence"},
		"repeated in task":  {requestBody(`"tasks":[{},{"cpu":1,"cpu":2}]`), "tasks[1].cpu"},
		"wrong type":        {requestBody(`"tasks":[{"cpu":"many"}]`), "tasks.cpu"},
		"too deep":          {requestBody(`"tasks":[{"payload":` + deep + `}]`), "tasks[0].payload"},
		"no tasks":          {requestBody(`"tasks":[]`), "tasks"},
		"too many tasks":    {requestBody(`"tasks":[` + strings.Repeat("{},", MaxTasks) + `{}]`), "tasks"},
		"large payload":     {requestBody(`"tasks":[{"payload":"` + strings.Repeat("x", MaxPayload) + `"}]`), "tasks[0].payload"},
		"negative cpu":      {requestBody(`"tasks":[{"cpu":-1}]`), "tasks[0].cpu"},
		"long run":          {requestBody(`"tasks":[{},{"run_ms":4000000}]`), "tasks[1].run_ms"},
		"bad session":       {`{"session":"x","sequence":1,"attempt":1,"service":"d","tasks":[{}]}`, "session"},
		"no sequence":       {`{"session":"` + sessionToken + `","attempt":1,"service":"d","tasks":[{}]}`, "sequence"},
		"no attempt":        {`{"session":"` + sessionToken + `","sequence":1,"service":"d","tasks":[{}]}`, "attempt"},
		"bad service":       {`{"session":"` + sessionToken + `","sequence":1,"attempt":1,"service":"a b","tasks":[{}]}`, "service"},
		"long deadline":     {requestBody(`"deadline_ms":99999999,"tasks":[{}]`), "deadline_ms"},
		"generation unsafe": {requestBody(`"generation":1,"tasks":[{}]`), "generation"},
	} {
		t.Run(name, func(t *testing.T) {
			var s Submission
			err := Decode([]byte(c.body), &s)
			if err == nil {
				err = s.Check()
			}
			if !failure.Is(err, failure.InvalidInput) && !failure.Is(err, failure.TooLarge) {
				t.Fatalf("error %v, want InvalidInput or TooLarge", err)
			}
			if got := failure.FieldOf(err); got != c.field {
				t.Errorf("error names field %q, want %q", got, c.field)
			}
		})
	}
}

func TestGoodInput(t *testing.T) {
	var s Submission
	if err := Decode([]byte(requestBody(`"tasks":[{"cpu":1,"payload":{"a":[1,{"a":2}]}},{"payload":"x"}]`)), &s); err != nil {
		t.Fatal(err)
	}
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	if got := s.Session.Caller(); got != "desk" {
		t.Errorf("the session belongs to caller %q, want desk", got)
	}
	again := s
	if s.Job(0, 1).Digest != again.Job(5, 9).Digest {
		t.Error("two jobs of the same submission have different digests")
	}
	again.Tasks = append([]Task(nil), s.Tasks...)
	again.Tasks[1].RunMs++
	if s.Job(0, 1).Digest == again.Job(0, 1).Digest {
		t.Error("other work has the same digest")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(requestBody(`"tasks":[{"cpu":1}]`)))
	f.Add([]byte(`{"a":[{"a":1}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var s Submission
		if err := Decode(raw, &s); err != nil {
			if failure.Code(err) != "invalid_input" && failure.Code(err) != "too_large" {
				t.Fatalf("error of type %s, want invalid_input or too_large", failure.Code(err))
			}
			return
		}
		if s.Check() == nil {
			s.Job(0, 1)
		}
	})
}
