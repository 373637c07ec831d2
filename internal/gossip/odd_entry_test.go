package gossip

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/h1"
)

// Guards against an odd entry from a peer that hides the others in its message, is kept, or is
// sent on to other nodes.
func TestOddEntryFromPeerGoesNoFurther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		_, fleet := startFleet(ctx, 5)
		time.Sleep(5 * time.Second)
		good := `{"node":"good","version":3,"address":"good:1","upstream":{"id":"i","service":"s","slots":1,"state":"ready"}}`
		for _, odd := range []string{
			strings.Replace(good, `"good:1"`, `"good:70000"`, 1),
			strings.Replace(good, `:3`, `:18446744073709551615`, 1),
			strings.Replace(good, `:3`, `:1e30`, 1),
			strings.Replace(good, `"slots":1`, `"slots":"1"`, 1),
			`[[[[]]]]`, `7`, `null`,
		} {
			odd = strings.ReplaceAll(odd, "good", "odd")
			body := `{"news":true,"entries":[` + odd + `,` + good + `]}`
			response := fleet[1].Serve(ctx, &h1.Request{Header: http.Header{}, Body: []byte(body), RemoteIP: "peer"})
			assert.Equal(t, response.Status, http.StatusOK, odd)
		}
		time.Sleep(5 * time.Second)
		for i, g := range fleet {
			_, kept := g.config.Directory.Get("good")
			assert.Assert(t, kept, "node %d", i)
			_, kept = g.config.Directory.Get("odd")
			assert.Assert(t, !kept, "node %d", i)
		}
	})
}

// Guards against a node that does not learn that its entry in the store was spoiled.
func TestSpoiledEntryIsReportedToItsNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		_, fleet := startFleet(ctx, 3)
		var reports [3]atomic.Int64
		for i, g := range fleet {
			g.config.OnSpoiled = func() { reports[i].Add(1) }
		}
		time.Sleep(5 * time.Second)
		fleet[0].ReportSpoiled(ctx, []string{"node-0:1", "node-2:1", "unknown"})
		time.Sleep(time.Second)
		assert.Equal(t, reports[0].Load()+reports[1].Load(), int64(0))
		assert.Equal(t, reports[2].Load(), int64(1))
	})
}

// Guards against a message that crashes a node.
func FuzzDecodeMessage(f *testing.F) {
	body, header, err := encode(message{ConfigVersion: 3, Buckets: []uint64{1, 2}, Compare: &comparison{Buckets: 4, Differing: []int{-1, 9}, Versions: map[string]uint64{"a": 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body, header.Get(headerEncoding) != "")
	f.Add([]byte(`{"entries":[{"node":"a","version":1e99},{"node":"b","version":1,"address":"b:1"}]}`), false)
	f.Fuzz(func(t *testing.T, body []byte, compressed bool) {
		h := http.Header{}
		if compressed {
			h.Set(headerEncoding, encodingGzip)
		}
		m, err := decode(h, body)
		if err != nil {
			return
		}
		d := directory.New(directory.Entry{Node: "self", Address: "self:1"}, time.Now)
		d.Merge(m.Entries)
		d.Versions(m.Buckets)
		if m.Compare != nil {
			d.Compare(m.Compare.Buckets, m.Compare.Differing, m.Compare.Versions)
		}
		if _, err := json.Marshal(m.Entries); err != nil {
			t.Fatal(err)
		}
	})
}
