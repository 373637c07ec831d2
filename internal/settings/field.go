package settings

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/mustardwing/mustardwing/internal/strictjson"
)

// JSONType is the JSON form of a field's value.
type JSONType uint8

// JSON types of a value.
const (
	JSONString JSONType = iota
	JSONNumber
	JSONBool
	JSONArray
)

// fieldID numbers the fields within an overlay's bit set.
type fieldID uint8

const (
	idPriority fieldID = iota
	idIdempotent
	idTimeout
	idRetries
	idMoves
	idHedge
	idQueuePerSlot
	idQueueTimeout
	idLongShare
	idStragglerShare
	idRampUp
	idMaxBody
	idKeyWindow
	idIsolationLimit
	idMatch
	fieldCount
)

// Field describes one setting.
type Field struct {
	Name string
	// Unit is empty for names and switches.
	Unit string
	// Meaning is one or two sentences for people.
	Meaning string
	// Range says what is accepted.
	Range string
	// Levels are where the field may be given.
	Levels Level
	// Example is a value as typed on the command line.
	Example string
	Type    JSONType
	id      fieldID
	read    func(strictjson.Node, *overlay) bool
	show    func(*Values) any
}

// Fields returns all settings in the order of the documentation.
func Fields() []Field {
	return append([]Field(nil), fields...)
}

// LookupField finds a setting by its name.
func LookupField(name string) (Field, bool) {
	for _, f := range fields {
		if f.Name == name {
			return f, true
		}
	}
	return Field{}, false
}

// Default returns the built-in default as JSON, null for a field without one.
func (f Field) Default() json.RawMessage {
	return f.ValueIn(Defaults())
}

// ValueIn returns the field's part of values as JSON, null for match, which is not
// inherited.
func (f Field) ValueIn(values Values) json.RawMessage {
	raw, err := json.Marshal(f.show(&values))
	if err != nil {
		return json.RawMessage("null")
	}
	return raw
}

// FromText turns a value typed on the command line into JSON. The result is
// not yet checked.
func (f Field) FromText(text string) json.RawMessage {
	switch f.Type {
	case JSONNumber, JSONBool:
		if json.Valid([]byte(text)) && !strings.ContainsAny(text, "\"[{") {
			return json.RawMessage(text)
		}
		return quoteJSON(text)
	case JSONArray:
		parts := strings.Split(text, ",")
		for i := range parts {
			parts[i] = strings.TrimSpace(parts[i])
		}
		raw, _ := json.Marshal(parts)
		return raw
	default:
		return quoteJSON(text)
	}
}

// FormatText is the inverse of FromText, for people.
func FormatText(raw json.RawMessage) string {
	var list []string
	if json.Unmarshal(raw, &list) == nil && list != nil {
		return strings.Join(list, ", ")
	}
	var text string
	if json.Unmarshal(raw, &text) == nil && string(raw) != "null" {
		return text
	}
	if string(raw) == "null" {
		return "none"
	}
	return string(raw)
}

func quoteJSON(text string) json.RawMessage {
	raw, err := json.Marshal(text)
	if err != nil {
		return json.RawMessage(strconv.Quote(text))
	}
	return raw
}
