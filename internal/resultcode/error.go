package resultcode

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Error is an error with a result code.
type Error struct {
	Code Code
	// Execution is the execution outcome of the code's table entry unless the place
	// that reports the error knows more.
	Execution Execution
	// Detail names the object, the value and the accepted values as far as they apply.
	Detail string
	// Cause may be nil.
	Cause error
	// RetryAfter is the time after which a retry may succeed, zero if it is not known.
	RetryAfter time.Duration
}

// New returns an error whose execution outcome is that of the code's table entry.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Execution: Lookup(code).Execution, Detail: fmt.Sprintf(format, args...)}
}

// Wrap is New with a cause.
func Wrap(cause error, code Code, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Cause = cause
	return e
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Detail)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// From returns the first Error in err's chain. Any other error, which must not be nil,
// is wrapped as Internal.
func From(err error) *Error {
	var resultErr *Error
	if errors.As(err, &resultErr) {
		return resultErr
	}
	return Wrap(err, Internal, "unexpected error")
}
