package node

import (
	"net/http"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/ingress"
)

// settingsGracePeriod is how long a starting node waits for the settings before it
// serves with the built-in defaults, since both peers and platform may be
// unavailable.
const settingsGracePeriod = 3 * time.Second

// settingsGate delays calls until settings are in force or the grace period is over.
// Without it a starting node would briefly treat critical calls as normal ones.
type settingsGate struct {
	// open is closed when the gate is released.
	open chan struct{}
	once sync.Once
}

func newSettingsGate() *settingsGate {
	return &settingsGate{open: make(chan struct{})}
}

func (g *settingsGate) release() {
	g.once.Do(func() { close(g.open) })
}

// startGracePeriod releases the gate after settingsGracePeriod.
func (g *settingsGate) startGracePeriod() {
	time.AfterFunc(settingsGracePeriod, g.release)
}

func (g *settingsGate) released() bool {
	select {
	case <-g.open:
		return true
	default:
		return false
	}
}

// wrap delays all requests except announcements of the upstream until the gate is
// released. A caller that disconnects before that gets no response.
func (g *settingsGate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !ingress.IsAnnouncement(r) {
			select {
			case <-g.open:
			case <-r.Context().Done():
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}
