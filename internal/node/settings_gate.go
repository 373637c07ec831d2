package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/ingress"
)

// settingsGrace is how long a node that starts waits for the settings before it
// serves with the built-in defaults: peers and platform may both be away.
const settingsGrace = 3 * time.Second

// settingsGate holds calls back until the settings are known or the grace is
// over. Without it a node would for a moment take critical calls for normal ones.
type settingsGate struct {
	open chan struct{}
	once sync.Once
}

func newSettingsGate() *settingsGate {
	return &settingsGate{open: make(chan struct{})}
}

func (g *settingsGate) release() {
	g.once.Do(func() { close(g.open) })
}

// startGrace releases the gate after settingsGrace.
func (g *settingsGate) startGrace() {
	time.AfterFunc(settingsGrace, g.release)
}

func (g *settingsGate) released() bool {
	select {
	case <-g.open:
		return true
	default:
		return false
	}
}

// wrap holds back all requests but announcements of the upstream. A caller that
// goes away meanwhile gets no answer.
func (g *settingsGate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != ingress.AnnouncementPath {
			select {
			case <-g.open:
			case <-r.Context().Done():
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}
