package directory

import (
	"net"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/pkg/errors"
)

const (
	// MaxSlots is the largest number of slots of an upstream.
	MaxSlots = 10_000
	// maxNameBytes bounds names, ids and addresses. It is the length of the longest host name.
	maxNameBytes = 253
	// MaxCold bounds the slow start of an upstream.
	MaxCold = time.Hour
	// maxAhead is how far a version may be ahead of the wall clock. No clock is so wrong that
	// it is exceeded. The bound rises with the clock, so that the owner of an entry can always
	// exceed a version that another writer has put in its place.
	maxAhead = 100 * 365 * 24 * time.Hour
)

// Reason says what is wrong with an entry. Its values are few, so that refusals can be counted
// and logged by reason.
type Reason string

// Reasons for refusing an entry.
const (
	BadEncoding    Reason = "not the JSON of an entry"
	BadKey         Reason = "names another node than its key"
	BadNode        Reason = "invalid node"
	BadAddress     Reason = "invalid address"
	BadVersion     Reason = "version out of range"
	BadName        Reason = "invalid region, failure domain or service"
	BadUpstreamID  Reason = "invalid upstream id"
	BadSlots       Reason = "slots out of range"
	BadState       Reason = "unknown upstream state"
	BadIncarnation Reason = "start or slow start of the upstream out of range"
)

// InvalidEntryError is the error of an entry that must not be used, kept or passed on.
type InvalidEntryError struct {
	Reason Reason
	// Detail names the field, its value and what would be accepted.
	Detail string
}

// Error implements error.
func (e *InvalidEntryError) Error() string {
	return string(e.Reason) + ": " + e.Detail
}

func invalid(reason Reason, format string, args ...any) error {
	return &InvalidEntryError{Reason: reason, Detail: errors.Errorf(format, args...).Error()}
}

// ReasonOf returns the reason of an error of Validate, and BadEncoding for any other error.
func ReasonOf(err error) Reason {
	var failure *InvalidEntryError
	if errors.As(err, &failure) {
		return failure.Reason
	}
	return BadEncoding
}

// Validate returns an error of type *InvalidEntryError unless every field of an entry is within
// its range. Entries come from other nodes and, through the store, from other writers. now is
// the wall clock.
func (e Entry) Validate(now time.Time) error {
	if !ValidName(e.Node) {
		return invalid(BadNode, "node %.64q: want 1 to %d bytes without control characters", e.Node, maxNameBytes)
	}
	if err := validateAddress(e.Address); err != nil {
		return err
	}
	if limit := now.Add(maxAhead).UnixMilli(); e.Version == 0 || e.Version > uint64(max(0, limit)) {
		return invalid(BadVersion, "version %d: want 1 to %d", e.Version, limit)
	}
	if !optionalName(e.Region) || !optionalName(e.FailureDomain) {
		return invalid(BadName, "region %.64q, failure domain %.64q: want at most %d bytes without control characters", e.Region, e.FailureDomain, maxNameBytes)
	}
	if e.Upstream == nil {
		return nil
	}
	return e.Upstream.validate(now)
}

func (u *Upstream) validate(now time.Time) error {
	switch {
	case !ValidName(u.ID):
		return invalid(BadUpstreamID, "id %.64q: want 1 to %d bytes without control characters", u.ID, maxNameBytes)
	case !ValidName(u.Service):
		return invalid(BadName, "service %.64q: want 1 to %d bytes without control characters", u.Service, maxNameBytes)
	case u.Slots < 1 || u.Slots > MaxSlots:
		return invalid(BadSlots, "slots %d: want 1 to %d", u.Slots, MaxSlots)
	case u.State != Ready && u.State != Draining && u.State != Unreachable:
		return invalid(BadState, "state %.64q: want %q, %q or %q", u.State, Ready, Draining, Unreachable)
	case u.Incarnation < 0 || u.Incarnation > now.Add(maxAhead).UnixMilli():
		return invalid(BadIncarnation, "incarnation %d: want Unix milliseconds", u.Incarnation)
	case u.ColdMs < 0 || u.ColdMs > MaxCold.Milliseconds():
		return invalid(BadIncarnation, "cold_ms %d: want 0 to %d", u.ColdMs, MaxCold.Milliseconds())
	}
	return nil
}

func validateAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil || !ValidName(host) {
		return invalid(BadAddress, "address %.64q: want a host and a port", address)
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
		return invalid(BadAddress, "address %.64q: want a port from 1 to 65535", address)
	}
	return nil
}

// ValidName reports whether a name has 1 to 253 bytes of UTF-8 without control characters, so
// that it can stand in a header.
func ValidName(name string) bool {
	return name != "" && optionalName(name)
}

func optionalName(name string) bool {
	return len(name) <= maxNameBytes && utf8.ValidString(name) && !strings.ContainsFunc(name, unicode.IsControl)
}
