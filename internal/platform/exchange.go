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

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// maxIdleConnections is small: a node makes few calls at a time.
const maxIdleConnections = 4

func newTransport(timeout time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	}
}

// do makes one call and decodes a body of status 200 or 409 into answer.
func (c *Client) do(ctx context.Context, timeout time.Duration, s *sling.Sling, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := s.Request()
	if err != nil {
		return resultcode.Wrap(err, resultcode.Internal, "platform URL %q", c.config.URL)
	}
	// net/http repeats a request with a GetBody or without a body on a fresh
	// connection. For a write that could be a second effect, so the body cannot
	// be obtained again.
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
		return resultcode.Wrap(err, resultcode.PlatformUnavailable, "the answer ended early")
	}
	if int64(len(body)) > c.config.MaxResponseBytes {
		return malformed("the answer is larger than %d bytes", c.config.MaxResponseBytes)
	}
	return interpret(request, response, body, answer)
}

// callError keeps apart the calls that reached nobody, which have no effect.
func callError(err error) error {
	coded := resultcode.Wrap(err, resultcode.PlatformUnavailable, "no answer")
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		coded.Execution = resultcode.NotRun
	}
	return coded
}

func interpret(request *http.Request, response *http.Response, body []byte, answer any) error {
	target := request.Method + " " + request.URL.Path
	switch response.StatusCode {
	case http.StatusOK:
		return decode(body, answer)
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		if err := decode(body, answer); err != nil {
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

func decode(body []byte, answer any) error {
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return resultcode.Wrap(err, resultcode.PlatformMalformed, "the answer is not the expected JSON")
	}
	return nil
}

func malformed(format string, args ...any) error {
	return resultcode.New(resultcode.PlatformMalformed, format, args...)
}
