package settings

import (
	"bytes"
	"slices"
	"strconv"
	"strings"

	"github.com/sedgehatch/sedgehatch/failure"

	"gopkg.in/ini.v1"
)

// Level is a level of the settings tree.
type Level string

// The levels, from the highest to the lowest.
const (
	LevelFleet   Level = "fleet"
	LevelRegion  Level = "region"
	LevelZone    Level = "zone"
	LevelService Level = "service"
	LevelCaller  Level = "caller"
	// LevelDefault is the origin of a value that is not set at any level.
	LevelDefault Level = "default"
)

var levels = []Level{LevelFleet, LevelRegion, LevelZone, LevelService, LevelCaller}

// Node identifies a node of the tree, such as one zone, by its level and name. The node of the
// fleet has no name.
type Node struct {
	Level Level
	Name  string
}

// String returns the section name of the node, such as "service desk".
func (n Node) String() string {
	if n.Name == "" {
		return string(n.Level)
	}
	return string(n.Level) + " " + n.Name
}

// ParseNode parses the section name of a node, such as "service desk". The error is InvalidInput
// if s is not one.
func ParseNode(s string) (Node, error) {
	level, name, _ := strings.Cut(strings.TrimSpace(s), " ")
	n := Node{Level(level), strings.TrimSpace(name)}
	for _, l := range levels {
		if n.Level == l && (n.Name == "") == (l == LevelFleet) {
			return n, nil
		}
	}
	return Node{}, failure.Field(failure.InvalidInput, s, "is not a valid section; allowed: [fleet], [region NAME], [zone NAME], [service NAME], [caller NAME]")
}

// Tree holds the settings of one revision. It is immutable.
type Tree struct {
	nodes map[Node]map[string]string
	text  string
}

// Empty returns a tree in which nothing is set.
func Empty() *Tree { return &Tree{nodes: map[Node]map[string]string{}} }

var loadOptions = ini.LoadOptions{IgnoreInlineComment: true, SpaceBeforeInlineComment: true}

// Parse parses and checks a tree in INI format. If it finds problems, it returns all of them,
// not only the first, and no tree.
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
		problems = append(problems, t.addSection(node, section)...)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return t, nil
}

// addSection adds a section to t as node and returns the problems of the section's values.
func (t *Tree) addSection(node Node, section *ini.Section) []error {
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

// Text returns the tree in INI format.
func (t *Tree) Text() string { return t.text }

// With returns a copy of the tree in which key has the given value at node; nil removes the
// value from the node. If that makes the tree invalid, With returns the problems instead.
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
		return nil, []error{failure.Internal.Wrap(err, "cannot write the settings as INI")}
	}
	return Parse(buf.String())
}

// Path selects the nodes in which a setting is looked up: the fleet, and at each lower level
// the node with the given name. An empty name skips the level.
type Path struct {
	Region, Zone, Service, Caller string
}

// nodes returns the nodes on the path, from the highest level to the lowest.
func (p Path) nodes() []Node {
	list := []Node{{LevelFleet, ""}}
	for _, n := range []Node{{LevelRegion, p.Region}, {LevelZone, p.Zone}, {LevelService, p.Service}, {LevelCaller, p.Caller}} {
		if n.Name != "" {
			list = append(list, n)
		}
	}
	return list
}

// Value is the result of looking up a setting for a path: the value and the node that sets it.
type Value struct {
	Key  string
	Text string
	From Node
}

// Get looks up key for path. Among the nodes of the path that set key, the one at the lowest
// level determines the value. If no node sets key, Get returns the default.
func (t *Tree) Get(path Path, key string) Value {
	v := Value{Key: key, Text: byKey[key].Default, From: Node{Level: LevelDefault}}
	for _, n := range path.nodes() {
		if text, set := t.nodes[n][key]; set {
			v.Text, v.From = text, n
		}
	}
	return v
}

// Int is like Get for a setting whose value is an integer.
func (t *Tree) Int(path Path, key string) int64 {
	n, err := strconv.ParseInt(t.Get(path, key).Text, 10, 64)
	if err != nil {
		return 0 // impossible: Parse checks the values
	}
	return n
}

// Float is like Get for a setting whose value is a floating-point number.
func (t *Tree) Float(path Path, key string) float64 {
	f, err := strconv.ParseFloat(t.Get(path, key).Text, 64)
	if err != nil {
		return 0 // impossible: Parse checks the values
	}
	return f
}

// Difference is a value that differs between two trees. Before or After is empty if the node
// does not set the key in that tree.
type Difference struct {
	Node          Node
	Key           string
	Before, After string
}

// Diff returns the changes from t to other, sorted by node and key.
func (t *Tree) Diff(other *Tree) []Difference {
	var list []Difference
	for node := range unionOfKeys(t.nodes, other.nodes) {
		for key := range unionOfKeys(t.nodes[node], other.nodes[node]) {
			if b, a := t.nodes[node][key], other.nodes[node][key]; a != b {
				list = append(list, Difference{node, key, b, a})
			}
		}
	}
	sortDifferences(list)
	return list
}

func unionOfKeys[K comparable, V any](a, b map[K]V) map[K]bool {
	all := map[K]bool{}
	for k := range a {
		all[k] = true
	}
	for k := range b {
		all[k] = true
	}
	return all
}

func formatRevision(number uint64) string { return strconv.FormatUint(number, 10) }

// NodeNames returns the names of the nodes at a level, sorted.
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
