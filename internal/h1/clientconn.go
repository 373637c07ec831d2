package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/responsecheck"
)

const (
	// maxSkippedResponses bounds the late responses to earlier requests that are
	// skipped during one exchange.
	maxSkippedResponses = 4
	// maxResponseHeaderBytes bounds the header of a response together with the interim
	// responses before it.
	maxResponseHeaderBytes = 64 << 10
	// idleMargin is subtracted from the idle timeout that the server announces.
	idleMargin = 700 * time.Millisecond
)

var errResponseMismatch = errors.New("response belongs to another request")

// clientConn is a connection to an upstream or a node. It carries one exchange at
// a time.
type clientConn struct {
	pool *Pool
	conn net.Conn
	// messages bounds what is read, reader buffers it.
	messages *messageReader
	reader   *bufio.Reader
	// head checks the headers that are not plain.
	head responsecheck.Head
	// request is what the parser has to know of the current request.
	request http.Request
	// failed holds the calls that got a response with an error status on this connection.
	failed failedCalls
	// preface is what is to be sent before the next request, empty once it was.
	preface Preface
	// closeDelimited is set if the body of the latest response ends with its connection.
	closeDelimited bool
	// mustClose is set when the connection must not be reused.
	mustClose bool
	// idleSince is when the latest exchange ended, idleLimit how long the connection may
	// be idle after it.
	idleSince time.Time
	idleLimit time.Duration
}

func newClientConn(p *Pool, c net.Conn) *clientConn {
	messages := &messageReader{conn: c, account: &p.bodyBytes}
	return &clientConn{pool: p, conn: c, messages: messages, reader: bufio.NewReaderSize(messages, readBufferBytes), preface: p.config.Preface, idleLimit: p.config.IdleTimeout}
}

// usable reports whether an idle connection may carry another request. A
// connection on which bytes arrived after a complete response is not usable, since
// these bytes belong to no request.
func (c *clientConn) usable(now time.Time) bool {
	return now.Sub(c.idleSince) < c.idleLimit && noPendingInput(c.conn)
}

// exchange sends a request and returns its response. It ends at the deadline or when
// ctx is cancelled. Errors are of type *SendError; the connection must be closed then.
func (c *clientConn) exchange(ctx context.Context, r *Request, deadline time.Time) (*Response, error) {
	if err := c.conn.SetDeadline(deadline); err != nil {
		return nil, &SendError{Sent: false, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	defer c.messages.release()
	if c.pool.config.DetectDeadPeer && r.BodyLength() > 0 {
		defer watchReceiver(c.conn).end()
	}
	write, err := c.send(r)
	if err != nil {
		return nil, &SendError{Sent: true, Cause: err}
	}
	response, err := c.receive(r)
	if err == nil && c.closeDelimited && write != nil {
		err = write.checkEnd()
	}
	if err != nil {
		return nil, &SendError{Sent: true, Cause: err}
	}
	if !stop() {
		c.mustClose = true
	}
	if response.Status >= http.StatusBadRequest && !c.failed.add(r.ID) {
		c.mustClose = true
	}
	if write != nil && !c.mustClose && !write.complete() {
		// The response arrived before the whole body was sent; the server would
		// parse the rest of the body as the next request.
		c.mustClose = true
	}
	return response, nil
}

// send writes the request. A large body is written concurrently with the wait for
// the response; the result is nil for other requests.
func (c *clientConn) send(r *Request) (*bodyWrite, error) {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	*buffer = appendRequestHead(append((*buffer)[:0], c.preface...), r)
	c.preface = ""
	if len(r.Body) > maxPooledBufferBytes/4 || len(r.Rest) > 0 {
		if _, err := c.conn.Write(*buffer); err != nil {
			return nil, err
		}
		return startBodyWrite(c.conn, r), nil
	}
	*buffer = append(*buffer, r.Body...)
	_, err := c.conn.Write(*buffer)
	return nil, err
}

// receive returns the response to r and skips late responses to earlier requests. A
// connection with a late response is not reused.
func (c *clientConn) receive(r *Request) (*Response, error) {
	for range maxSkippedResponses {
		response, err := c.readResponse(r)
		if err != nil {
			return nil, err
		}
		if c.matches(r, response) {
			return response, nil
		}
		c.mustClose = true
	}
	return nil, errResponseMismatch
}

// matches reports whether a response belongs to a request.
func (c *clientConn) matches(r *Request, response *Response) bool {
	return c.pool.config.ResponseMatches == nil || c.pool.config.ResponseMatches(r, response)
}

// check returns an error for a parsed header that cannot have come whole from the server. Nothing that it
// states may be believed.
func (c *clientConn) check(r *Request, parsed *http.Response) error {
	if err := responsecheck.Joined(parsed.Status, parsed.Header); err != nil {
		return err
	}
	if c.pool.config.CheckResponse == nil {
		return nil
	}
	if err := c.pool.config.CheckResponse(r, &Response{Status: parsed.StatusCode, Header: parsed.Header}); err != nil {
		return responsecheck.Error{Reason: responsecheck.Contradiction, Detail: err.Error()}
	}
	return nil
}

// reportHeader passes the header of a response to OnResponseHeader.
func (c *clientConn) reportHeader(r *Request, parsed *http.Response) {
	if c.pool.config.OnResponseHeader == nil {
		return
	}
	if response := (&Response{Status: parsed.StatusCode, Header: parsed.Header}); c.matches(r, response) {
		c.pool.config.OnResponseHeader(r, response)
	}
}

// readResponse returns the next response with its whole body and skips interim (1xx)
// responses.
func (c *clientConn) readResponse(r *Request) (*Response, error) {
	parsed, plain, err := c.readHeader(r)
	if err != nil {
		return nil, err
	}
	c.reportHeader(r, parsed)
	limit := c.pool.config.MaxResponseBytes
	c.closeDelimited = parsed.Body != http.NoBody && parsed.ContentLength < 0 && len(parsed.TransferEncoding) == 0
	if parsed.Body != http.NoBody {
		body := &reservingReader{reader: parsed.Body, account: &c.pool.bodyBytes, unreserved: c.pool.unreservedBodyBytes}
		defer body.release()
		parsed.Body = body
	}
	body, err := readResponseBody(parsed, limit, c.pool.unreservedBodyBytes)
	if err != nil {
		return nil, errors.Wrapf(err, "body of a response with status %d", parsed.StatusCode)
	}
	if int64(len(body)) > limit {
		return nil, errors.Wrapf(errBodyTooLarge, "response body: want at most %d bytes", limit)
	}
	c.applyConnectionHeaders(parsed)
	response := &Response{Status: parsed.StatusCode, Header: parsed.Header, Body: body}
	if !plain {
		removeConnectionHeaders(response.Header)
	}
	return response, nil
}

// readHeader returns the next response, without its body, and skips interim (1xx) responses. plain is
// true if the response has no field that applies to its connection only.
func (c *clientConn) readHeader(r *Request) (parsed *http.Response, plain bool, err error) {
	c.messages.startHeader(maxResponseHeaderBytes)
	c.request.Method = r.Method
	// What is buffered after the first read is usually the whole header.
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false, noEOF(err)
	}
	for {
		parsed, plain, err = c.parseHeader()
		if err != nil && c.messages.refused {
			return nil, false, errBufferLimit
		}
		if err != nil && c.messages.exceeded() {
			return nil, false, errors.Wrapf(errHeaderTooLarge, "response header: want at most %d bytes and %d lines", maxResponseHeaderBytes, maxHeaderLines)
		}
		if err == nil {
			err = c.check(r, parsed)
		}
		if err != nil {
			return nil, false, err
		}
		if parsed.StatusCode >= http.StatusOK {
			c.messages.startBody()
			return parsed, plain, nil
		}
	}
}

// parseHeader reads the header of a response or of an interim one. One that is not plain is read by
// net/http, which accepts more than is valid, so head checks its bytes.
func (c *clientConn) parseHeader() (parsed *http.Response, plain bool, err error) {
	if parsed, plain, ok := readPlainResponse(c.reader, c.request.Method); ok {
		return parsed, plain, nil
	}
	c.head.Reset()
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.head.Check(buffered); err != nil {
		return nil, false, err
	}
	c.messages.head = &c.head
	parsed, err = http.ReadResponse(c.reader, &c.request)
	if c.head.Err() != nil {
		// The parser may report another error, since it takes what it has read of a line for the whole
		// line when a read fails.
		return nil, false, c.head.Err()
	}
	if err == nil && c.head.Completed() == 0 {
		// What ends the header for the parser does not end it for other receivers.
		err = io.ErrUnexpectedEOF
	}
	return parsed, false, err
}

// noEOF returns an error that says that a message has ended early instead of io.EOF.
func noEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readResponseBody returns a body of up to limit bytes. Of a longer one it returns the
// first limit+1 bytes, by which the caller recognizes it. A stated length of up to unreserved
// bytes is allocated before the body is read.
func readResponseBody(r *http.Response, limit, unreserved int64) ([]byte, error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength >= 0 && r.ContentLength <= min(limit, unreserved) {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	return io.ReadAll(io.LimitReader(r.Body, limit+1))
}

// applyConnectionHeaders updates mustClose and idleLimit from the Connection and
// Keep-Alive headers of a response. Bytes after the response also prevent reuse.
func (c *clientConn) applyConnectionHeaders(r *http.Response) {
	if r.Close || c.reader.Buffered() > 0 {
		c.mustClose = true
	}
	c.idleLimit = c.pool.config.IdleTimeout
	for _, parameter := range splitList(r.Header.Get("Keep-Alive")) {
		value, ok := strings.CutPrefix(parameter, "timeout=")
		if seconds, err := strconv.Atoi(value); ok && err == nil {
			c.idleLimit = min(c.idleLimit, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
}
