package responsecheck

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that refuses responses which are not valid.
type Transport struct {
	base *http.Transport
}

// expectResponse tells the chosen connection of a request that a response follows.
var expectResponse = &httptrace.ClientTrace{
	GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.ExpectResponse()
		}
	},
}

// NewTransport returns a Transport over base, which it changes and which must have a DialContext.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper. Of a response that is not valid the error wraps an Error.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), expectResponse)))
	if err != nil {
		return nil, err
	}
	if err := Parsed(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() {
	t.base.CloseIdleConnections()
}
