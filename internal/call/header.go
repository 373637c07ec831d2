package call

import (
	"net/http"
	"strings"
)

// HeaderPrefix starts the name of every header of this system.
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
	// HeaderShed has the value ShedBelow on a failure of the upstream's own whose
	// cause is that a call below it was refused for want of capacity or time.
	HeaderShed           = "Mustardwing-Shed"
	HeaderOriginalStatus = "Mustardwing-Original-Status"
)

// DefaultKind is the kind of calls that name none and match none.
const DefaultKind = "default"

// repeatableNo is the only value of HeaderRepeatable.
const repeatableNo = "no"

// ShedBelow is the value of HeaderShed.
const ShedBelow = "below"

// StripReserved removes every header of this system.
func StripReserved(h http.Header) {
	for name := range h {
		if IsReservedHeader(name) {
			delete(h, name)
		}
	}
}

// IsReservedHeader reports whether the name belongs to this system, in any case.
func IsReservedHeader(name string) bool {
	return len(name) >= len(HeaderPrefix) && strings.EqualFold(name[:len(HeaderPrefix)], HeaderPrefix)
}
