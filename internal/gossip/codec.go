package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"
)

const (
	// compressMinBytes is the size of an encoded message from which compression saves
	// more bytes than its header adds.
	compressMinBytes = 512
	headerEncoding   = "Content-Encoding"
	encodingGzip     = "gzip"
)

// gzipWriters reuses compressors, which take some hundred kilobytes of memory each.
var gzipWriters = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // Unreachable: the compression level is a valid constant.
	}
	return w
}}

// encode returns the body of a message and the header fields that describe its encoding.
func encode(m message) ([]byte, http.Header, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, nil, err
	}
	header := http.Header{}
	if len(body) < compressMinBytes {
		return body, header, nil
	}
	var out bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(body); err != nil {
		return nil, nil, err
	}
	if err := w.Close(); err != nil {
		return nil, nil, err
	}
	header.Set(headerEncoding, encodingGzip)
	return out.Bytes(), header, nil
}

// decode parses a message. It fails for bodies that exceed maxMessageBytes after
// decompression.
func decode(header http.Header, body []byte) (message, error) {
	var m message
	if header.Get(headerEncoding) == encodingGzip {
		r, err := gzip.NewReader(bytes.NewReader(body))
		if err != nil {
			return m, errors.Wrap(err, "decompress message")
		}
		body, err = io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
		if err != nil {
			return m, errors.Wrap(err, "decompress message")
		}
	}
	if len(body) > maxMessageBytes {
		return m, errors.Errorf("message exceeds %d bytes", maxMessageBytes)
	}
	return m, json.Unmarshal(body, &m)
}
