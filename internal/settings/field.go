package settings

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/mustardwing/mustardwing/internal/strictjson"
)

// JSONType is the JSON form of a field's value.
type JSONType uint8

// JSON types of field values.
const (
	JSONString JSONType = iota
	JSONNumber
	JSONBool
	JSONArray
)

// fieldID is a field's position in the bit set of an overlay.
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
	idLearnedCapacity
	idRampUp
	idMaxBody
	idKeyWindow
	idIsolationLimit
	idMatch
	fieldCount
)

// Field describes one setting.
type Field struct {
	// Name is the setting's name in settings objects and on the command line.
	Name string
	// Unit is empty for fields that hold a name or a boolean.
	Unit string
	// Meaning describes the setting in one or two sentences.
	Meaning string
	// Range describes the accepted values.
	Range string
	// Levels is the set of levels at which the field may be set.
	Levels Level
	// Example is a value as typed on the command line. It differs from the default.
	Example string
	// Type is the JSON type to which FromText converts a value.
	Type JSONType
	id   fieldID
	// read parses a value and stores it in the overlay without marking the field as
	// set. It records a problem and returns false when the value is not accepted.
	read func(strictjson.Node, *overlay) bool
	// jsonValue returns the field's value as a value for json.Marshal.
	jsonValue func(*Values) any
}

// Fields returns all settings in the order of the documentation.
func Fields() []Field {
	return append([]Field(nil), fields...)
}

// LookupField returns the setting of that name, and false when there is none.
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

// ValueIn returns the field's value in values as JSON, null for match, which is
// not inherited.
func (f Field) ValueIn(values Values) json.RawMessage {
	raw, err := json.Marshal(f.jsonValue(&values))
	if err != nil {
		return json.RawMessage("null")
	}
	return raw
}

// FromText converts a value typed on the command line to JSON without validating it.
// For a number or a boolean field, a JSON number, boolean or null is taken as it is
// and any other text becomes a JSON string, which the field does not accept.
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

// FormatText formats a JSON value for display. FromText converts the text of a valid
// value back to an equal value. JSON null is shown as "none", which FromText does not
// convert back.
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
