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
	names   []string
}

// Names returns the member names in the order of the document.
func (o Object) Names() []string {
	return o.names
}

// Get returns a member, and false when it is absent.
func (o Object) Get(name string) (Node, bool) {
	node, ok := o.members[name]
	return node, ok
}

// Require returns a member and records a problem when it is absent.
func (o Object) Require(name, want string) (Node, bool) {
	node, ok := o.members[name]
	if !ok {
		o.node.problems.Add(join(o.node.Path, name), "missing", want)
	}
	return node, ok
}

func (o *Object) add(name string, raw json.RawMessage, allowed []string, fixed bool) {
	path := join(o.node.Path, name)
	if fixed && !slices.Contains(allowed, name) {
		o.node.problems.Add(path, "unknown field", "one of "+strings.Join(allowed, ", "))
		return
	}
	if _, twice := o.members[name]; twice {
		o.node.problems.Add(path, "given twice", "each field once")
		return
	}
	o.members[name] = Node{Path: path, Raw: raw, problems: o.node.problems}
	o.names = append(o.names, name)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
