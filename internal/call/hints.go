package call

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Hints are the properties that a caller or an upstream requests for a call. They can
// only lower what the settings or the parent call grant. ParseForward uses Hints too,
// for the headers that forwarded calls and callers' requests have in common.
type Hints struct {
	// RequestID is zero when absent or not a UUIDv7.
	RequestID uuid.UUID
	// Service and Kind are empty when absent.
	Service, Kind string
	// Priority is Critical, the highest, when absent.
	Priority Priority
	// Timeout is MaxTimeout when absent.
	Timeout time.Duration
	// Key is the UUIDv7 from which the lineage and the idempotency key are taken, zero
	// when absent.
	Key uuid.UUID
	// NonIdempotent is set when the call must not run more than once.
	NonIdempotent bool
}

// ParseHints parses the headers that are accepted from callers and upstreams. It ignores
// the other reserved headers, which only nodes set, and fails on a malformed value.
func ParseHints(h http.Header) (Hints, error) {
	hints := Hints{Priority: Critical, Timeout: MaxTimeout}
	for _, parse := range hintParsers {
		text, present, err := headerValue(h, parse.name)
		if err != nil {
			return Hints{}, err
		}
		if !present {
			continue
		}
		if err := parse.set(&hints, text); err != nil {
			return Hints{}, err
		}
	}
	return hints, nil
}

// hintParsers lists the headers that ParseHints parses, each with the function that
// stores its value.
var hintParsers = []struct {
	name string
	set  func(*Hints, string) error
}{
	{HeaderRequestID, setRequestID},
	{HeaderService, setService},
	{HeaderKind, setKind},
	{HeaderPriority, setPriority},
	{HeaderTimeout, setTimeout},
	{HeaderKey, setKey},
	{HeaderRepeatable, setRepeatable},
}

// setRequestID ignores an ID that is not a UUIDv7.
func setRequestID(h *Hints, text string) error {
	if id, ok := parseUUIDv7(text); ok {
		h.RequestID = id
	}
	return nil
}

func setService(h *Hints, text string) error {
	if !ValidName(text) {
		return malformedHeader(HeaderService, text, "1 to 63 characters of a-z, 0-9 and -, starting with a letter")
	}
	h.Service = text
	return nil
}

func setKind(h *Hints, text string) error {
	if !ValidName(text) {
		return malformedHeader(HeaderKind, text, "1 to 63 characters of a-z, 0-9 and -, starting with a letter")
	}
	h.Kind = text
	return nil
}

func setPriority(h *Hints, text string) (err error) {
	h.Priority, err = ParsePriority(text)
	return err
}

func setTimeout(h *Hints, text string) (err error) {
	h.Timeout, err = parseTimeout(text)
	return err
}

func setKey(h *Hints, text string) error {
	key, ok := parseUUIDv7(text)
	if !ok {
		return resultcode.New(resultcode.InvalidKey, "%s is %q: want a UUIDv7", HeaderKey, text)
	}
	h.Key = key
	return nil
}

func setRepeatable(h *Hints, text string) error {
	if text != repeatableNo {
		return malformedHeader(HeaderRepeatable, text, "no")
	}
	h.NonIdempotent = true
	return nil
}

// ParseAttempt returns the attempt ID of HeaderAttempt, and zero when the header is
// absent. On a nested call that an upstream makes it is the attempt of the parent call.
func ParseAttempt(h http.Header) (uuid.UUID, error) {
	text, present, err := headerValue(h, HeaderAttempt)
	if err != nil || !present {
		return uuid.UUID{}, err
	}
	id, ok := parseUUID(text)
	if !ok {
		return uuid.UUID{}, malformedHeader(HeaderAttempt, text, "a UUID")
	}
	return id, nil
}
