package call

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// maxDepthDigits is the number of digits of MaxDepth.
const maxDepthDigits = 2

// WriteForward sets the headers of a call that is forwarded to a peer node. The timeout
// is the time from now to the deadline. HeaderKey carries the lineage, which is also the
// idempotency key when HeaderRepeatable marks the call as non-idempotent.
func (m Metadata) WriteForward(h http.Header, now time.Time) {
	values := make([]string, 0, 10)
	set := func(name, text string) {
		values = append(values, text)
		h[name] = values[len(values)-1 : len(values) : len(values)]
	}
	set(HeaderRequestID, m.RequestID.String())
	set(HeaderAttempt, m.Attempt.String())
	set(HeaderService, m.Service)
	set(HeaderKind, m.Kind)
	set(HeaderPriority, m.Priority.String())
	set(HeaderTimeout, m.remainingText(now))
	set(HeaderAllowance, m.Allowance.String())
	set(HeaderDepth, strconv.Itoa(int(m.Depth)))
	set(HeaderKey, m.Lineage.String())
	if !m.Idempotent {
		set(HeaderRepeatable, repeatableNo)
	}
}

// WriteUpstream sets the headers of a call that is sent to the upstream. The timeout is
// the time from now to the deadline. HeaderKey carries the idempotency key and is set
// only on non-idempotent calls.
func (m Metadata) WriteUpstream(h http.Header, now time.Time) {
	values := make([]string, 0, 7)
	set := func(name, text string) {
		values = append(values, text)
		h[name] = values[len(values)-1 : len(values) : len(values)]
	}
	set(HeaderRequestID, m.RequestID.String())
	set(HeaderAttempt, m.Attempt.String())
	set(HeaderKind, m.Kind)
	set(HeaderPriority, m.Priority.String())
	set(HeaderTimeout, m.remainingText(now))
	if !m.Idempotent {
		set(HeaderKey, m.Key.String())
		set(HeaderRepeatable, repeatableNo)
	}
}

// remainingText returns the value of HeaderTimeout, zero after the deadline.
func (m Metadata) remainingText(now time.Time) string {
	return strconv.FormatInt(max(0, m.Remaining(now).Milliseconds()), 10)
}

// ParseForward parses the headers of a call that a peer node forwarded. The deadline is
// now, on the local clock, plus the value of HeaderTimeout. ParseForward fails when a
// header is missing, duplicate or malformed, or the depth exceeds MaxDepth.
func ParseForward(h http.Header, now time.Time) (Metadata, error) {
	hints, err := ParseHints(h)
	if err != nil {
		return Metadata{}, err
	}
	m := Metadata{
		RequestID:  hints.RequestID,
		Service:    hints.Service,
		Kind:       hints.Kind,
		Priority:   hints.Priority,
		Deadline:   now.Add(hints.Timeout),
		Lineage:    hints.Key,
		Idempotent: !hints.NonIdempotent,
	}
	if !m.Idempotent {
		m.Key = hints.Key
	}
	if m.Attempt, err = ParseAttempt(h); err != nil {
		return Metadata{}, err
	}
	if m.Allowance, err = forwardedAllowance(h); err != nil {
		return Metadata{}, err
	}
	if m.Depth, err = forwardedDepth(h); err != nil {
		return Metadata{}, err
	}
	return m, requireHeaders(h, m)
}

// requireHeaders returns an error when a forwarded call lacks a required header or its
// request ID is not a UUIDv7.
func requireHeaders(h http.Header, m Metadata) error {
	for _, name := range requiredForwardHeaders {
		if len(h[name]) == 0 {
			return malformedHeader(name, "", "a value on every forwarded call")
		}
	}
	if m.RequestID == uuid.Nil {
		return malformedHeader(HeaderRequestID, h.Get(HeaderRequestID), "a UUIDv7")
	}
	return nil
}

// requiredForwardHeaders lists the headers that every forwarded call has. Only
// HeaderRepeatable is optional.
var requiredForwardHeaders = []string{
	HeaderRequestID, HeaderAttempt, HeaderService, HeaderKind, HeaderPriority,
	HeaderTimeout, HeaderAllowance, HeaderDepth, HeaderKey,
}

// forwardedAllowance returns the value of HeaderAllowance, zero when it is absent.
func forwardedAllowance(h http.Header) (Allowance, error) {
	text, present, err := headerValue(h, HeaderAllowance)
	if err != nil || !present {
		return Allowance{}, err
	}
	a, ok := ParseAllowance(text)
	if !ok {
		return Allowance{}, malformedHeader(HeaderAllowance, text, "retries=N,moves=M")
	}
	return a, nil
}

// forwardedDepth returns the value of HeaderDepth, zero when it is absent.
func forwardedDepth(h http.Header) (uint8, error) {
	text, present, err := headerValue(h, HeaderDepth)
	if err != nil || !present {
		return 0, err
	}
	depth, ok := parseDigits(text, maxDepthDigits)
	if !ok {
		return 0, malformedHeader(HeaderDepth, text, "the number of hops from the root request")
	}
	if depth > MaxDepth {
		return 0, resultcode.New(resultcode.DepthExceeded, "depth %d: want at most %d", depth, MaxDepth)
	}
	return uint8(depth), nil
}
