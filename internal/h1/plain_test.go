package h1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"github.com/mustardwing/mustardwing/internal/responsecheck"
)

// Guards against a request that is read otherwise than net/http reads it.
func FuzzPlainRequest(f *testing.F) {
	for _, text := range []string{
		"GET /a/b?c=d&e=f HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\naccept: */*\r\nAccept:  text \r\n\r\n",
		"POST /a HTTP/1.1\r\nhost: h:80\r\nConnection: Keep-Alive\r\nContent-Length: 3\r\n\r\nabcGET",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "GET /%zz HTTP/1.1\r\nHost: h\r\n\r\n", "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n", "GET /a HTTP/1.1\nHost: h\r\n\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nX : a\r\n\r\n",
		"HEAD /a HTTP/1.1\r\nHost: h\r\nCookie: \r\n\r\n", "GET //a:b@c/d HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a:b HTTP/1.1\r\nHost: \r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h i\r\n\r\n", "GET /a?b=%zz;c HTTP/1.1\r\nHost: h/i\r\n\r\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		buffered := bufio.NewReader(strings.NewReader(text))
		_, _ = buffered.Peek(1)
		got, gotPlain, gotErr := readRequestHeader(buffered)
		want, wantErr := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("error %v, want %v", gotErr, wantErr)
		}
		if gotErr != nil {
			return
		}
		compareMessages(t, got.Header, want.Header, gotPlain, got.Body, want.Body)
		if got.Method != want.Method || got.RequestURI != want.RequestURI || got.Host != want.Host || got.Close != want.Close || got.ContentLength != want.ContentLength {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// Guards against a response that is read otherwise than net/http reads it, or although its header is
// not valid.
func FuzzPlainResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 \r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Not now\r\nConnection: keep-alive\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nokHTTP",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
		"HTTP/1.1 204 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\nok", "HTTP/1.1 +20 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200  OK\r\nContent-Length: 5\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 02\r\n\r\nok", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nX : 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\nX: 1\r\n\r\n", "HTTP/1.1 000 x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nPragma: no-cache\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 999 x\r\nX_y: a\tb\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		request := &http.Request{Method: http.MethodGet}
		near, far := net.Pipe()
		defer near.Close()
		go func() {
			_, _ = io.WriteString(far, text)
			_ = far.Close()
		}()
		c := newClientConn(NewPool(PoolConfig{}), near)
		c.request.Method = request.Method
		c.messages.startHeader(maxResponseHeaderBytes)
		_, _ = c.reader.Peek(1)
		got, gotPlain, gotErr := c.parseHeader()
		var head responsecheck.Head
		wantErr := head.Check([]byte(text))
		want, parseErr := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), request)
		if wantErr == nil {
			wantErr = parseErr
		}
		if (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("error %v, want %v", gotErr, wantErr)
		}
		if gotErr != nil {
			return
		}
		compareMessages(t, got.Header, want.Header, gotPlain, got.Body, want.Body)
		if got.Status != want.Status || got.StatusCode != want.StatusCode || got.Close != want.Close || got.ContentLength != want.ContentLength {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

// compareMessages compares what is forwarded of two messages. plain is set if got was read as one.
func compareMessages(t *testing.T, got, want http.Header, plain bool, gotBody, wantBody io.Reader) {
	t.Helper()
	if !plain {
		removeConnectionHeaders(got)
	}
	removeConnectionHeaders(want)
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("header %v, want %v", got, want)
	}
	gotBytes, gotErr := io.ReadAll(gotBody)
	wantBytes, wantErr := io.ReadAll(wantBody)
	if string(gotBytes) != string(wantBytes) || (gotErr == nil) != (wantErr == nil) {
		t.Fatalf("body %q (%v), want %q (%v)", gotBytes, gotErr, wantBytes, wantErr)
	}
}
