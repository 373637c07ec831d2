package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/delivery"
)

const (
	// maxPipelined bounds the requests of one connection that run concurrently.
	// At the limit the connection is not read, so a disconnect of its caller is
	// not detected.
	maxPipelined = 100
	// writeTimeout closes a connection whose caller reads nothing for this long,
	// since the response is held in memory until then.
	writeTimeout = delivery.StallTimeout
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 20 * time.Millisecond
	readBufferBytes  = 4 << 10
)

var (
	errHeaderTooLarge = errors.New("header is larger than its limit")
	errBodyTooLarge   = errors.New("body is larger than its limit")
	errBufferLimit    = errors.New("buffered bodies have reached their limit")
	errFieldName      = errors.New("header field name contains a space")
	errHost           = errors.New("host contains a space")
)

func waitAfterAcceptError() {
	time.Sleep(acceptRetryDelay)
}

// serverConn reads the requests of one connection and writes the responses in the
// order of the requests.
type serverConn struct {
	server   *Server
	conn     net.Conn
	remoteIP string
	// handler is that of the server, or the one that the preface of the connection names.
	handler Handler
	// ctx is the context of all requests of the connection; abort cancels it.
	ctx    context.Context
	cancel context.CancelFunc
	// messages bounds what is read, reader buffers it.
	messages *messageReader
	reader   *bufio.Reader
	// responses follows what the caller has taken of the responses.
	responses *delivery.Tracker

	mu sync.Mutex
	// queue holds the requests whose response was not yet written, oldest first.
	queue        []*exchange
	queueNotFull *sync.Cond
	// closing is set once no further response is written: the last one was, a write failed, or the
	// connection was idle for too long. It is set with mu held and read without it, since mu is held
	// while a response is written.
	closing atomic.Bool
	// lastResponse is when the latest response was written.
	lastResponse time.Time
}

// exchange is a request and, once ready, its response.
type exchange struct {
	method string
	// closing is set when the response must close the connection.
	closing bool
	// response is nil until the handler has returned.
	response *Response
}

func newServerConn(s *Server, c net.Conn, ctx context.Context, cancel context.CancelFunc) *serverConn {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		host = c.RemoteAddr().String()
	}
	messages := &messageReader{conn: c}
	conn := &serverConn{
		server: s, conn: c, remoteIP: host, handler: s.handler, ctx: ctx, cancel: cancel,
		messages: messages, reader: bufio.NewReaderSize(messages, readBufferBytes),
		responses: delivery.NewTracker(c),
	}
	conn.queueNotFull = sync.NewCond(&conn.mu)
	return conn
}

// abort cancels the requests of the connection and closes it.
func (c *serverConn) abort() {
	c.cancel()
	_ = c.conn.Close()
}

// run reads and dispatches requests until the connection is closed.
func (c *serverConn) run() {
	defer c.server.remove(c)
	defer c.abort()
	if err := c.selectHandler(); err != nil {
		if errors.Is(err, errPreface) {
			c.server.onRefused(c.remoteIP)
		}
		return
	}
	for {
		limits := c.server.limits()
		err := c.awaitFirstByte(limits)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if err != nil || c.isClosing() {
			c.closeIdle()
			c.linger()
			return
		}
		c.server.inFlight.Add(1)
		reservation := newBodyReservation(c.server.bodies, time.Now())
		r, last, err := c.read(limits, reservation)
		if err != nil {
			reservation.release()
			c.handleReadError(r, err)
			return
		}
		if !c.dispatch(r, last, reservation) || last {
			c.linger()
			return
		}
	}
}

// isClosing reports whether no further response is written.
func (c *serverConn) isClosing() bool {
	return c.closing.Load()
}

// closeIdle closes a connection without a request in flight for writing, unless a response has
// already done so.
func (c *serverConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.isClosing() {
		c.closing.Store(true)
		delivery.CloseWrite(c.conn)
	}
}

// read returns the request whose first byte has arrived and whether it is the last one, that
// is, whether its caller asked for the connection to be closed. With an error it returns the
// request without its body, nil if the header could not be read.
func (c *serverConn) read(limits Limits, reservation *bodyReservation) (*Request, bool, error) {
	// A header that is buffered whole is read without a wait.
	whole := headerBuffered(c.reader)
	if !whole {
		_ = c.conn.SetReadDeadline(reservation.holder.arrived.Add(limits.HeaderTimeout))
	}
	parsed, plain, err := readRequestHeader(c.reader)
	if err != nil {
		if c.messages.exceeded() {
			return nil, false, errHeaderTooLarge
		}
		return nil, false, err
	}
	if !whole || parsed.Body != http.NoBody {
		_ = c.conn.SetReadDeadline(time.Time{})
	}
	if !validFieldNames(parsed.Header) {
		return nil, false, errFieldName
	}
	if strings.ContainsAny(parsed.Host, " \t") {
		return nil, false, errHost
	}
	r := &Request{
		Method: parsed.Method, Target: parsed.RequestURI, Host: parsed.Host, Header: parsed.Header,
		Arrived: reservation.holder.arrived, RemoteIP: c.remoteIP,
	}
	expectsContinue := parsed.Header.Get("Expect") != ""
	if !plain {
		removeConnectionHeaders(r.Header)
	}
	c.messages.startBody()
	parts, err := readRequestBody(parsed, limits.MaxBodyBytes, reservation, func() {
		if expectsContinue {
			c.sendContinue()
		}
	})
	if err != nil {
		return r, false, err
	}
	if len(parts) > 0 {
		r.Body, r.Rest = parts[0], parts[1:]
	}
	return r, parsed.Close, nil
}

// validFieldNames reports whether no field name contains a space. The parser accepts one before the
// colon and keeps it, so that the field passes for another one here and not at a lenient receiver.
func validFieldNames(h http.Header) bool {
	for name := range h {
		if strings.IndexByte(name, ' ') >= 0 {
			return false
		}
	}
	return true
}

// awaitFirstByte waits for a request. The idle timeout runs from the latest response, or
// before the first one from the call, and not while a request is in flight.
func (c *serverConn) awaitFirstByte(limits Limits) error {
	c.messages.startHeader(limits.MaxHeaderBytes + readBufferBytes)
	started := time.Now()
	for {
		c.setIdleDeadline(started, limits.IdleTimeout)
		_, err := c.reader.Peek(1)
		if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && !c.idleFor(started, limits.IdleTimeout) {
			continue
		}
		return err
	}
}

// setIdleDeadline sets the read deadline for the next request. On a connection that a
// response has closed the deadline has passed.
func (c *serverConn) setIdleDeadline(started time.Time, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline := c.idleStart(started).Add(timeout)
	if c.isClosing() {
		deadline = time.Now()
	}
	_ = c.conn.SetReadDeadline(deadline)
}

// idleFor reports whether no request has been in flight for the timeout, or a response has
// closed the connection.
func (c *serverConn) idleFor(started time.Time, timeout time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isClosing() || time.Since(c.idleStart(started)) >= timeout
}

// idleStart returns since when no request has been in flight: now if there is one, else the time of
// the latest response or the given time, whichever is later. It is called with mu held.
func (c *serverConn) idleStart(started time.Time) time.Time {
	if len(c.queue) > 0 {
		return time.Now()
	}
	if c.lastResponse.After(started) {
		return c.lastResponse
	}
	return started
}

// sendContinue sends the interim response 100, unless earlier requests are in flight,
// whose responses have to be sent first.
func (c *serverConn) sendContinue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

// dispatch runs the handler in another goroutine, after a wait while maxPipelined
// requests are in flight. It returns false without running the handler if an earlier
// response has closed the connection: such a request counts as not read.
func (c *serverConn) dispatch(r *Request, last bool, reservation *bodyReservation) bool {
	e := &exchange{method: r.Method, closing: last}
	c.mu.Lock()
	for len(c.queue) >= maxPipelined && !c.isClosing() {
		c.queueNotFull.Wait()
	}
	if c.isClosing() {
		c.mu.Unlock()
		reservation.release()
		c.server.inFlight.Add(-1)
		return false
	}
	c.queue = append(c.queue, e)
	c.mu.Unlock()
	c.server.goroutines.run(job{c, e, r, reservation})
	return true
}

// serve runs the handler and writes all responses that are ready.
func (c *serverConn) serve(e *exchange, r *Request, reservation *bodyReservation) {
	response := c.handle(r)
	reservation.release()
	c.mu.Lock()
	defer c.mu.Unlock()
	e.response = response
	c.writeReady()
}

// writeReady writes all responses that are ready, up to the first request without one. It is
// called with mu held.
func (c *serverConn) writeReady() {
	for len(c.queue) > 0 && c.queue[0].response != nil {
		c.write(c.queue[0])
		c.queue[0] = nil
		c.queue = c.queue[1:]
		c.server.inFlight.Add(-1)
	}
	c.queueNotFull.Signal()
}

// handle calls the handler. A panic fails only its own request, since the node carries
// many others; the response has status 502, since it is unknown whether the call ran.
func (c *serverConn) handle(r *Request) (response *Response) {
	defer func() {
		if p := recover(); p != nil {
			c.server.log.Error().Interface("panic", p).Str("target", r.Target).Bytes("stack", debug.Stack()).Msg("handler panicked")
			response = &Response{Status: http.StatusBadGateway, Header: http.Header{}, Close: true}
		}
	}()
	return c.handler.Serve(c.ctx, r)
}

// write sends the oldest response. It is called with mu held.
func (c *serverConn) write(e *exchange) {
	if c.isClosing() {
		return
	}
	lastQueued := len(c.queue) == 1
	closing := e.closing || ((e.response.Close || c.server.keepAlivesDisabled.Load()) && lastQueued)
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	*buffer = appendResponse((*buffer)[:0], e.method, e.response, closing)
	err := c.writeAll(*buffer)
	c.lastResponse = time.Now()
	c.responses.Wrote(c.lastResponse, e.response.Expires, closing)
	if cap(*buffer) > maxPooledBufferBytes {
		*buffer = make([]byte, 0, readBufferBytes)
	}
	if err != nil {
		c.closing.Store(true)
		c.abort()
		return
	}
	if closing {
		c.closing.Store(true)
		delivery.CloseWrite(c.conn)
		// The goroutine that reads the connection begins to linger.
		_ = c.conn.SetReadDeadline(c.lastResponse)
	}
}

// writeAll writes a response. It fails when the caller takes nothing of it for writeTimeout.
func (c *serverConn) writeAll(b []byte) error {
	for {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.conn.Write(b)
		if err == nil || n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		b = b[n:]
	}
}

// handleReadError responds to a request that could not be read, in its turn after the earlier ones
// of the connection, and then closes it. Without an error status the connection is closed at once:
// it has failed, or its caller has closed it. r is nil if the header could not be read.
func (c *serverConn) handleReadError(r *Request, err error) {
	response := c.responseTo(r, err)
	if response == nil {
		c.server.inFlight.Add(-1)
		return
	}
	c.server.log.Info().Str("error", describeReadError(err)).Str("from", c.remoteIP).Int("status", response.Status).Msg("request not read")
	c.server.onUnread(response.Status)
	c.mu.Lock()
	if c.isClosing() {
		c.server.inFlight.Add(-1)
	} else {
		c.queue = append(c.queue, &exchange{closing: true, response: response})
		c.writeReady()
	}
	c.mu.Unlock()
	c.linger()
}

// responseTo returns the response to a request that could not be read, or nil if there is none.
func (c *serverConn) responseTo(r *Request, err error) *Response {
	if errors.Is(err, errBufferLimit) {
		if refuser, ok := c.handler.(Refuser); ok {
			return refuser.Refuse(r)
		}
	}
	status := statusOfReadError(err)
	if status == 0 {
		return nil
	}
	return &Response{Status: status, Header: http.Header{}}
}

// statusOfReadError returns the status of a request that could not be read, zero if the connection
// has failed.
func statusOfReadError(err error) int {
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errBufferLimit):
		return http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed), isNetError(err):
		return 0
	}
	return http.StatusBadRequest
}

// describeReadError returns the text of a read error without the input that the parser quotes: a
// malformed line may hold a credential.
func describeReadError(err error) string {
	text := err.Error()
	if statusOfReadError(err) != http.StatusBadRequest {
		return text
	}
	text = strings.TrimPrefix(strings.TrimPrefix(text, "net/"), "http: ")
	if end := strings.IndexAny(text, ":\""); end >= 0 {
		text = text[:end]
	}
	return strings.TrimSpace(text)
}

// isNetError reports whether the connection failed, as opposed to a malformed request.
func isNetError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// linger discards input until the caller closes the connection, or no longer takes the last response
// or needs no more time for it. Thereby a disconnect is detected while the last request runs, and
// input does not reset the connection before the caller has the response.
func (c *serverConn) linger() {
	c.messages.startBody()
	_ = c.conn.SetReadDeadline(time.Time{})
	if !c.isClosing() {
		// The last response is still to be written. It ends the read by the deadline.
		if _, err := io.Copy(io.Discard, c.reader); !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
	}
	if !c.responses.Linger(c.reader) {
		c.server.log.Info().Str("from", c.remoteIP).Dur("after", delivery.StallTimeout).Msg("caller does not read; response cut off")
	}
}
