package call

import (
	"net/http"
	"strings"
)

// HeaderPrefix is the prefix of all header names that are reserved for this system. A
// node does not relay reserved headers; it sets its own on each message that it sends.
const HeaderPrefix = "Mustardwing-"

// Names of the headers, in the canonical form of net/http.
const (
	// HeaderRequestID, on requests and responses, is the UUIDv7 of the root request.
	HeaderRequestID = "Mustardwing-Request-Id"
	// HeaderAttempt, on requests, is the UUID of the attempt, and on a nested call that
	// an upstream makes, that of the attempt it runs. The response to a forwarded call
	// repeats it.
	HeaderAttempt = "Mustardwing-Attempt"
	// HeaderService and HeaderKind, on requests, are the names of the called service and
	// of the kind of call.
	HeaderService = "Mustardwing-Service"
	HeaderKind    = "Mustardwing-Kind"
	// HeaderPriority, on requests, is the name of a Priority.
	HeaderPriority = "Mustardwing-Priority"
	// HeaderTimeout, on requests, is the time until the deadline in milliseconds.
	HeaderTimeout = "Mustardwing-Timeout-Ms"
	// HeaderAllowance, on forwarded calls, is the share of the allowance that the attempt
	// may spend, in the format of Allowance.String.
	HeaderAllowance = "Mustardwing-Allowance"
	// HeaderDepth, on forwarded calls, is the number of hops from the root request.
	HeaderDepth = "Mustardwing-Depth"
	// HeaderKey, on requests, is the idempotency key, a UUIDv7. Forwarded calls always
	// have it: there it is the lineage of the call; see Metadata.Lineage.
	HeaderKey = "Mustardwing-Key"
	// HeaderRepeatable, on requests, has the value no on non-idempotent calls and is
	// absent on others.
	HeaderRepeatable = "Mustardwing-Repeatable"
	// HeaderCode, on responses of nodes, is the result code in decimal.
	HeaderCode = "Mustardwing-Code"
	// HeaderRun, on responses of nodes, is the execution outcome.
	HeaderRun = "Mustardwing-Run"
	// HeaderSpent, on responses to forwarded calls, is what the attempt's nested calls
	// spent of the allowance. It is a trailer when the body was not buffered.
	HeaderSpent = "Mustardwing-Spent"
	// HeaderLoad, on responses to forwarded calls, is the load of the instance.
	HeaderLoad = "Mustardwing-Load"
	// HeaderRefusedAttempt, on a response of an upstream, is the attempt that the
	// upstream rejected before any work.
	HeaderRefusedAttempt = "Mustardwing-Refused-Attempt"
	// HeaderShed, on responses to forwarded calls, has the value ShedBelow on a failure
	// that the upstream itself returned because one of its nested calls was refused for
	// lack of capacity or time.
	HeaderShed = "Mustardwing-Shed"
	// HeaderOriginalStatus, on a refusal because of a key whose call has completed, is
	// the HTTP status of the earlier execution.
	HeaderOriginalStatus = "Mustardwing-Original-Status"
)

// DefaultKind is the kind of calls that neither name a kind nor match the method and path
// of one in the settings.
const DefaultKind = "default"

// repeatableNo is the only valid value of HeaderRepeatable. It marks a call as
// non-idempotent.
const repeatableNo = "no"

// ShedBelow is the only value of HeaderShed: a call below this one, a nested call, was
// shed.
const ShedBelow = "below"

// First returns the first value of a header, empty if there is none. Unlike http.Header.Get it takes
// the name as it is, which must be in the canonical form.
func First(h http.Header, name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// StripReserved removes all reserved headers from h.
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
