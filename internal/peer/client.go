package peer

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/relay"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	dialTimeout = 2 * time.Second
	// pingAfter and pingTimeout bound how long a silent partition goes unnoticed.
	// Only the client pings: the server's calls end with their deadlines, and
	// pings on idle connections count towards the control overhead.
	pingAfter   = 5 * time.Second
	pingTimeout = 3 * time.Second
	// streamBufferBytes and connectionBufferBytes bound the memory of bodies
	// that arrive faster than they are passed on.
	streamBufferBytes     = 256 << 10
	connectionBufferBytes = 4 << 20
	maxHeaderBytes        = 128 << 10
	idleTimeout           = 90 * time.Second
)

// errReplay stops the HTTP/2 transport from sending an attempt a second time.
var errReplay = errors.New("call was already written to another connection")

// ClientConfig holds what a Client needs.
type ClientConfig struct {
	// Now may be nil.
	Now func() time.Time
	// Dial may be nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends calls to other nodes over cleartext HTTP/2. Control messages use
// connections of their own, so that they do not wait behind bodies.
type Client struct {
	now     func() time.Time
	calls   *http.Transport
	control *http.Transport
}

// NewClient returns a client.
func NewClient(config ClientConfig) *Client {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Dial == nil {
		config.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Client{now: config.Now, calls: newTransport(config), control: newTransport(config)}
}

func newTransport(config ClientConfig) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		DialContext:            config.Dial,
		Protocols:              protocols,
		DisableCompression:     true,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:               pingAfter,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamBufferBytes,
			MaxReceiveBufferPerConnection: connectionBufferBytes,
		},
	}
}

// ControlClient returns the client for connect-go, with base URLs of the form
// http://address.
func (c *Client) ControlClient() *http.Client {
	return &http.Client{Transport: c.control}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.calls.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Forward sends one attempt to the node at address. The error is a
// *resultcode.Error and says NotRun only when nothing was sent. Accepted is
// called when the node has admitted a call with a large body; it may be nil.
func (c *Client) Forward(ctx context.Context, address string, m call.Metadata, r *Request, accepted func()) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	progress := &progress{cancel: cancel, accepted: accepted}
	out := r.outgoing(progress.trace(ctx), address, m, c.now())
	raw, err := c.calls.RoundTrip(out)
	if err != nil {
		cancel(err)
		return nil, progress.classify(ctx, err)
	}
	response, failure := newResponse(m, raw, func() { cancel(context.Canceled) })
	if failure != nil {
		return nil, failure
	}
	return response, nil
}

// progress follows one attempt through the HTTP/2 transport.
type progress struct {
	cancel   context.CancelCauseFunc
	accepted func()
	wrote    atomic.Bool
}

func (p *progress) trace(ctx context.Context) context.Context {
	t := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			// The transport repeats some calls after a connection error. It
			// checks the context before it writes headers.
			if p.wrote.Load() {
				p.cancel(errReplay)
			}
		},
		WroteHeaders: func() { p.wrote.Store(true) },
	}
	if p.accepted != nil {
		t.Got100Continue = p.accepted
	}
	return httptrace.WithClientTrace(ctx, t)
}

func (p *progress) classify(ctx context.Context, err error) *resultcode.Error {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	gone := errors.Is(context.Cause(ctx), context.Canceled)
	switch {
	case p.wrote.Load() && expired:
		return resultcode.Wrap(err, resultcode.DeadlineExceeded, "no response from the node in time")
	case p.wrote.Load():
		return resultcode.Wrap(err, resultcode.ConnectionLost, "no response from the node")
	case expired:
		return resultcode.Wrap(err, resultcode.DeadlineInsufficient, "the time ran out before the call was sent")
	case gone:
		return resultcode.Wrap(err, resultcode.CallerGone, "the caller went away before the call was sent")
	}
	return resultcode.Wrap(err, resultcode.UpstreamUnreachable, "no connection to the node")
}

// outgoing returns the request for one attempt.
func (r *Request) outgoing(ctx context.Context, address string, m call.Metadata, now time.Time) *http.Request {
	header := make(http.Header, len(r.Header)+12)
	relay.CopyHeader(header, r.Header)
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		header["User-Agent"] = []string{""}
	}
	m.WriteForward(header, now)
	relay.Inject(ctx, header)
	out := &http.Request{
		Method: r.Method,
		URL: &url.URL{
			Scheme: "http", Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath,
			RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery,
		},
		Host:          r.Host,
		Header:        header,
		ContentLength: r.ContentLength,
		Body:          http.NoBody,
	}
	if r.Body != nil && r.ContentLength != 0 {
		out.Body = r.Body
	}
	return out.WithContext(ctx)
}
