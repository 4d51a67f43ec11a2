package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"

	"github.com/sedgehatch/sedgehatch/failure"
)

// Decode reads one JSON value of a caller into a message. It takes no unknown
// or repeated names, no deep nesting and nothing behind the value; the error
// is InvalidInput, or TooLarge, and names the field.
func Decode(body []byte, into any) error {
	if len(body) > MaxBody {
		return failure.Field(failure.TooLarge, "body", "has %d bytes; %d are allowed", len(body), MaxBody)
	}
	if err := checkShape(body); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return decodeError(err)
	}
	return nil
}

// decodeError names the field that err is about.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return failure.Field(failure.InvalidInput, wrongType.Field, "cannot be a JSON %s", wrongType.Value)
	}
	if _, name, found := strings.Cut(err.Error(), "unknown field "); found {
		return failure.Field(failure.InvalidInput, strings.Trim(name, `"`), "is not a field of this request")
	}
	return failure.Field(failure.InvalidInput, "body", "is not the JSON that is expected: %v", err)
}

// shape walks the tokens of a JSON value.
type shape struct {
	d    *json.Decoder
	path []step
}

// step is one object or array around the current token.
type step struct {
	names map[string]bool // of an object, so far; nil in an array
	name  string          // the last name, in an object
	index int             // in an array
	key   bool            // a name comes next, in an object
}

// checkShape returns an error for JSON that is cut off, too deep, that repeats
// a name, or that has something behind it.
func checkShape(body []byte) error {
	s := &shape{d: json.NewDecoder(bytes.NewReader(body))}
	for first := true; first || len(s.path) > 0; first = false {
		token, err := s.d.Token()
		if err != nil {
			return failure.Field(failure.InvalidInput, s.where("body"), "the JSON is cut off or wrong at byte %d", s.d.InputOffset())
		}
		if err := s.take(token); err != nil {
			return err
		}
	}
	if _, err := s.d.Token(); !errors.Is(err, io.EOF) {
		return failure.Field(failure.InvalidInput, "body", "something follows the JSON value")
	}
	return nil
}

func (s *shape) take(token json.Token) error {
	delim, isDelim := token.(json.Delim)
	if isDelim && (delim == '}' || delim == ']') {
		s.path = s.path[:len(s.path)-1]
		s.next()
		return nil
	}
	if top := s.top(); top != nil && top.key {
		return s.takeName(top, token.(string))
	}
	if !isDelim {
		s.next()
		return nil
	}
	if len(s.path) >= MaxDepth {
		return failure.Field(failure.InvalidInput, s.where("body"), "is nested deeper than %d", MaxDepth)
	}
	if delim == '{' {
		s.path = append(s.path, step{names: map[string]bool{}, key: true})
	} else {
		s.path = append(s.path, step{})
	}
	return nil
}

func (s *shape) takeName(top *step, name string) error {
	if top.names[name] {
		top.name = name
		return failure.Field(failure.InvalidInput, s.where("body"), "stands there twice")
	}
	top.names[name] = true
	top.name = name
	top.key = false
	return nil
}

// next moves on behind a value.
func (s *shape) next() {
	top := s.top()
	switch {
	case top == nil:
	case top.names != nil:
		top.key = true
	default:
		top.index++
	}
}

func (s *shape) top() *step {
	if len(s.path) == 0 {
		return nil
	}
	return &s.path[len(s.path)-1]
}

// namedDepth is how deep errors name a place: payloads are the caller's own.
const namedDepth = 3

// where names the place of the current token, such as "tasks[3].cpu".
func (s *shape) where(whole string) string {
	var b strings.Builder
	for _, at := range s.path[:min(len(s.path), namedDepth)] {
		switch {
		case at.names == nil:
			b.WriteString("[" + strconv.Itoa(at.index) + "]")
		case at.name != "":
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(at.name)
		}
	}
	if b.Len() == 0 {
		return whole
	}
	return b.String()
}
