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

// Decode decodes the JSON value in the body of a caller's request into the message that
// into points to. It rejects unknown and repeated names, nesting deeper than MaxDepth, and
// data after the value. The error is of type InvalidInput or TooLarge and names the field at
// fault.
func Decode(body []byte, into any) error {
	if len(body) > MaxBody {
		return failure.Field(failure.TooLarge, "body", "has %d bytes; %d are allowed", len(body), MaxBody)
	}
	if err := checkStructure(body); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return decodeError(err)
	}
	return nil
}

// decodeError converts an error of encoding/json to an InvalidInput error that names the field
// at fault.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return failure.Field(failure.InvalidInput, wrongType.Field, "has the wrong type: JSON %s", wrongType.Value)
	}
	if _, name, found := strings.Cut(err.Error(), "unknown field "); found {
		return failure.Field(failure.InvalidInput, strings.Trim(name, `"`), "is not a field of this request")
	}
	return failure.Field(failure.InvalidInput, "body", "is not valid JSON for this request: %v", err)
}

// structureChecker reads the tokens of a JSON value one by one and checks what encoding/json
// does not check: that the nesting is at most MaxDepth deep, and that no object repeats a name.
type structureChecker struct {
	d      *json.Decoder
	levels []level
}

// level describes one of the objects and arrays that enclose the current token.
type level struct {
	seenNames   map[string]bool // names read so far in an object; nil for an array
	lastName    string          // name read last in an object
	index       int             // current index in an array
	expectsName bool            // whether the next token in an object is a name, not a value
}

// checkStructure returns an error if the JSON is truncated or invalid, is nested too
// deeply, repeats a name in an object, or is followed by other data.
func checkStructure(body []byte) error {
	s := &structureChecker{d: json.NewDecoder(bytes.NewReader(body))}
	for first := true; first || len(s.levels) > 0; first = false {
		token, err := s.d.Token()
		if err != nil {
			return failure.Field(failure.InvalidInput, s.fieldPath("body"), "the JSON is truncated or invalid at byte %d", s.d.InputOffset())
		}
		if err := s.checkToken(token); err != nil {
			return err
		}
	}
	if _, err := s.d.Token(); !errors.Is(err, io.EOF) {
		return failure.Field(failure.InvalidInput, "body", "there is more data after the JSON value")
	}
	return nil
}

func (s *structureChecker) checkToken(token json.Token) error {
	delim, isDelim := token.(json.Delim)
	if isDelim && (delim == '}' || delim == ']') {
		s.levels = s.levels[:len(s.levels)-1]
		s.endValue()
		return nil
	}
	if top := s.innermost(); top != nil && top.expectsName {
		return s.checkName(top, token.(string))
	}
	if !isDelim {
		s.endValue()
		return nil
	}
	if len(s.levels) >= MaxDepth {
		return failure.Field(failure.InvalidInput, s.fieldPath("body"), "is nested more than %d levels deep", MaxDepth)
	}
	if delim == '{' {
		s.levels = append(s.levels, level{seenNames: map[string]bool{}, expectsName: true})
	} else {
		s.levels = append(s.levels, level{})
	}
	return nil
}

func (s *structureChecker) checkName(top *level, name string) error {
	if top.seenNames[name] {
		top.lastName = name
		return failure.Field(failure.InvalidInput, s.fieldPath("body"), "occurs more than once")
	}
	top.seenNames[name] = true
	top.lastName = name
	top.expectsName = false
	return nil
}

// endValue records that a value has ended in the innermost object or array: an object continues
// with a name, an array with the next index.
func (s *structureChecker) endValue() {
	top := s.innermost()
	switch {
	case top == nil:
	case top.seenNames != nil:
		top.expectsName = true
	default:
		top.index++
	}
}

func (s *structureChecker) innermost() *level {
	if len(s.levels) == 0 {
		return nil
	}
	return &s.levels[len(s.levels)-1]
}

// maxPathDepth is the maximum number of levels in the field path of an error, as in
// "tasks[3].payload". Deeper levels belong to payloads, whose structure is up to the caller.
const maxPathDepth = 3

// fieldPath returns the path of the field that contains the current token, such as
// "tasks[3].cpu", or fallback if the token is in no field.
func (s *structureChecker) fieldPath(fallback string) string {
	var b strings.Builder
	for _, l := range s.levels[:min(len(s.levels), maxPathDepth)] {
		switch {
		case l.seenNames == nil:
			b.WriteString("[" + strconv.Itoa(l.index) + "]")
		case l.lastName != "":
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(l.lastName)
		}
	}
	if b.Len() == 0 {
		return fallback
	}
	return b.String()
}
