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
	// compressFrom is the size of an encoded message from which compression saves
	// more bytes than its header costs.
	compressFrom   = 512
	headerEncoding = "Content-Encoding"
	encodingGzip   = "gzip"
)

// writers holds compressors, which take some hundred kilobytes each.
var writers = sync.Pool{New: func() any {
	w, err := gzip.NewWriterLevel(io.Discard, gzip.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant of the package.
	}
	return w
}}

// encode returns the body of a message and the header that describes it.
func encode(m message) ([]byte, http.Header, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return nil, nil, err
	}
	header := http.Header{}
	if len(body) < compressFrom {
		return body, header, nil
	}
	var out bytes.Buffer
	w := writers.Get().(*gzip.Writer)
	defer writers.Put(w)
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

// decode reads a message of up to maxMessageBytes.
func decode(header http.Header, body []byte) (message, error) {
	var m message
	if header.Get(headerEncoding) == encodingGzip {
		r, err := gzip.NewReader(bytes.NewReader(body))
		if err != nil {
			return m, errors.Wrap(err, "compressed message")
		}
		body, err = io.ReadAll(io.LimitReader(r, maxMessageBytes+1))
		if err != nil {
			return m, errors.Wrap(err, "compressed message")
		}
	}
	if len(body) > maxMessageBytes {
		return m, errors.Errorf("message exceeds %d bytes", maxMessageBytes)
	}
	return m, json.Unmarshal(body, &m)
}
