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
	// dialTimeout bounds how long a new connection may take.
	dialTimeout = 2 * time.Second
	// sendPingTimeout is how long a connection may be silent before the client sends
	// a ping, and pingTimeout how long the response to the ping may take. Together they
	// bound how long a partition that drops packets goes undetected. Only the client
	// sends pings: calls at the server end with their deadlines, and pings on idle
	// connections count towards the control overhead.
	sendPingTimeout = 5 * time.Second
	pingTimeout     = 3 * time.Second
	// streamBufferBytes and connectionBufferBytes bound the memory used by bodies
	// that arrive faster than they are relayed.
	streamBufferBytes     = 256 << 10
	connectionBufferBytes = 4 << 20
	// maxHeaderBytes is the largest header of a request or response between nodes.
	maxHeaderBytes = 128 << 10
	// idleTimeout is how long the client keeps a connection without calls.
	idleTimeout = 90 * time.Second
)

// errReplay is the cancellation cause that stops the HTTP/2 transport from sending
// an attempt twice.
var errReplay = errors.New("call was already written to another connection")

// ClientConfig holds what a Client needs.
type ClientConfig struct {
	// Now is the clock; nil uses time.Now.
	Now func() time.Time
	// Dial opens connections; nil uses a net.Dialer with a timeout.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends calls to other nodes over cleartext HTTP/2. Control messages use
// separate connections, so that they are not queued behind bodies.
type Client struct {
	now     func() time.Time
	calls   *http.Transport
	control *http.Transport
}

// NewClient returns a client without connections.
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
			SendPingTimeout:               sendPingTimeout,
			PingTimeout:                   pingTimeout,
			MaxReceiveBufferPerStream:     streamBufferBytes,
			MaxReceiveBufferPerConnection: connectionBufferBytes,
		},
	}
}

// ControlClient returns the HTTP client for connect-go clients, whose base URLs
// have the form http://address.
func (c *Client) ControlClient() *http.Client {
	return &http.Client{Transport: c.control}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.calls.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Forward sends one attempt to the node at address. The error is a
// *resultcode.Error, whose execution is NotRun only when nothing was sent.
// accepted is called when the node has admitted a call whose body is above
// ContinueThreshold or of unknown length; it may be nil. The Response must be closed.
func (c *Client) Forward(ctx context.Context, address string, m call.Metadata, r *Request, accepted func()) (*Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	progress := &attemptProgress{cancel: cancel, accepted: accepted}
	out := r.httpRequest(progress.trace(ctx), address, m, c.now())
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

// attemptProgress tracks how far the HTTP/2 transport has got with one attempt.
type attemptProgress struct {
	cancel   context.CancelCauseFunc
	accepted func()
	// wroteHeaders is set once the request headers were written to a connection. From
	// then on the node may run the call.
	wroteHeaders atomic.Bool
}

// trace returns a context whose HTTP trace updates the progress and calls accepted.
func (p *attemptProgress) trace(ctx context.Context) context.Context {
	t := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			// The transport sends some requests again after a connection error.
			// It checks the context before it writes headers.
			if p.wroteHeaders.Load() {
				p.cancel(errReplay)
			}
		},
		WroteHeaders: func() { p.wroteHeaders.Store(true) },
	}
	if p.accepted != nil {
		t.Got100Continue = p.accepted
	}
	return httptrace.WithClientTrace(ctx, t)
}

// classify returns the failure of an attempt for which the transport returned err.
func (p *attemptProgress) classify(ctx context.Context, err error) *resultcode.Error {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	disconnected := errors.Is(context.Cause(ctx), context.Canceled)
	switch {
	case p.wroteHeaders.Load() && expired:
		return resultcode.Wrap(err, resultcode.DeadlineExceeded, "no response from the node before the deadline")
	case p.wroteHeaders.Load():
		return resultcode.Wrap(err, resultcode.ConnectionLost, "no response from the node")
	case expired:
		return resultcode.Wrap(err, resultcode.DeadlineInsufficient, "the deadline passed before the call was sent")
	case disconnected:
		return resultcode.Wrap(err, resultcode.CallerGone, "the caller disconnected before the call was sent")
	}
	return resultcode.Wrap(err, resultcode.UpstreamUnreachable, "cannot connect to the node")
}

// httpRequest returns the HTTP request of one attempt, with its forwarding headers.
func (r *Request) httpRequest(ctx context.Context, address string, m call.Metadata, now time.Time) *http.Request {
	header := make(http.Header, len(r.Header)+12)
	relay.CopyHeader(header, r.Header)
	if _, ok := header["User-Agent"]; !ok {
		// An empty value stops net/http from adding its default User-Agent.
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
