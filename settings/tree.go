package settings

import (
	"bytes"
	"slices"
	"strconv"
	"strings"

	"github.com/sedgehatch/sedgehatch/failure"

	"gopkg.in/ini.v1"
)

// Level is a level of the tree.
type Level string

// The levels, from the top down.
const (
	LevelFleet   Level = "fleet"
	LevelRegion  Level = "region"
	LevelZone    Level = "zone"
	LevelService Level = "service"
	LevelCaller  Level = "caller"
	// LevelDefault stands for what applies where no level says anything.
	LevelDefault Level = "default"
)

var levels = []Level{LevelFleet, LevelRegion, LevelZone, LevelService, LevelCaller}

// Node names one node of the tree; the fleet's has no name.
type Node struct {
	Level Level
	Name  string
}

// String returns the node as it heads its section, such as "service desk".
func (n Node) String() string {
	if n.Name == "" {
		return string(n.Level)
	}
	return string(n.Level) + " " + n.Name
}

// ParseNode reads a section's head, with an InvalidInput error for no node.
func ParseNode(s string) (Node, error) {
	level, name, _ := strings.Cut(strings.TrimSpace(s), " ")
	n := Node{Level(level), strings.TrimSpace(name)}
	for _, l := range levels {
		if n.Level == l && (n.Name == "") == (l == LevelFleet) {
			return n, nil
		}
	}
	return Node{}, failure.Field(failure.InvalidInput, s, "is no section; allowed: [fleet], [region NAME], [zone NAME], [service NAME], [caller NAME]")
}

// Tree is the settings of one revision. It is never changed.
type Tree struct {
	nodes map[Node]map[string]string
	text  string
}

// Empty returns a tree in which nothing is set.
func Empty() *Tree { return &Tree{nodes: map[Node]map[string]string{}} }

var loadOptions = ini.LoadOptions{IgnoreInlineComment: true, SpaceBeforeInlineComment: true}

// Parse reads and checks a tree in INI. Every problem is in the error list.
func Parse(text string) (*Tree, []error) {
	file, err := ini.LoadSources(loadOptions, []byte(text))
	if err != nil {
		return nil, []error{failure.Field(failure.InvalidInput, "ini", "cannot be read: %v", err)}
	}
	t := &Tree{nodes: map[Node]map[string]string{}, text: text}
	var problems []error
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		node, err := ParseNode(section.Name())
		if err != nil {
			problems = append(problems, err)
			continue
		}
		problems = append(problems, t.take(node, section)...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return t, nil
}

func (t *Tree) take(node Node, section *ini.Section) []error {
	var problems []error
	values := map[string]string{}
	for _, key := range section.Keys() {
		if err := CheckValue(key.Name(), key.Value()); err != nil {
			problems = append(problems, failure.Field(failure.InvalidInput, node.String()+"."+key.Name(), "%s", failure.Text(err)))
		}
		values[key.Name()] = key.Value()
	}
	t.nodes[node] = values
	return problems
}

// Text returns the tree in INI.
func (t *Tree) Text() string { return t.text }

// With returns the tree with key set at node, or unset where value is nil.
func (t *Tree) With(node Node, key string, value *string) (*Tree, []error) {
	file, err := ini.LoadSources(loadOptions, []byte(t.text))
	if err != nil {
		return nil, []error{failure.Field(failure.InvalidInput, "ini", "cannot be read: %v", err)}
	}
	if value == nil {
		file.Section(node.String()).DeleteKey(key)
	} else {
		file.Section(node.String()).Key(key).SetValue(*value)
	}
	var buf bytes.Buffer
	if _, err := file.WriteTo(&buf); err != nil {
		return nil, []error{failure.Internal.Wrap(err, "the settings cannot be written")}
	}
	return Parse(buf.String())
}

// Path says where a value is wanted: the node of each level, "" for none.
type Path struct {
	Region, Zone, Service, Caller string
}

func (p Path) nodes() []Node {
	list := []Node{{LevelFleet, ""}}
	for _, n := range []Node{{LevelRegion, p.Region}, {LevelZone, p.Zone}, {LevelService, p.Service}, {LevelCaller, p.Caller}} {
		if n.Name != "" {
			list = append(list, n)
		}
	}
	return list
}

// Value is a setting in force somewhere, and the node that it came from.
type Value struct {
	Key  string
	Text string
	From Node
}

// Get returns the value of key at path: that of the lowest level that has one.
func (t *Tree) Get(path Path, key string) Value {
	v := Value{Key: key, Text: byKey[key].Default, From: Node{Level: LevelDefault}}
	for _, n := range path.nodes() {
		if text, set := t.nodes[n][key]; set {
			v.Text, v.From = text, n
		}
	}
	return v
}

// Int returns the value of key at path as a number.
func (t *Tree) Int(path Path, key string) int64 {
	n, err := strconv.ParseInt(t.Get(path, key).Text, 10, 64)
	if err != nil {
		return 0 // cannot be: values are checked
	}
	return n
}

// Float returns the value of key at path as a number.
func (t *Tree) Float(path Path, key string) float64 {
	f, err := strconv.ParseFloat(t.Get(path, key).Text, 64)
	if err != nil {
		return 0 // cannot be: values are checked
	}
	return f
}

// Difference is one value that two trees do not share; "" is not set.
type Difference struct {
	Node          Node
	Key           string
	Before, After string
}

// Diff returns what changes from t to o, by node and key.
func (t *Tree) Diff(o *Tree) []Difference {
	var list []Difference
	for node := range union(t.nodes, o.nodes) {
		for key := range union(t.nodes[node], o.nodes[node]) {
			if b, a := t.nodes[node][key], o.nodes[node][key]; a != b {
				list = append(list, Difference{node, key, b, a})
			}
		}
	}
	sortDifferences(list)
	return list
}

func union[K comparable, V any](a, b map[K]V) map[K]bool {
	all := map[K]bool{}
	for k := range a {
		all[k] = true
	}
	for k := range b {
		all[k] = true
	}
	return all
}

func formatRevision(revision uint64) string { return strconv.FormatUint(revision, 10) }

// NodeNames returns the names that a level has nodes for, sorted.
func (t *Tree) NodeNames(level Level) []string {
	var names []string
	for n := range t.nodes {
		if n.Level == level {
			names = append(names, n.Name)
		}
	}
	slices.Sort(names)
	return names
}
