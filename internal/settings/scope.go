package settings

import (
	"encoding/json"
	"time"
)

// Scope is the content of one settings object: the overrides of the default, a
// region or a service, the latter with its kinds.
type Scope struct {
	// WriteIDs identifies the latest writes, newest first, so that a writer that
	// lost the response recognises its own effect even below a later write.
	WriteIDs  []string  `json:"write_ids,omitempty"`
	Overrides Overrides `json:"overrides"`
	// Kinds is in the order in which match rules are tried. Only a service has
	// kinds.
	Kinds []Kind `json:"kinds,omitempty"`
	// History holds earlier overrides, oldest first.
	History []Record `json:"history,omitempty"`
}

// Overrides holds the overrides of one scope by field name.
type Overrides map[string]Override

// Override is one field's value with the decision behind it.
type Override struct {
	// Value is the field's JSON value.
	Value json.RawMessage `json:"value"`
	SetBy string          `json:"set_by"`
	// Reason is never empty.
	Reason string `json:"reason"`
	// SetAt is in UTC.
	SetAt time.Time `json:"set_at"`
}

// Kind holds the overrides of one call kind of a service.
type Kind struct {
	Name      string    `json:"name"`
	Overrides Overrides `json:"overrides"`
}

// Record is an earlier override of a field, or the removal of one.
type Record struct {
	// Kind is empty for the scope's own fields.
	Kind  string `json:"kind,omitempty"`
	Field string `json:"field"`
	// Unset marks a removal; it has no value, and SetBy, Reason and SetAt are
	// those of the removal.
	Unset  bool            `json:"unset,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	SetBy  string          `json:"set_by"`
	Reason string          `json:"reason"`
	SetAt  time.Time       `json:"set_at"`
}

// Bounds of a scope object.
const (
	// MaxScopeBytes keeps an object below the platform's limit on values, whether
	// a megabyte there means 1000000 or 1048576 bytes.
	MaxScopeBytes = 1_000_000
	// MaxKinds bounds the kinds of one service.
	MaxKinds = 256
	// MaxReasonBytes and MaxSetByBytes bound the texts of one override.
	MaxReasonBytes = 500
	MaxSetByBytes  = 100
	// maxRecordsPerField and maxRecords bound the history; the oldest go first.
	// Objects travel between nodes with each change, so the history stays at a few
	// tens of kilobytes at most.
	maxRecordsPerField = 10
	maxRecords         = 200
	// maxWriteIDs is how many later writes may hide a writer's own.
	maxWriteIDs     = 16
	maxWriteIDBytes = 64
)

// OverridesFor returns the overrides of the scope itself or, with a kind, those of
// the kind; nil when there are none.
func (s *Scope) OverridesFor(kind string) Overrides {
	if s == nil {
		return nil
	}
	if kind == "" {
		return s.Overrides
	}
	for _, k := range s.Kinds {
		if k.Name == kind {
			return k.Overrides
		}
	}
	return nil
}

// HasWriteID tells whether the write with this id is among the latest writes.
func (s *Scope) HasWriteID(writeID string) bool {
	for _, id := range s.WriteIDs {
		if id == writeID {
			return true
		}
	}
	return false
}

func (s *Scope) overlay() *overlay {
	return s.Overrides.overlay()
}

func (s *Scope) serviceSettings() *serviceSettings {
	settings := &serviceSettings{own: *s.overlay(), kinds: make(map[string]*overlay)}
	for _, kind := range s.Kinds {
		layer := kind.Overrides.overlay()
		settings.kinds[kind.Name] = layer
		if len(layer.match) > 0 {
			settings.rules = append(settings.rules, kindRules{kind: kind.Name, rules: layer.match})
		}
	}
	return settings
}
