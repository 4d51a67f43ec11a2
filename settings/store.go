package settings

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/failure"

	"github.com/google/uuid"
)

// HeadKey is where the platform keeps the settings in force.
const HeadKey = "sedgehatch/settings/head"

// historyKey is where the platform keeps one past revision.
func historyKey(revision uint64) string {
	return "sedgehatch/settings/revision/" + formatRevision(revision)
}

// Revision is one accepted revision.
type Revision struct {
	Number uint64 `json:"revision"`
	// ChangeID is the id of the change that made it, so that a writer whose
	// answer was lost can tell whether the change was its own.
	ChangeID string `json:"change"`
	Author   string `json:"author,omitempty"`
	AtMs     int64  `json:"at_ms"`
	INI      string `json:"ini"`
}

// KV is the part of the platform that a Store needs.
type KV interface {
	Get(key string) (api.KVEntry, error)
	CompareAndSwap(w api.KVWrite) (api.KVEntry, error)
}

// Store reads and changes the settings at the platform.
type Store struct {
	kv    KV
	nowMs func() int64
}

// NewStore returns a store; nowMs gives Unix milliseconds.
func NewStore(kv KV, nowMs func() int64) *Store { return &Store{kv, nowMs} }

// DecodeRevision reads the value of HeadKey, and checks it.
func DecodeRevision(value string) (Revision, *Tree, error) {
	if value == "" {
		return Revision{}, Empty(), nil
	}
	var h Revision
	if err := json.Unmarshal([]byte(value), &h); err != nil {
		return Revision{}, nil, failure.Protocol.Wrap(err, "the settings at the platform are no JSON")
	}
	tree, problems := Parse(h.INI)
	if len(problems) > 0 {
		return h, nil, problems[0]
	}
	return h, tree, nil
}

// Load returns the settings in force, and the version of HeadKey.
func (s *Store) Load() (Revision, *Tree, uint64, error) {
	entry, err := s.kv.Get(HeadKey)
	if err != nil {
		return Revision{}, nil, 0, err
	}
	head, tree, err := DecodeRevision(entry.Value)
	return head, tree, entry.Version, err
}

// lostAnswers is how often a change reads back after a lost answer.
const lostAnswers = 5

// Update makes edit's tree the next revision. Base, where it is not zero, is
// the revision that the operator saw; the error is Conflict when another one
// is in force by now. An answer that is lost is cleared up by reading back: the
// error is Lost only when the platform then does not answer either.
func (s *Store) Update(base uint64, author string, edit func(*Tree) (*Tree, []error)) (Revision, []Difference, error) {
	head, tree, version, err := s.Load()
	if err != nil {
		return Revision{}, nil, err
	}
	if base != 0 && base != head.Number {
		return head, nil, failure.Field(failure.Conflict, "revision", "revision %d is in force, by %q; the change was made against %d", head.Number, head.Author, base)
	}
	after, problems := edit(tree)
	if len(problems) > 0 {
		return head, nil, problems[0]
	}
	next := Revision{Number: head.Number + 1, ChangeID: uuid.NewString(), Author: author, AtMs: s.nowMs(), INI: after.Text()}
	if err := s.write(next, version); err != nil {
		return head, nil, err
	}
	s.remember(next)
	return next, tree.Diff(after), nil
}

func (s *Store) write(next Revision, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return failure.Internal.Wrap(err, "the settings do not encode")
	}
	_, err = s.kv.CompareAndSwap(api.KVWrite{Key: HeadKey, Value: string(value), Expect: version})
	if err == nil {
		return nil
	}
	return s.readBack(next, err)
}

// readBack finds out whether a write took effect.
func (s *Store) readBack(next Revision, cause error) error {
	for range lostAnswers {
		head, _, _, err := s.Load()
		if err != nil {
			continue
		}
		if head.ChangeID == next.ChangeID {
			return nil
		}
		if head.Number >= next.Number {
			return failure.Field(failure.Conflict, "revision", "%q made revision %d first; read it and change again", head.Author, head.Number)
		}
		return cause
	}
	return failure.Lost.Wrap(cause, "the change may have taken effect: read the settings back when the platform answers")
}

// remember keeps a copy of a revision for history and rollback. It is only a
// copy: when it cannot be written the revision is in force all the same.
func (s *Store) remember(h Revision) {
	value, err := json.Marshal(h)
	if err == nil {
		_, _ = s.kv.CompareAndSwap(api.KVWrite{Key: historyKey(h.Number), Value: string(value)})
	}
}

// History returns up to limit revisions, newest first, as far as they are kept.
func (s *Store) History(limit int) ([]Revision, error) {
	head, _, _, err := s.Load()
	if err != nil {
		return nil, err
	}
	var list []Revision
	for r := head.Number; r > 0 && len(list) < limit; r-- {
		h, err := s.Revision(r)
		if failure.Is(err, failure.NotFound) {
			continue
		}
		if err != nil {
			return list, err
		}
		list = append(list, h)
	}
	return list, nil
}

// Revision returns a past revision, with a NotFound error where none is kept.
func (s *Store) Revision(revision uint64) (Revision, error) {
	entry, err := s.kv.Get(historyKey(revision))
	if err != nil {
		return Revision{}, err
	}
	if entry.Version == 0 {
		return Revision{}, failure.Field(failure.NotFound, "revision", "revision %d is not kept", revision)
	}
	var h Revision
	if err := json.Unmarshal([]byte(entry.Value), &h); err != nil {
		return Revision{}, failure.Protocol.Wrap(err, "revision %d is no JSON", revision)
	}
	return h, nil
}

func sortDifferences(list []Difference) {
	slices.SortFunc(list, func(a, b Difference) int {
		if c := cmp.Compare(a.Node.String(), b.Node.String()); c != 0 {
			return c
		}
		return cmp.Compare(a.Key, b.Key)
	})
}
