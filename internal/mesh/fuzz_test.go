package mesh

import (
	"net/http"
	"testing"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Guards against headers between nodes that crash a node.
func FuzzDecodeHop(f *testing.F) {
	f.Add("1000", "normal", "7", "3", "running=1,queued=0,slots=4,level=0:0,limit=2", "yes", "100")
	f.Add("9223372036854775807", "normal", "7", "3", "", "", "")
	f.Add("-1", "normal", "7", "3", "", "", "")
	f.Fuzz(func(t *testing.T, timeout, priority, rank, depth, load, run, code string) {
		h := http.Header{
			call.HeaderTimeout: {timeout}, call.HeaderPriority: {priority}, headerRank: {rank}, call.HeaderDepth: {depth},
			call.HeaderLoad: {load}, call.HeaderRun: {run}, call.HeaderCode: {code}, headerRateLimit: {load},
		}
		if p, err := decodeHop(h.Clone()); err == nil && (p.Timeout < 0 || p.Timeout > call.MaxTimeout) {
			t.Errorf("timeout %s", p.Timeout)
		}
		v := decodeOutcome(h)
		v.encode(http.Header{})
	})
}
