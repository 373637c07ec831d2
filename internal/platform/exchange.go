package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"
	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/responsecheck"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// maxIdleConnections is small: a node makes few calls at a time.
const maxIdleConnections = 4

// newTransport returns a transport; timeout bounds the time to open a connection.
func newTransport(timeout time.Duration) http.RoundTripper {
	return responsecheck.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	})
}

// do makes one call, bounded by timeout, and decodes a body of status 200 or 409 into
// result. Every status other than 200 and 204 is an error.
func (c *Client) do(ctx context.Context, timeout time.Duration, s *sling.Sling, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := s.Request()
	if err != nil {
		return resultcode.Wrap(err, resultcode.Internal, "build the request to platform URL %q", c.config.URL)
	}
	// When a connection fails, net/http may retry a request that has GetBody or no body
	// on a new connection. A write could then take effect twice, so every write has a
	// body and no GetBody.
	if request.Method != http.MethodGet {
		request.GetBody = nil
		if request.Body == nil {
			request.Body = io.NopCloser(bytes.NewReader([]byte("{}")))
			request.ContentLength = 2
		}
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return callError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, c.config.MaxResponseBytes+1))
	if err != nil {
		return resultcode.Wrap(err, resultcode.PlatformUnavailable, "the response body ended early")
	}
	if int64(len(body)) > c.config.MaxResponseBytes {
		return malformed("the response is larger than %d bytes", c.config.MaxResponseBytes)
	}
	return interpret(request, response, body, result)
}

// callError returns the error of a call without a response. Its execution outcome is
// not run if no connection could be established, since such a call has no effect.
func callError(err error) error {
	resultErr := resultcode.Wrap(err, resultcode.PlatformUnavailable, "no response")
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		resultErr.Execution = resultcode.NotRun
	}
	return resultErr
}

// interpret turns the status of a response into an error and decodes the body as
// described at do.
func interpret(request *http.Request, response *http.Response, body []byte, result any) error {
	target := request.Method + " " + request.URL.Path
	switch response.StatusCode {
	case http.StatusOK:
		return decode(body, result)
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		if err := decode(body, result); err != nil {
			return err
		}
		return resultcode.New(resultcode.SettingsConflict, "%s: the object has another version", target)
	case http.StatusNotFound:
		return resultcode.New(resultcode.ScopeNotFound, "%s: no such object", target)
	case http.StatusGone:
		return ErrCompacted
	case http.StatusRequestEntityTooLarge:
		return resultcode.New(resultcode.SettingsInvalid, "%s: the value is too large", target)
	case http.StatusTooManyRequests:
		return resultcode.New(resultcode.PlatformRateLimited, "%s: retry after %q s", target, response.Header.Get("Retry-After"))
	}
	if response.StatusCode >= http.StatusInternalServerError {
		return resultcode.New(resultcode.PlatformUnavailable, "%s: status %d", target, response.StatusCode)
	}
	return malformed("%s: unexpected status %d", target, response.StatusCode)
}

// decode decodes a body into result, or ignores it when result is nil. Invalid JSON is
// an error with code PlatformMalformed.
func decode(body []byte, result any) error {
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return resultcode.Wrap(err, resultcode.PlatformMalformed, "the response is not the expected JSON")
	}
	return nil
}

func malformed(format string, args ...any) error {
	return resultcode.New(resultcode.PlatformMalformed, format, args...)
}
