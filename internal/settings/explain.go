package settings

import "encoding/json"

// Scopes holds decoded scopes by the name of their object.
type Scopes map[ScopeName]*Scope

// Explanation tells for one field of a path which level gave its value, and
// what the levels above it would have given.
type Explanation struct {
	Field string
	// Value is the one in force, null for match where none is given.
	Value json.RawMessage
	// From is the scope that gave the value, empty for the built-in default.
	From string
	// Override is the decision behind the value, nil for the built-in default.
	Override *Override
	// Hidden holds the overrides that From's wins over, nearest first.
	Hidden []HiddenOverride
}

// HiddenOverride is an override that a lower level wins over.
type HiddenOverride struct {
	Scope string
	Override
}

// Explain returns one entry for each field, in the order of Fields.
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
		override, given := s[name.Object()].OverridesFor(name.Kind)[field.Name]
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

// scopes returns the scopes that a path inherits from, from the top down.
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

// Tree returns the tree that nodes have in force with these scopes.
func (s Scopes) Tree() *Tree {
	return emptyTree().with(s)
}
