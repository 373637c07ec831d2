package gossip

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/directory"
)

// Guards against a message that the codec changes, and against large messages that are
// sent uncompressed.
func TestCodecRoundTrip(t *testing.T) {
	for _, count := range []int{0, 1, 300} {
		m := message{ConfigVersion: 7, Digest: 9, Buckets: []uint64{1, 1 << 63}}
		for i := range count {
			m.Entries = append(m.Entries, directory.Entry{Node: fmt.Sprint("10.0.0.", i), Version: uint64(i), Address: fmt.Sprint("10.0.0.", i, ":8701"), Region: "ro", FailureDomain: "ro-a"})
		}
		body, header, err := encode(m)
		assert.NilError(t, err)
		assert.Assert(t, len(body) < 512+20*count, "%d bytes for %d entries", len(body), count)
		decoded, err := decode(header, body)
		assert.NilError(t, err)
		assert.DeepEqual(t, decoded, m)
	}
}

// Guards against a small body that decompresses to more than a node can hold in memory.
func TestDecompressedMessageIsBounded(t *testing.T) {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, err := w.Write(bytes.Repeat([]byte(" "), maxMessageBytes+1))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	_, err = decode(http.Header{"Content-Encoding": {"gzip"}}, compressed.Bytes())
	assert.ErrorContains(t, err, "exceeds")
	_, err = decode(http.Header{"Content-Encoding": {"gzip"}}, []byte("nonsense"))
	assert.ErrorContains(t, err, "decompress message")
}

// Guards against a panic on an arbitrary body, and against a decoded message that cannot
// be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	body, _, err := encode(message{Digest: 3})
	assert.NilError(f, err)
	f.Add(body, false)
	f.Fuzz(func(t *testing.T, body []byte, compressed bool) {
		header := http.Header{}
		if compressed {
			header.Set(headerEncoding, encodingGzip)
		}
		m, err := decode(header, body)
		if err != nil {
			return
		}
		reencoded, header, err := encode(m)
		assert.NilError(t, err)
		_, err = decode(header, reencoded)
		assert.NilError(t, err)
	})
}
