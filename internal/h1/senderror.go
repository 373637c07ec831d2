package h1

import (
	"context"
	"os"

	"github.com/pkg/errors"
)

// SendError reports a request that got no usable response.
type SendError struct {
	// Sent is true if any byte of the request may have reached the server.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return "no usable response to the request: " + e.Cause.Error()
	}
	return "request was not sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}

// DeadlineExceeded reports whether a deadline passed: that of the exchange or of the dial
// timeout. It is also true after a cancellation during the exchange, which then sets a
// deadline in the past to interrupt its reads and writes.
func (e *SendError) DeadlineExceeded() bool {
	return errors.Is(e.Cause, os.ErrDeadlineExceeded) || errors.Is(e.Cause, context.DeadlineExceeded)
}
