package fleet

import (
	"encoding/json"
	"time"
)

// Overrides maps names of settings fields to values.
type Overrides map[string]any

// KindOverrides are the overrides of one call kind.
type KindOverrides struct {
	Name      string
	Overrides Overrides
}

type scopeObject struct {
	WriteIDs  []string                  `json:"write_ids"`
	Overrides map[string]overrideObject `json:"overrides"`
	Kinds     []kindObject              `json:"kinds,omitempty"`
}

type kindObject struct {
	Name      string                    `json:"name"`
	Overrides map[string]overrideObject `json:"overrides"`
}

type overrideObject struct {
	Value  any       `json:"value"`
	SetBy  string    `json:"set_by"`
	Reason string    `json:"reason"`
	SetAt  time.Time `json:"set_at"`
}

// ScopeObject returns the stored form of a settings scope: the default, a region or a
// service, which may contain call kinds. It panics if a value cannot be encoded as JSON.
func ScopeObject(overrides Overrides, kinds ...KindOverrides) string {
	object := scopeObject{WriteIDs: []string{"fleet"}, Overrides: overrideObjects(overrides)}
	for _, k := range kinds {
		object.Kinds = append(object.Kinds, kindObject{Name: k.Name, Overrides: overrideObjects(k.Overrides)})
	}
	data, err := json.Marshal(object)
	if err != nil {
		panic(err)
	}
	return string(data)
}

func overrideObjects(o Overrides) map[string]overrideObject {
	objects := make(map[string]overrideObject)
	for field, value := range o {
		objects[field] = overrideObject{Value: value, SetBy: "fleet", Reason: "initial settings of the test fleet", SetAt: time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)}
	}
	return objects
}
