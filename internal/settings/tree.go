package settings

import (
	"maps"
	"slices"
)

// Tree is one version of the settings tree. It is immutable and safe for concurrent
// use. A nil Tree holds the built-in defaults.
type Tree struct {
	// defaults is what no scope overrides.
	defaults Values
	// base is defaults with the default scope applied, and regions holds
	// base with the overlay of one region applied, by the region's name, so that
	// Resolve copies one of them.
	base    Values
	regions map[string]*Values
	// services holds the overlays of services and their kinds by service name.
	services map[string]*serviceSettings
	// defaultOverlay is the overlay of the default scope and regionOverlays holds those of
	// the regions; base and regions are computed from them.
	defaultOverlay *overlay
	regionOverlays map[string]*overlay
}

type serviceSettings struct {
	overlay overlay
	kinds   map[string]*overlay
	// rules holds the match lists of the kinds that have one, in the order of
	// Scope.Kinds.
	rules []kindRules
}

type kindRules struct {
	kind  string
	rules []MatchRule
}

// Resolve returns the values in force at a path: the built-in defaults, over which
// the overrides of the default scope, the region, the service and the kind are
// applied in this order. An unknown name has no overrides. Resolve does not allocate.
func (t *Tree) Resolve(p Path) Values {
	if t == nil {
		return Defaults()
	}
	values := t.base
	if region, ok := t.regions[p.Region]; ok {
		values = *region
	}
	service, ok := t.services[p.Service]
	if !ok {
		return values
	}
	service.overlay.apply(&values)
	if kind, ok := service.kinds[p.Kind]; ok {
		kind.apply(&values)
	}
	return values
}

// MatchKind returns the first kind of the service with a match rule for the method
// and the path without query, or the empty string when there is none. It does not
// allocate.
func (t *Tree) MatchKind(service, method, path string) string {
	if t == nil {
		return ""
	}
	s, ok := t.services[service]
	if !ok {
		return ""
	}
	for i := range s.rules {
		for _, rule := range s.rules[i].rules {
			if rule.matches(method, path) {
				return s.rules[i].kind
			}
		}
	}
	return ""
}

// withScopes returns a tree in which the named scopes are replaced. A nil scope
// removes the overrides. The settings of other services are shared with t.
func (t *Tree) withScopes(scopes map[ScopeName]*Scope) *Tree {
	next := &Tree{
		defaults:       t.defaults,
		regions:        make(map[string]*Values),
		services:       maps.Clone(t.services),
		defaultOverlay: t.defaultOverlay,
		regionOverlays: maps.Clone(t.regionOverlays),
	}
	for name, scope := range scopes {
		next.replaceScope(name, scope)
	}
	next.base = t.defaults
	next.defaultOverlay.apply(&next.base)
	for name, region := range next.regionOverlays {
		values := next.base
		region.apply(&values)
		next.regions[name] = &values
	}
	return next
}

func (t *Tree) replaceScope(name ScopeName, scope *Scope) {
	switch {
	case name.Level == LevelDefault && scope == nil:
		t.defaultOverlay = &overlay{}
	case name.Level == LevelDefault:
		t.defaultOverlay = scope.overlay()
	case name.Level == LevelRegion && scope == nil:
		delete(t.regionOverlays, name.Name)
	case name.Level == LevelRegion:
		t.regionOverlays[name.Name] = scope.overlay()
	case scope == nil:
		delete(t.services, name.Name)
	default:
		t.services[name.Name] = scope.serviceSettings()
	}
}

// emptyTree returns a tree without overrides.
func emptyTree(defaults Values) *Tree {
	return &Tree{
		defaults:       defaults,
		base:           defaults,
		regions:        make(map[string]*Values),
		services:       make(map[string]*serviceSettings),
		defaultOverlay: &overlay{},
		regionOverlays: make(map[string]*overlay),
	}
}

// Services returns the names of the services that have settings, sorted.
func (t *Tree) Services() []string {
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.services))
}

// Regions returns the names of the regions that have settings, sorted.
func (t *Tree) Regions() []string {
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.regionOverlays))
}
