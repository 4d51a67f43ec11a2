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

// Head is one accepted revision.
type Head struct {
	Revision uint64 `json:"revision"`
	// Change is the id of the change that made it, so that a writer whose
	// answer was lost can tell whether the change was its own.
	Change string `json:"change"`
	Author string `json:"author,omitempty"`
	AtMs   int64  `json:"at_ms"`
	INI    string `json:"ini"`
}

// KV is the part of the platform that a Store needs.
type KV interface {
	Get(key string) (api.KVEntry, error)
	Swap(w api.KVWrite) (api.KVEntry, error)
}

// Store reads and changes the settings at the platform.
type Store struct {
	kv    KV
	nowMs func() int64
}

// NewStore returns a store; nowMs gives Unix milliseconds.
func NewStore(kv KV, nowMs func() int64) *Store { return &Store{kv, nowMs} }

// DecodeHead reads the value of HeadKey, and checks it.
func DecodeHead(value string) (Head, *Tree, error) {
	if value == "" {
		return Head{}, Empty(), nil
	}
	var h Head
	if err := json.Unmarshal([]byte(value), &h); err != nil {
		return Head{}, nil, failure.Protocol.Wrap(err, "the settings at the platform are no JSON")
	}
	tree, problems := Parse(h.INI)
	if len(problems) > 0 {
		return h, nil, problems[0]
	}
	return h, tree, nil
}

// Load returns the settings in force, and the version of HeadKey.
func (s *Store) Load() (Head, *Tree, uint64, error) {
	entry, err := s.kv.Get(HeadKey)
	if err != nil {
		return Head{}, nil, 0, err
	}
	head, tree, err := DecodeHead(entry.Value)
	return head, tree, entry.Version, err
}

// lostAnswers is how often a change reads back after a lost answer.
const lostAnswers = 5

// Change makes edit's tree the next revision. Base, where it is not zero, is
// the revision that the operator saw; the error is Conflict when another one
// is in force by now. An answer that is lost is cleared up by reading back: the
// error is Lost only when the platform then does not answer either.
func (s *Store) Change(base uint64, author string, edit func(*Tree) (*Tree, []error)) (Head, []Difference, error) {
	head, tree, version, err := s.Load()
	if err != nil {
		return Head{}, nil, err
	}
	if base != 0 && base != head.Revision {
		return head, nil, failure.Field(failure.Conflict, "revision", "revision %d is in force, by %q; the change was made against %d", head.Revision, head.Author, base)
	}
	after, problems := edit(tree)
	if len(problems) > 0 {
		return head, nil, problems[0]
	}
	next := Head{Revision: head.Revision + 1, Change: uuid.NewString(), Author: author, AtMs: s.nowMs(), INI: after.Text()}
	if err := s.write(next, version); err != nil {
		return head, nil, err
	}
	s.remember(next)
	return next, tree.Diff(after), nil
}

func (s *Store) write(next Head, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return failure.Internal.Wrap(err, "the settings do not encode")
	}
	_, err = s.kv.Swap(api.KVWrite{Key: HeadKey, Value: string(value), Expect: version})
	if err == nil {
		return nil
	}
	return s.readBack(next, err)
}

// readBack finds out whether a write took effect.
func (s *Store) readBack(next Head, cause error) error {
	for range lostAnswers {
		head, _, _, err := s.Load()
		if err != nil {
			continue
		}
		if head.Change == next.Change {
			return nil
		}
		if head.Revision >= next.Revision {
			return failure.Field(failure.Conflict, "revision", "%q made revision %d first; read it and change again", head.Author, head.Revision)
		}
		return cause
	}
	return failure.Lost.Wrap(cause, "the change may have taken effect: read the settings back when the platform answers")
}

// remember keeps a copy of a revision for history and rollback. It is only a
// copy: when it cannot be written the revision is in force all the same.
func (s *Store) remember(h Head) {
	value, err := json.Marshal(h)
	if err == nil {
		_, _ = s.kv.Swap(api.KVWrite{Key: historyKey(h.Revision), Value: string(value)})
	}
}

// History returns up to limit revisions, newest first, as far as they are kept.
func (s *Store) History(limit int) ([]Head, error) {
	head, _, _, err := s.Load()
	if err != nil {
		return nil, err
	}
	var list []Head
	for r := head.Revision; r > 0 && len(list) < limit; r-- {
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
func (s *Store) Revision(revision uint64) (Head, error) {
	entry, err := s.kv.Get(historyKey(revision))
	if err != nil {
		return Head{}, err
	}
	if entry.Version == 0 {
		return Head{}, failure.Field(failure.NotFound, "revision", "revision %d is not kept", revision)
	}
	var h Head
	if err := json.Unmarshal([]byte(entry.Value), &h); err != nil {
		return Head{}, failure.Protocol.Wrap(err, "revision %d is no JSON", revision)
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
