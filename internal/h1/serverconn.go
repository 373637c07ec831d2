package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxPipelined bounds the requests of one connection that run side by side.
	// Beyond it the connection is not read, and its caller's leaving not seen.
	maxPipelined = 100
	// writeTimeout ends a connection whose caller reads nothing for so long,
	// since the response is held in memory until then.
	writeTimeout = 20 * time.Second
	// lingerTimeout is how long the rest of a closing connection is read, so that
	// unread bytes do not reset it before the caller has the response.
	lingerTimeout = 500 * time.Millisecond
	// acceptPause is the wait after a failed accept.
	acceptPause = 20 * time.Millisecond
	readBuffer  = 4 << 10
)

var (
	errHeaderTooLarge = errors.New("header is larger than its limit")
	errTooLarge       = errors.New("body is larger than its limit")
	errNoMemory       = errors.New("the bodies held have reached their limit")
)

func pauseAfterAcceptError() {
	time.Sleep(acceptPause)
}

// serverConn reads the requests of one connection and writes the responses in
// the order of the requests.
type serverConn struct {
	server   *Server
	conn     net.Conn
	remoteIP string
	ctx      context.Context
	cancel   context.CancelFunc
	limited  *io.LimitedReader
	reader   *bufio.Reader

	mu sync.Mutex
	// queue holds the requests that were not answered, oldest first.
	queue   []*exchange
	room    *sync.Cond
	closing bool
}

// exchange is one request and, once ready, its response.
type exchange struct {
	method   string
	closing  bool
	response *Response
}

func newServerConn(s *Server, c net.Conn, ctx context.Context, cancel context.CancelFunc) *serverConn {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		host = c.RemoteAddr().String()
	}
	limited := &io.LimitedReader{R: c}
	conn := &serverConn{
		server: s, conn: c, remoteIP: host, ctx: ctx, cancel: cancel,
		limited: limited, reader: bufio.NewReaderSize(limited, readBuffer),
	}
	conn.room = sync.NewCond(&conn.mu)
	return conn
}

func (c *serverConn) abort() {
	c.cancel()
	_ = c.conn.Close()
}

func (c *serverConn) run() {
	defer c.server.remove(c)
	defer c.abort()
	for {
		r, last, err := c.read()
		if err != nil {
			c.refuse(err)
			return
		}
		if !c.dispatch(r, last) || last {
			c.linger()
			return
		}
	}
}

// read returns the next request and whether its caller wants no other one.
func (c *serverConn) read() (*Request, bool, error) {
	limits := c.server.limits()
	c.limited.N = limits.MaxHeaderBytes + readBuffer
	if err := c.awaitFirstByte(limits); err != nil {
		return nil, false, err
	}
	arrived := time.Now()
	_ = c.conn.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		if c.limited.N <= 0 {
			return nil, false, errHeaderTooLarge
		}
		return nil, false, err
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	if parsed.Header.Get("Expect") != "" {
		c.sendContinue()
	}
	if held := c.server.buffered.Load(); limits.MaxBufferedBytes > 0 && held+max(0, parsed.ContentLength) > limits.MaxBufferedBytes {
		return nil, false, errNoMemory
	}
	c.limited.N = limits.MaxBodyBytes + readBuffer
	body, err := readBody(parsed, limits.MaxBodyBytes)
	if err != nil {
		return nil, false, err
	}
	last := parsed.Close
	r := &Request{
		Method: parsed.Method, Target: parsed.RequestURI, Host: parsed.Host, Header: parsed.Header,
		Body: body, Arrived: arrived, RemoteIP: c.remoteIP,
	}
	removeConnectionHeaders(r.Header)
	return r, last, nil
}

// awaitFirstByte waits for a request. The idle time-out counts only while no
// request is in work.
func (c *serverConn) awaitFirstByte(limits Limits) error {
	for {
		c.expectRequest(limits.IdleTimeout)
		_, err := c.reader.Peek(1)
		if err != nil && errors.Is(err, os.ErrDeadlineExceeded) && c.busy() {
			continue
		}
		return err
	}
}

// expectRequest sets the time until which the next request is awaited. A response
// that closes the connection has set a shorter one.
func (c *serverConn) expectRequest(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		timeout = lingerTimeout
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
}

func (c *serverConn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0
}

func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, errTooLarge
	}
	if r.ContentLength > 0 {
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errTooLarge
	}
	return body, err
}

func (c *serverConn) sendContinue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
}

// dispatch runs the handler. It returns false once a response has closed the
// connection: such a request counts as not read.
func (c *serverConn) dispatch(r *Request, last bool) bool {
	e := &exchange{method: r.Method, closing: last}
	c.mu.Lock()
	for len(c.queue) >= maxPipelined && !c.closing {
		c.room.Wait()
	}
	if c.closing {
		c.mu.Unlock()
		return false
	}
	c.queue = append(c.queue, e)
	c.mu.Unlock()
	c.server.inFlight.Add(1)
	c.server.buffered.Add(int64(len(r.Body)))
	go c.serve(e, r)
	return true
}

func (c *serverConn) serve(e *exchange, r *Request) {
	response := c.handle(r)
	c.server.buffered.Add(-int64(len(r.Body)))
	c.mu.Lock()
	defer c.mu.Unlock()
	e.response = response
	for len(c.queue) > 0 && c.queue[0].response != nil {
		c.write(c.queue[0])
		c.queue[0] = nil
		c.queue = c.queue[1:]
		c.server.inFlight.Add(-1)
	}
	c.room.Signal()
}

// handle calls the handler. A panic ends only its request: the node carries many
// others. What had been done for it is unknown.
func (c *serverConn) handle(r *Request) (response *Response) {
	defer func() {
		if p := recover(); p != nil {
			c.server.log.Error().Interface("panic", p).Str("target", r.Target).Bytes("stack", debug.Stack()).Msg("handler panicked")
			response = &Response{Status: http.StatusBadGateway, Header: http.Header{}, Close: true}
		}
	}()
	return c.server.handler.Serve(c.ctx, r)
}

// write sends the oldest response. The caller holds the lock.
func (c *serverConn) write(e *exchange) {
	if c.closing {
		return
	}
	alone := len(c.queue) == 1
	closing := e.closing || ((e.response.Close || c.server.leaving.Load()) && alone)
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	*buffer = appendResponse((*buffer)[:0], e.method, e.response, closing)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.conn.Write(*buffer)
	if cap(*buffer) > inlineBodyBytes {
		*buffer = make([]byte, 0, readBuffer)
	}
	if err != nil {
		c.closing = true
		c.abort()
		return
	}
	if closing {
		c.closing = true
		c.closeWrite()
	}
}

func (c *serverConn) closeWrite() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// refuse ends a connection whose next request could not be read. A request that
// breaks a limit gets a status when none is ahead of it.
func (c *serverConn) refuse(err error) {
	status := 0
	switch {
	case errors.Is(err, errHeaderTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errNoMemory):
		status = http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
	case isNetError(err):
	default:
		status = http.StatusBadRequest
	}
	if status == 0 {
		return
	}
	c.mu.Lock()
	answered := len(c.queue) == 0 && !c.closing
	if answered {
		e := &exchange{closing: true, response: &Response{Status: status, Header: http.Header{}}}
		c.queue = append(c.queue, e)
		c.write(e)
	}
	c.mu.Unlock()
	if answered {
		c.linger()
	}
}

func isNetError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op)
}

// linger reads what still arrives until the caller closes, so that its leaving
// is noticed while its last request runs and its response is not reset.
func (c *serverConn) linger() {
	_ = c.conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	if c.closing {
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	}
	c.mu.Unlock()
	c.limited.N = 1 << 62
	_, _ = io.Copy(io.Discard, c.reader)
}
