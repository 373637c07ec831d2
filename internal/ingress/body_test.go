package ingress_test

import (
	"bytes"
	"crypto/sha256"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

const mebibyte = 1 << 20

// pattern returns the given number of bytes, the same at every call.
func pattern(length int64) io.Reader {
	return io.LimitReader(rand.NewChaCha8([32]byte{1}), length)
}

// heapMonitor passes writes on and records the largest heap, sampled once per
// mebibyte.
type heapMonitor struct {
	io.Writer
	written, largest uint64
}

func (h *heapMonitor) Write(p []byte) (int, error) {
	before := h.written / mebibyte
	h.written += uint64(len(p))
	if h.written/mebibyte != before {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		h.largest = max(h.largest, m.HeapAlloc)
	}
	return h.Writer.Write(p)
}

// Guards against bodies that are held in memory: the upstream sends a long body
// back while the heap stays far below its length.
func TestLargeBodiesNeedLittleMemory(t *testing.T) {
	length := int64(256 * mebibyte)
	if testing.Short() {
		length = 96 * mebibyte
	}
	f := newFleet(t, nil)
	callerNode := f.add("", "", nil)
	f.add("photos", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, http.NewResponseController(w).EnableFullDuplex())
		_, err := io.Copy(w, r.Body)
		assert.Check(t, err)
	}), nil)
	r := newRequest(t, http.MethodPost, callerNode.callerAddress, "photos", "")
	r.Body = io.NopCloser(pattern(length))
	r.ContentLength = -1
	response, err := newCaller(t).Do(r)
	assert.NilError(t, err)
	got, want := sha256.New(), sha256.New()
	monitor := &heapMonitor{Writer: got}
	n, err := io.Copy(monitor, response.Body)
	assert.NilError(t, err)
	assert.Equal(t, n, length)
	_, _ = io.Copy(want, pattern(length))
	assert.Assert(t, bytes.Equal(got.Sum(nil), want.Sum(nil)))
	t.Logf("largest heap %d MiB for %d MiB", monitor.largest/mebibyte, length/mebibyte)
	assert.Assert(t, monitor.largest < 48*mebibyte)
}

// Guards against an upload that fails because the first instance refuses it after part
// of the body was sent. The caller's node sends the rest only to a node that has admitted
// the call, so it can move the upload with its whole body.
func TestRefusedUploadMoves(t *testing.T) {
	f := newFleet(t, nil)
	callerNode := f.add("", "", nil)
	received := make(chan []byte, 1)
	for i := range 4 {
		f.add("photos", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			assert.Check(t, err)
			received <- body
		}), func(a *upstream.Announcement) { a.Ready = i == 3 })
	}
	for _, length := range []int64{10, 64 << 10, 64<<10 + 1, 3 * mebibyte} {
		for _, declared := range []bool{true, false} {
			r := newRequest(t, http.MethodPost, callerNode.callerAddress, "photos", "")
			r.Body = io.NopCloser(pattern(length))
			r.ContentLength = -1
			if declared {
				r.ContentLength = length
			}
			response, err := newCaller(t).Do(r)
			assert.NilError(t, err)
			assertCode(t, response, resultcode.OK, resultcode.Run)
			want, _ := io.ReadAll(pattern(length))
			assert.Assert(t, bytes.Equal(<-received, want))
		}
	}
	assert.Assert(t, f.count("router_moves") > 0)
}

// Guards against an upload that the upstream takes for complete although the
// caller's connection was lost or the body exceeded max_body.
func TestInterruptedUploadFails(t *testing.T) {
	f := newFleet(t, func(f *fleet) { f.values.MaxBodyBytes = 2 * mebibyte })
	failed := make(chan error, 1)
	f.add("photos", startUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		failed <- err
	}), nil)
	r := newRequest(t, http.MethodPost, f.nodes[0].callerAddress, "photos", "")
	r.Body = io.NopCloser(io.MultiReader(pattern(mebibyte), errorReader{}))
	r.ContentLength = -1
	_, err := newCaller(t).Do(r)
	assert.Assert(t, err != nil)
	assert.Assert(t, <-failed != nil)
	r.Body = io.NopCloser(pattern(3 * mebibyte))
	response, err := newCaller(t).Do(r)
	assert.Assert(t, <-failed != nil)
	if err == nil {
		assertCode(t, response, resultcode.RequestInterrupted, resultcode.Unknown)
	}
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
