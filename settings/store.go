package settings

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/failure"

	"github.com/google/uuid"
)

// HeadKey is the key under which the platform stores the current revision.
const HeadKey = "sedgehatch/settings/head"

// historyKey returns the key under which the platform stores the copy of a revision.
func historyKey(number uint64) string {
	return "sedgehatch/settings/revision/" + formatRevision(number)
}

// Revision is a numbered version of the whole settings tree, with its origin.
type Revision struct {
	Number uint64 `json:"revision"`
	// ChangeID is a random id of the change that made the revision. By reading it back, a
	// writer that received no response finds out whether its own change took effect.
	ChangeID string `json:"change"`
	Author   string `json:"author,omitempty"`
	AtMs     int64  `json:"at_ms"` // Unix milliseconds
	INI      string `json:"ini"`
}

// KV is the key-value service of the platform. *kv.Client implements it.
type KV interface {
	Get(key string) (api.KVEntry, error)
	CompareAndSwap(w api.KVWrite) (api.KVEntry, error)
}

// Store reads and updates the settings at the platform.
type Store struct {
	kv    KV
	nowMs func() int64
}

// NewStore returns a Store. nowMs returns the current time in Unix milliseconds.
func NewStore(kv KV, nowMs func() int64) *Store { return &Store{kv, nowMs} }

// DecodeRevision decodes and checks the value of HeadKey. An empty value stands for a settings
// tree in which nothing is set: no revision has been written yet.
func DecodeRevision(value string) (Revision, *Tree, error) {
	if value == "" {
		return Revision{}, Empty(), nil
	}
	var revision Revision
	if err := json.Unmarshal([]byte(value), &revision); err != nil {
		return Revision{}, nil, failure.Protocol.Wrap(err, "the settings at the platform are not valid JSON")
	}
	tree, problems := Parse(revision.INI)
	if len(problems) > 0 {
		return revision, nil, problems[0]
	}
	return revision, tree, nil
}

// Load returns the current revision, its tree, and the version of HeadKey at the platform,
// which a write has to match.
func (s *Store) Load() (Revision, *Tree, uint64, error) {
	entry, err := s.kv.Get(HeadKey)
	if err != nil {
		return Revision{}, nil, 0, err
	}
	revision, tree, err := DecodeRevision(entry.Value)
	return revision, tree, entry.Version, err
}

// readBackAttempts is how many times an update tries to read the settings after a failed write
// before it gives up with the error Lost.
const readBackAttempts = 5

// Update calls edit with the current tree and stores the tree that edit returns as the next
// revision. It returns the new revision and its differences from the previous one. base is the
// number of the revision that the operator has seen, or zero to change whichever revision is
// current. If the write fails, the settings are read back to find out whether the change took
// effect. The errors are:
//   - Conflict: base is not the current revision, or another update was faster;
//   - Lost: the change may have taken effect;
//   - the first problem that edit returns, or the error of a failed read.
func (s *Store) Update(base uint64, author string, edit func(*Tree) (*Tree, []error)) (Revision, []Difference, error) {
	current, tree, version, err := s.Load()
	if err != nil {
		return Revision{}, nil, err
	}
	if base != 0 && base != current.Number {
		return current, nil, failure.Field(failure.Conflict, "revision", "revision %d is in force, made by %q, but the change is based on revision %d", current.Number, current.Author, base)
	}
	edited, problems := edit(tree)
	if len(problems) > 0 {
		return current, nil, problems[0]
	}
	next := Revision{Number: current.Number + 1, ChangeID: uuid.NewString(), Author: author, AtMs: s.nowMs(), INI: edited.Text()}
	if err := s.writeCurrent(next, version); err != nil {
		return current, nil, err
	}
	s.saveToHistory(next)
	return next, tree.Diff(edited), nil
}

// writeCurrent stores next as the current revision if HeadKey still has the given version.
func (s *Store) writeCurrent(next Revision, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return failure.Internal.Wrap(err, "cannot encode the settings")
	}
	_, err = s.kv.CompareAndSwap(api.KVWrite{Key: HeadKey, Value: string(value), Expect: version})
	if err == nil {
		return nil
	}
	return s.readBack(next, err)
}

// readBack finds out whether the write of next took effect although it failed with the error
// cause. It returns:
//   - nil if next is the current revision;
//   - Conflict if the current revision has the same or a higher number but another change id;
//   - cause if the current revision has a lower number;
//   - Lost if the settings could not be read.
func (s *Store) readBack(next Revision, cause error) error {
	for range readBackAttempts {
		current, _, _, err := s.Load()
		if err != nil {
			continue
		}
		if current.ChangeID == next.ChangeID {
			return nil
		}
		if current.Number >= next.Number {
			return failure.Field(failure.Conflict, "revision", "%q has already made revision %d; read it and repeat the change", current.Author, current.Number)
		}
		return cause
	}
	return failure.Lost.Wrap(cause, "the change may have taken effect; read the settings when the platform responds again")
}

// saveToHistory writes a copy of a revision for History and rollbacks. Errors are ignored,
// because the revision is in force even if its copy is missing.
func (s *Store) saveToHistory(revision Revision) {
	value, err := json.Marshal(revision)
	if err == nil {
		_, _ = s.kv.CompareAndSwap(api.KVWrite{Key: historyKey(revision.Number), Value: string(value)})
	}
}

// History returns the copies of up to limit revisions, newest first. It leaves out revisions
// whose copy is missing.
func (s *Store) History(limit int) ([]Revision, error) {
	current, _, _, err := s.Load()
	if err != nil {
		return nil, err
	}
	var list []Revision
	for r := current.Number; r > 0 && len(list) < limit; r-- {
		revision, err := s.Revision(r)
		if failure.Is(err, failure.NotFound) {
			continue
		}
		if err != nil {
			return list, err
		}
		list = append(list, revision)
	}
	return list, nil
}

// Revision returns the copy of a revision. The error is NotFound if there is no copy.
func (s *Store) Revision(number uint64) (Revision, error) {
	entry, err := s.kv.Get(historyKey(number))
	if err != nil {
		return Revision{}, err
	}
	if entry.Version == 0 {
		return Revision{}, failure.Field(failure.NotFound, "revision", "there is no copy of revision %d", number)
	}
	var decoded Revision
	if err := json.Unmarshal([]byte(entry.Value), &decoded); err != nil {
		return Revision{}, failure.Protocol.Wrap(err, "the copy of revision %d is not valid JSON", number)
	}
	return decoded, nil
}

func sortDifferences(list []Difference) {
	slices.SortFunc(list, func(a, b Difference) int {
		if c := cmp.Compare(a.Node.String(), b.Node.String()); c != 0 {
			return c
		}
		return cmp.Compare(a.Key, b.Key)
	})
}
