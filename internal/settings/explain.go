package settings

import "encoding/json"

// Scopes holds decoded settings objects by scope name. A kind has no element of its
// own; it is in the element of its service.
type Scopes map[ScopeName]*Scope

// Explanation states which level sets the value of one field at a path, and which
// overrides of the levels above it have no effect.
type Explanation struct {
	Field string
	// Value is the value at the path as JSON. It is null for match when the kind does
	// not set it.
	Value json.RawMessage
	// From is the scope that sets the value, empty for the built-in default.
	From string
	// Override is the override that sets the value, nil for the built-in default.
	Override *Override
	// Hidden holds the overrides of higher levels that Override takes precedence
	// over, lowest level first.
	Hidden []HiddenOverride
}

// HiddenOverride is an override without effect because a lower level overrides the
// same field.
type HiddenOverride struct {
	Scope string
	Override
}

// Explain returns one explanation for each field, in the order of Fields.
func (s Scopes) Explain(p Path) []Explanation {
	explanations := make([]Explanation, 0, len(fields))
	for _, field := range fields {
		explanations = append(explanations, s.explainField(p, field))
	}
	return explanations
}

func (s Scopes) explainField(p Path, field Field) Explanation {
	e := Explanation{Field: field.Name, Value: field.Default()}
	names := p.scopes()
	for i := len(names) - 1; i >= 0; i-- {
		name := names[i]
		override, given := s[name.ObjectScope()].OverridesFor(name.Kind)[field.Name]
		switch {
		case !given:
		case e.Override == nil:
			e.Value, e.From, e.Override = override.Value, name.String(), &override
		default:
			e.Hidden = append(e.Hidden, HiddenOverride{Scope: name.String(), Override: override})
		}
	}
	return e
}

// scopes returns the scopes that a path inherits from, highest level first.
func (p Path) scopes() []ScopeName {
	names := []ScopeName{{Level: LevelDefault}}
	if p.Region != "" {
		names = append(names, ScopeName{Level: LevelRegion, Name: p.Region})
	}
	if p.Service != "" {
		names = append(names, ScopeName{Level: LevelService, Name: p.Service})
	}
	if p.Service != "" && p.Kind != "" {
		names = append(names, ScopeName{Level: LevelKind, Name: p.Service, Kind: p.Kind})
	}
	return names
}

// Tree returns the settings tree that a node builds from these scopes.
func (s Scopes) Tree() *Tree {
	return emptyTree(Defaults()).withScopes(s)
}
