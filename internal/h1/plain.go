package h1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/mustardwing/mustardwing/internal/responsecheck"
)

// A plain message is one of the usual form, whose header has been received whole: its lines end with
// CR LF and have no unusual characters, and its body, if it has one, has a stated length. It takes a
// fraction of the time that net/http takes, with the same result. All other messages are left to
// net/http.

// maxPlainLengthDigits bounds the digits of a plain Content-Length.
const maxPlainLengthDigits = 15

// plainHeader is the header of a plain message, which ends after size bytes.
type plainHeader struct {
	// first is the first line.
	first  string
	fields http.Header
	// length is the Content-Length, -1 if there is none. fields does not contain it.
	length int64
	// connection is set if fields contains Connection or Keep-Alive, which then keep the connection
	// open.
	connection bool
	size       int
}

// readPlainHeader returns the header of a message if all of it is buffered and it is plain. It
// consumes nothing.
func readPlainHeader(b *bufio.Reader) (plainHeader, bool) {
	buffered, _ := b.Peek(b.Buffered())
	end := bytes.Index(buffered, []byte("\r\n\r\n"))
	if end < 0 {
		return plainHeader{}, false
	}
	h := plainHeader{length: -1, size: end + 4}
	// The strings of the header share one allocation, and so do the values.
	text := string(buffered[:end+2])
	fields := strings.Count(text, "\n") - 1
	values := make([]string, 0, fields)
	h.fields = make(http.Header, fields)
	var rest string
	h.first, rest, _ = strings.Cut(text, "\r\n")
	for rest != "" {
		line, after, _ := strings.Cut(rest, "\r\n")
		rest = after
		colon := strings.IndexByte(line, ':')
		if colon <= 0 {
			return plainHeader{}, false
		}
		name, ok := canonicalNames.get(line[:colon])
		value := strings.Trim(line[colon+1:], " \t")
		if !ok || !isPlainText(value) || !h.noteSpecial(name, value) {
			return plainHeader{}, false
		}
		if name == "Content-Length" {
			continue
		}
		values = append(values, value)
		if previous, repeated := h.fields[name]; repeated {
			h.fields[name] = append(previous, value)
		} else {
			h.fields[name] = values[len(values)-1 : len(values) : len(values)]
		}
	}
	return h, isPlainText(h.first)
}

// headerBuffered reports whether the buffer has a header whole that ends with an empty line in CR LF.
func headerBuffered(b *bufio.Reader) bool {
	buffered, _ := b.Peek(b.Buffered())
	return bytes.Contains(buffered, []byte("\r\n\r\n"))
}

// noteSpecial notes a field that concerns the message or its connection. It returns false if the
// message is not plain because of the field.
func (h *plainHeader) noteSpecial(name, value string) bool {
	switch name {
	case "Content-Length":
		if h.length >= 0 || value == "" || len(value) > maxPlainLengthDigits || strings.Trim(value, "0123456789") != "" {
			return false
		}
		h.length, _ = strconv.ParseInt(value, 10, 64)
	case "Connection":
		h.connection = true
		return strings.EqualFold(value, "keep-alive")
	case "Keep-Alive":
		h.connection = true
	case "Transfer-Encoding", "Trailer", "Te", "Upgrade", "Expect", "Pragma", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization":
		return false
	}
	return true
}

// isPlainText reports whether a text consists of printable ASCII characters.
func isPlainText(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// isPlainTarget reports whether a request target is a path, perhaps with a query, that needs no
// unescaping.
func isPlainTarget(target string) bool {
	if target == "" || target[0] != '/' || strings.HasPrefix(target, "//") {
		return false
	}
	for i := range len(target) {
		if c := target[i]; !isNameByte(c) && !strings.ContainsRune("/?&=.~,:@", rune(c)) {
			return false
		}
	}
	return true
}

// plainMethods are the methods of plain requests.
var plainMethods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch, http.MethodHead}

// readRequestHeader reads the header of a request as http.ReadRequest does. plain is true if the request has
// no field that applies to its connection only.
func readRequestHeader(b *bufio.Reader) (r *http.Request, plain bool, err error) {
	h, ok := readPlainHeader(b)
	if ok {
		r, ok = h.request()
	}
	if !ok {
		r, err = http.ReadRequest(b)
		return r, false, err
	}
	_, _ = b.Discard(h.size)
	r.Body = h.body(b)
	return r, !h.connection, nil
}

// request returns the request without its body, or false if the message is no plain request.
func (h *plainHeader) request() (*http.Request, bool) {
	method, rest, _ := strings.Cut(h.first, " ")
	target, protocol, _ := strings.Cut(rest, " ")
	host := h.fields["Host"]
	if protocol != "HTTP/1.1" || !isPlainTarget(target) || len(host) != 1 {
		return nil, false
	}
	for _, known := range plainMethods {
		if method == known {
			delete(h.fields, "Host")
			return &http.Request{
				Method: known, RequestURI: target, Host: host[0], Header: h.fields, ContentLength: max(0, h.length),
				Proto: protocol, ProtoMajor: 1, ProtoMinor: 1,
			}, true
		}
	}
	return nil, false
}

// readPlainResponse reads the header of a response if all of it is buffered and it is plain. plain is true if
// the response has no field that applies to its connection only.
func readPlainResponse(b *bufio.Reader, method string) (response *http.Response, plain, ok bool) {
	h, ok := readPlainHeader(b)
	if ok {
		response, ok = h.response(method)
	}
	if !ok {
		return nil, false, false
	}
	_, _ = b.Discard(h.size)
	response.Body = h.body(b)
	return response, !h.connection, true
}

// response returns the response to a request without its body, or false if the message is no plain
// response with a body.
func (h *plainHeader) response(method string) (*http.Response, bool) {
	status, found := strings.CutPrefix(h.first, "HTTP/1.1 ")
	if !found || h.length < 0 || len(status) < 4 || status[3] != ' ' || method == http.MethodHead {
		return nil, false
	}
	code, err := strconv.Atoi(status[:3])
	if err != nil || responsecheck.FinalStatus(code) != nil || code == http.StatusNoContent || code == http.StatusNotModified {
		return nil, false
	}
	return &http.Response{
		Status: status, StatusCode: code, Header: h.fields, ContentLength: h.length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}, true
}

// body returns the body of the message, which follows its header.
func (h *plainHeader) body(b *bufio.Reader) io.ReadCloser {
	if h.length <= 0 {
		return http.NoBody
	}
	return &plainBody{io.LimitedReader{R: b, N: h.length}}
}

// plainBody is a body with a stated length.
type plainBody struct {
	io.LimitedReader
}

// Read implements io.Reader. A body that ends early is an error.
func (p *plainBody) Read(buffer []byte) (int, error) {
	n, err := p.LimitedReader.Read(buffer)
	if err == io.EOF && p.N > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Close implements io.Closer.
func (p *plainBody) Close() error {
	return nil
}
