// Package strictjson parses JSON documents that people edit. Unlike encoding/json it
// does not accept unknown, duplicate or differently cased member names, and it
// reports all problems of a document with their paths.
package strictjson

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Node is one value of a document with its path. Its accessors record a problem and
// return false when the value has another type or is out of range.
type Node struct {
	// Path locates the value in the document, for example
	// "kinds[0].overrides.timeout". It is empty for the document itself.
	Path string
	// Raw is the value's JSON text.
	Raw json.RawMessage
	// problems receives the problems that the accessors record.
	problems *Problems
}

// Parse returns the document's top-level value. It records a problem and returns
// false when data is not exactly one JSON value in UTF-8.
func Parse(data []byte, problems *Problems) (Node, bool) {
	if !utf8.Valid(data) {
		problems.Add("", "invalid bytes", "JSON in UTF-8")
		return Node{}, false
	}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		problems.Add("", "not JSON: "+err.Error(), "one JSON object")
		return Node{}, false
	}
	return Node{Raw: bytes.TrimSpace(raw), problems: problems}, true
}

// ReportInvalid records the value as invalid; want describes what is accepted.
func (n Node) ReportInvalid(want string) {
	n.problems.Add(n.Path, string(n.Raw), want)
}

// Report is ReportInvalid with a description of what was found instead of the value.
func (n Node) Report(found, want string) {
	n.problems.Add(n.Path, found, want)
}

// Object returns the members of an object. It records a problem for a member that is
// not allowed, which it leaves out, and for each repetition of a name, of which it keeps
// the first member.
func (n Node) Object(allowed ...string) (Object, bool) {
	return n.object(allowed, true)
}

// Map is Object for an object with any member names.
func (n Node) Map() (Object, bool) {
	return n.object(nil, false)
}

func (n Node) object(allowed []string, fixed bool) (Object, bool) {
	if n.firstByte() != '{' {
		n.ReportInvalid("an object")
		return Object{}, false
	}
	object := Object{node: n, members: make(map[string]Node)}
	decoder := json.NewDecoder(bytes.NewReader(n.Raw))
	if _, err := decoder.Token(); err != nil {
		n.ReportInvalid("an object")
		return Object{}, false
	}
	for decoder.More() {
		name, raw, err := readMember(decoder)
		if err != nil {
			n.ReportInvalid("an object")
			return Object{}, false
		}
		object.add(name, raw, allowed, fixed)
	}
	return object, true
}

func readMember(decoder *json.Decoder) (string, json.RawMessage, error) {
	token, err := decoder.Token()
	if err != nil {
		return "", nil, err
	}
	name, _ := token.(string)
	var raw json.RawMessage
	err = decoder.Decode(&raw)
	return name, raw, err
}

// List returns the elements of an array.
func (n Node) List() ([]Node, bool) {
	if n.firstByte() != '[' {
		n.ReportInvalid("a list")
		return nil, false
	}
	var raw []json.RawMessage
	if err := json.Unmarshal(n.Raw, &raw); err != nil {
		n.ReportInvalid("a list")
		return nil, false
	}
	nodes := make([]Node, len(raw))
	for i, element := range raw {
		nodes[i] = Node{Path: fmt.Sprintf("%s[%d]", n.Path, i), Raw: element, problems: n.problems}
	}
	return nodes, true
}

// Text returns the value of a string.
func (n Node) Text() (string, bool) {
	var text string
	if n.firstByte() != '"' || json.Unmarshal(n.Raw, &text) != nil {
		n.ReportInvalid("text in quotes")
		return "", false
	}
	return text, true
}

// Int returns the value of an integer, written without fraction or exponent.
func (n Node) Int() (int64, bool) {
	value, err := strconv.ParseInt(string(n.Raw), 10, 64)
	if err != nil {
		n.ReportInvalid("a whole number")
		return 0, false
	}
	return value, true
}

// Float returns the value of a number.
func (n Node) Float() (float64, bool) {
	var value float64
	if strings.IndexByte("-0123456789", n.firstByte()) < 0 || json.Unmarshal(n.Raw, &value) != nil {
		n.ReportInvalid("a number")
		return 0, false
	}
	return value, true
}

// Bool returns the value of a boolean.
func (n Node) Bool() (bool, bool) {
	switch string(n.Raw) {
	case "true":
		return true, true
	case "false":
		return false, true
	}
	n.ReportInvalid("true or false")
	return false, false
}

// firstByte returns the first byte of the JSON text, which determines the value's
// type. It is 0 for an empty text.
func (n Node) firstByte() byte {
	if len(n.Raw) == 0 {
		return 0
	}
	return n.Raw[0]
}
