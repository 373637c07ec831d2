package settings

import (
	"maps"
	"slices"
)

// Tree is one state of the settings tree. It does not change, so any number of
// goroutines may read it. Nil stands for the built-in defaults.
type Tree struct {
	// base has the default scope laid over the built-in defaults, and regions
	// each region's overlay over base, so that a lookup copies one of them.
	base     Values
	regions  map[string]*Values
	services map[string]*serviceSettings
	// sources holds the overlays that base and regions were computed from.
	defaults       *overlay
	regionOverlays map[string]*overlay
}

type serviceSettings struct {
	own   overlay
	kinds map[string]*overlay
	// rules holds the kinds with a match list, in the service's order.
	rules []kindRules
}

type kindRules struct {
	kind  string
	rules []MatchRule
}

// Resolve returns the values in force at a path: the built-in defaults with the
// overrides of the default scope, the region, the service and the kind laid over
// them in this order. Unknown names inherit. It does not allocate.
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
	service.own.apply(&values)
	if kind, ok := service.kinds[p.Kind]; ok {
		kind.apply(&values)
	}
	return values
}

// MatchKind returns the first kind of the service that has a rule for the method
// and the path without query, and the empty string when there is none. It does
// not allocate.
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

// with returns a tree in which the scopes are replaced. A nil scope removes the
// overrides. Services that are not named are shared with t.
func (t *Tree) with(scopes map[ScopeName]*Scope) *Tree {
	next := &Tree{
		regions:        make(map[string]*Values),
		services:       maps.Clone(t.services),
		defaults:       t.defaults,
		regionOverlays: maps.Clone(t.regionOverlays),
	}
	for name, scope := range scopes {
		next.replace(name, scope)
	}
	next.base = Defaults()
	next.defaults.apply(&next.base)
	for name, region := range next.regionOverlays {
		values := next.base
		region.apply(&values)
		next.regions[name] = &values
	}
	return next
}

func (t *Tree) replace(name ScopeName, scope *Scope) {
	switch {
	case name.Level == LevelDefault && scope == nil:
		t.defaults = &overlay{}
	case name.Level == LevelDefault:
		t.defaults = scope.overlay()
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

// emptyTree returns the built-in defaults as a tree to build on.
func emptyTree() *Tree {
	return &Tree{
		base:           Defaults(),
		regions:        make(map[string]*Values),
		services:       make(map[string]*serviceSettings),
		defaults:       &overlay{},
		regionOverlays: make(map[string]*overlay),
	}
}

// Services returns the names of the services with settings, sorted.
func (t *Tree) Services() []string {
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.services))
}

// Regions returns the names of the regions with settings, sorted.
func (t *Tree) Regions() []string {
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.regionOverlays))
}
