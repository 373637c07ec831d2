package settings

import (
	"encoding/json"
	"time"
)

// Scope is the content of one settings object: the overrides of the default scope,
// of a region, or of a service and its kinds.
type Scope struct {
	// WriteIDs identifies the latest writes, newest first, so that a writer that got no
	// response can still recognise its own write after later ones.
	WriteIDs []string `json:"write_ids,omitempty"`
	// Overrides holds the overrides of the scope itself, without those of its kinds.
	Overrides Overrides `json:"overrides"`
	// Kinds is in the order in which match rules are evaluated. Only a service has
	// kinds.
	Kinds []Kind `json:"kinds,omitempty"`
	// History holds earlier overrides and the removals of overrides, oldest first.
	History []Record `json:"history,omitempty"`
}

// Overrides holds the overrides of one scope by field name.
type Overrides map[string]Override

// Override is one field's value, with who set it, why and when.
type Override struct {
	// Value is the field's JSON value.
	Value json.RawMessage `json:"value"`
	// SetBy and Reason are never empty.
	SetBy  string `json:"set_by"`
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
	// Unset is true for a removal, which has no value. SetBy, Reason and SetAt are
	// those of the override or of the removal.
	Unset  bool            `json:"unset,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	SetBy  string          `json:"set_by"`
	Reason string          `json:"reason"`
	SetAt  time.Time       `json:"set_at"`
}

// Bounds of a scope object.
const (
	// MaxScopeBytes keeps an object within the platform's limit of one megabyte per
	// value, whether that means 1000000 or 1048576 bytes.
	MaxScopeBytes = 1_000_000
	// MaxKinds is the maximum number of kinds of one service.
	MaxKinds = 256
	// MaxReasonBytes and MaxSetByBytes are the maximum lengths of Reason and SetBy.
	MaxReasonBytes = 500
	MaxSetByBytes  = 100
	// maxRecordsPerField and maxRecords bound the history; the oldest records are
	// dropped first. Nodes send the whole object with each change, so the history is
	// limited to a few tens of kilobytes.
	maxRecordsPerField = 10
	maxRecords         = 200
	// maxWriteIDs is the number of latest writes that an object identifies. After
	// that many later writes, a writer can no longer recognise its own write.
	// maxWriteIDBytes is the maximum length of one id.
	maxWriteIDs     = 16
	maxWriteIDBytes = 64
)

// OverridesFor returns the overrides of a kind, or those of the scope itself when
// kind is empty. It returns nil when there are none.
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

// HasWriteID reports whether the write with this id is among the latest writes.
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

// serviceSettings parses the overrides of a service and its kinds, which have passed
// validation.
func (s *Scope) serviceSettings() *serviceSettings {
	settings := &serviceSettings{overlay: *s.overlay(), kinds: make(map[string]*overlay)}
	for _, kind := range s.Kinds {
		layer := kind.Overrides.overlay()
		settings.kinds[kind.Name] = layer
		if len(layer.match) > 0 {
			settings.rules = append(settings.rules, kindRules{kind: kind.Name, rules: layer.match})
		}
	}
	return settings
}
