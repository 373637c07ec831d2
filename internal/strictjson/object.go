package strictjson

import (
	"encoding/json"
	"slices"
	"strings"
)

// Object holds the members of a JSON object.
type Object struct {
	node    Node
	members map[string]Node
	// names holds the keys of members in the order of the document.
	names []string
}

// Names returns the member names in the order of the document.
func (o Object) Names() []string {
	return o.names
}

// Get returns a member, and false when the object does not have it.
func (o Object) Get(name string) (Node, bool) {
	node, ok := o.members[name]
	return node, ok
}

// Require is Get for a mandatory member: it records a problem when the member is
// missing.
func (o Object) Require(name, want string) (Node, bool) {
	node, ok := o.members[name]
	if !ok {
		o.node.problems.Add(joinPath(o.node.Path, name), "missing", want)
	}
	return node, ok
}

// add adds a member, or records a problem for a repeated name or, when fixed is true,
// for a name that is not among the allowed ones.
func (o *Object) add(name string, raw json.RawMessage, allowed []string, fixed bool) {
	path := joinPath(o.node.Path, name)
	if fixed && !slices.Contains(allowed, name) {
		o.node.problems.Add(path, "unknown field", "one of "+strings.Join(allowed, ", "))
		return
	}
	if _, duplicate := o.members[name]; duplicate {
		o.node.problems.Add(path, "given twice", "each field once")
		return
	}
	o.members[name] = Node{Path: path, Raw: raw, problems: o.node.problems}
	o.names = append(o.names, name)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
