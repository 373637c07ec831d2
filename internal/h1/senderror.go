package h1

import (
	"context"
	"os"

	"github.com/pkg/errors"
)

// SendError is a request without a usable response.
type SendError struct {
	// Sent is true once a byte of the request may have reached the other end.
	Sent  bool
	Cause error
}

// Error implements error.
func (e *SendError) Error() string {
	if e.Sent {
		return "after the request was sent: " + e.Cause.Error()
	}
	return "before the request was sent: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error {
	return e.Cause
}

// DeadlineExceeded reports whether the time ran out.
func (e *SendError) DeadlineExceeded() bool {
	return errors.Is(e.Cause, os.ErrDeadlineExceeded) || errors.Is(e.Cause, context.DeadlineExceeded)
}
