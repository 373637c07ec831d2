package call

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Limits of header values.
const (
	// maxValueBytes is the longest value that is accepted of a reserved header. The
	// longest valid value, a load report, is shorter.
	maxValueBytes = 128
	// maxNameBytes is the longest name of a service or kind.
	maxNameBytes = 63
	// MaxTimeout is the longest remaining time that is accepted. The longest timeout
	// setting is 30 minutes; a value above MaxTimeout is a point in time or a mistake.
	MaxTimeout = 24 * time.Hour
	// maxTimeoutDigits is the number of digits of MaxTimeout in milliseconds.
	maxTimeoutDigits = 8
	uuidTextBytes    = 36
	uuidVersion7     = 7
)

// headerValue returns the only value of a header, and false when the header is absent. It
// fails when the header has several values or one longer than maxValueBytes.
func headerValue(h http.Header, name string) (string, bool, error) {
	values := h[name]
	switch {
	case len(values) == 0:
		return "", false, nil
	case len(values) > 1:
		return "", false, resultcode.New(resultcode.MalformedHeader, "%s has %d values: want one", name, len(values))
	case len(values[0]) > maxValueBytes:
		return "", false, resultcode.New(resultcode.HeadersTooLarge, "%s has %d bytes: want at most %d", name, len(values[0]), maxValueBytes)
	}
	return values[0], true, nil
}

// malformedHeader returns the error for a header whose value is text. want describes the
// values that are accepted.
func malformedHeader(name, text, want string) error {
	return resultcode.New(resultcode.MalformedHeader, "%s is %q: want %s", name, text, want)
}

// parseUUID parses a UUID in the 36-character form. The nil UUID is invalid.
func parseUUID(text string) (uuid.UUID, bool) {
	if len(text) != uuidTextBytes {
		return uuid.UUID{}, false
	}
	id, err := uuid.Parse(text)
	return id, err == nil && id != uuid.Nil
}

// parseUUIDv7 parses a UUID of version 7, which carries the time of issue.
func parseUUIDv7(text string) (uuid.UUID, bool) {
	id, ok := parseUUID(text)
	return id, ok && id.Version() == uuidVersion7 && id.Variant() == uuid.RFC4122
}

// parseDigits parses an unsigned decimal number of at most maxDigits digits. It returns
// false for an empty text and for one with a sign or spaces.
func parseDigits(text string, maxDigits int) (uint64, bool) {
	if text == "" || len(text) > maxDigits {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}

// parseTimeout parses the value of HeaderTimeout, a number of milliseconds from 0 to
// MaxTimeout.
func parseTimeout(text string) (time.Duration, error) {
	ms, ok := parseDigits(text, maxTimeoutDigits)
	d := time.Duration(ms) * time.Millisecond
	if !ok || d > MaxTimeout {
		return 0, malformedHeader(HeaderTimeout, text, "remaining milliseconds from 0 to "+strconv.FormatInt(MaxTimeout.Milliseconds(), 10))
	}
	return d, nil
}

// ParseAllowance parses the value of HeaderAllowance or HeaderSpent. It returns false
// unless the text has the form retries=N,moves=M with numbers that fit uint16.
func ParseAllowance(text string) (Allowance, bool) {
	retries, moves, found := strings.Cut(text, ",")
	r, okRetries := strings.CutPrefix(retries, "retries=")
	m, okMoves := strings.CutPrefix(moves, "moves=")
	if !found || !okRetries || !okMoves {
		return Allowance{}, false
	}
	a, errRetries := strconv.ParseUint(r, 10, 16)
	b, errMoves := strconv.ParseUint(m, 10, 16)
	if errRetries != nil || errMoves != nil {
		return Allowance{}, false
	}
	return Allowance{Retries: uint16(a), Moves: uint16(b)}, true
}

// String returns the allowance in the format of HeaderAllowance and HeaderSpent.
func (a Allowance) String() string {
	buffer := make([]byte, 0, 32)
	buffer = append(buffer, "retries="...)
	buffer = strconv.AppendUint(buffer, uint64(a.Retries), 10)
	buffer = append(buffer, ",moves="...)
	buffer = strconv.AppendUint(buffer, uint64(a.Moves), 10)
	return string(buffer)
}

// ValidName reports whether s is a service or kind name: 1 to 63 characters of
// a-z, 0-9 and -, starting with a letter.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameBytes || s[0] < 'a' || s[0] > 'z' {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' {
			return false
		}
	}
	return true
}
