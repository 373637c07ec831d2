package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/ingress"
)

// Guards against a node that serves its first calls with the built-in defaults
// although settings exist, so that critical calls are shed like normal ones, and
// against a node that serves no calls while peers and platform are unavailable.
func TestCallsWaitForSettings(t *testing.T) {
	for _, settingsDelay := range []time.Duration{time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			gate := newSettingsGate()
			gate.startGracePeriod()
			time.AfterFunc(settingsDelay, gate.release)
			started := time.Now()
			handler := gate.wrap(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusNoContent)
			}))
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPut, ingress.AnnouncementPath, nil))
			assert.Equal(t, time.Since(started), time.Duration(0), "announcements are not delayed")
			handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
			assert.Equal(t, time.Since(started), min(settingsDelay, settingsGracePeriod))
			time.Sleep(2 * time.Hour)
		})
	}
}
