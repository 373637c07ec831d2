package call

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Hints are what a caller or an upstream asks for. They may only lower what the
// settings or the parent call give.
type Hints struct {
	// RequestID is zero when absent or not a UUIDv7.
	RequestID uuid.UUID
	// Service and Kind are empty when absent.
	Service, Kind string
	// Priority is Critical when absent.
	Priority Priority
	// Timeout is MaxTimeout when absent.
	Timeout time.Duration
	// Key is zero when absent.
	Key uuid.UUID
	// NonIdempotent is set when the call must not run twice.
	NonIdempotent bool
}

// ParseHints reads the headers accepted from callers and upstreams. Headers
// that they may not set are ignored.
func ParseHints(h http.Header) (Hints, error) {
	hints := Hints{Priority: Critical, Timeout: MaxTimeout}
	for _, parse := range hintParsers {
		text, present, err := value(h, parse.name)
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

func setRequestID(h *Hints, text string) error {
	if id, ok := parseTimeUUID(text); ok {
		h.RequestID = id
	}
	return nil
}

func setService(h *Hints, text string) error {
	if !ValidName(text) {
		return malformed(HeaderService, text, "1 to 63 characters of a-z, 0-9 and -, starting with a letter")
	}
	h.Service = text
	return nil
}

func setKind(h *Hints, text string) error {
	if !ValidName(text) {
		return malformed(HeaderKind, text, "1 to 63 characters of a-z, 0-9 and -, starting with a letter")
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
	key, ok := parseTimeUUID(text)
	if !ok {
		return resultcode.New(resultcode.InvalidKey, "%s is %q: want a UUIDv7", HeaderKey, text)
	}
	h.Key = key
	return nil
}

func setRepeatable(h *Hints, text string) error {
	if text != repeatableNo {
		return malformed(HeaderRepeatable, text, "no")
	}
	h.NonIdempotent = true
	return nil
}

// ParseAttempt returns the attempt that an upstream names as the parent of its
// outgoing call, and zero when it names none.
func ParseAttempt(h http.Header) (uuid.UUID, error) {
	text, present, err := value(h, HeaderAttempt)
	if err != nil || !present {
		return uuid.UUID{}, err
	}
	id, ok := parseUUID(text)
	if !ok {
		return uuid.UUID{}, malformed(HeaderAttempt, text, "a UUID")
	}
	return id, nil
}
