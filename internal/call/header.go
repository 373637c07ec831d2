package call

import (
	"net/http"
	"strings"
)

// HeaderPrefix is the prefix of all header names that are reserved for this system.
const HeaderPrefix = "Mustardwing-"

// Names of the headers, in the canonical form of net/http.
const (
	HeaderRequestID      = "Mustardwing-Request-Id"
	HeaderAttempt        = "Mustardwing-Attempt"
	HeaderService        = "Mustardwing-Service"
	HeaderKind           = "Mustardwing-Kind"
	HeaderPriority       = "Mustardwing-Priority"
	HeaderTimeout        = "Mustardwing-Timeout-Ms"
	HeaderAllowance      = "Mustardwing-Allowance"
	HeaderDepth          = "Mustardwing-Depth"
	HeaderKey            = "Mustardwing-Key"
	HeaderRepeatable     = "Mustardwing-Repeatable"
	HeaderCode           = "Mustardwing-Code"
	HeaderRun            = "Mustardwing-Run"
	HeaderSpent          = "Mustardwing-Spent"
	HeaderLoad           = "Mustardwing-Load"
	HeaderRefusedAttempt = "Mustardwing-Refused-Attempt"
	// HeaderShed has the value ShedBelow on a failure that the upstream itself returned
	// because one of its nested calls was refused for lack of capacity or time.
	HeaderShed           = "Mustardwing-Shed"
	HeaderOriginalStatus = "Mustardwing-Original-Status"
)

// DefaultKind is the kind of calls that neither name a kind nor match one.
const DefaultKind = "default"

// repeatableNo is the only valid value of HeaderRepeatable. It marks a call as
// non-idempotent.
const repeatableNo = "no"

// ShedBelow is the only value of HeaderShed.
const ShedBelow = "below"

// StripReserved removes all reserved headers.
func StripReserved(h http.Header) {
	for name := range h {
		if IsReservedHeader(name) {
			delete(h, name)
		}
	}
}

// IsReservedHeader reports whether the name starts with HeaderPrefix, ignoring case.
func IsReservedHeader(name string) bool {
	return len(name) >= len(HeaderPrefix) && strings.EqualFold(name[:len(HeaderPrefix)], HeaderPrefix)
}
