package node

import (
	"sync"

	"github.com/mustardwing/mustardwing/internal/settings"
)

// settingsInForce gives the data path the settings tree of the moment and tells
// the other parts about new revisions.
type settingsInForce struct {
	holder *settings.Holder

	mu        sync.Mutex
	listeners []func(revision int64)
}

func newSettingsInForce() *settingsInForce {
	return &settingsInForce{holder: settings.NewHolder()}
}

// Resolve returns the values in force at a path.
func (s *settingsInForce) Resolve(p settings.Path) settings.Values {
	return s.holder.Tree().Resolve(p)
}

// MatchKind returns the call kind of a request.
func (s *settingsInForce) MatchKind(service, method, path string) string {
	return s.holder.Tree().MatchKind(service, method, path)
}

func (s *settingsInForce) onChange(f func(revision int64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

func (s *settingsInForce) notify() {
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	for _, f := range listeners {
		f(s.holder.Revision())
	}
}
