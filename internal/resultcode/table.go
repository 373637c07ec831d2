package resultcode

import "net/http"

// Entry describes one code.
type Entry struct {
	Code Code
	// Name is the short identifier used in logs and metrics.
	Name string
	// Meaning explains the code in one sentence.
	Meaning string
	// HTTPStatus is the status that a caller receives.
	HTTPStatus int
	// Execution is the execution outcome unless an Error with the code states another.
	Execution Execution
	// MayRetry tells a caller whether a retry of the same request is safe and may
	// succeed.
	MayRetry bool
	// ExitStatus is the exit status of the command-line client.
	ExitStatus int
}

// statusClientClosedRequest is the customary status for a call whose caller closed
// its connection; net/http has no constant for it.
const statusClientClosedRequest = 499

var entries = []Entry{
	{OK, "ok", "The upstream answered.", http.StatusOK, Run, false, 0},
	{Overloaded, "overloaded", "Shed: the service has no capacity for this priority.", http.StatusServiceUnavailable, NotRun, true, 1},
	{DeadlineInsufficient, "deadline_insufficient", "The remaining time cannot cover the expected wait and service.", http.StatusGatewayTimeout, NotRun, true, 1},
	{Draining, "draining", "The instance is leaving and takes no new work.", http.StatusServiceUnavailable, NotRun, true, 1},
	{NoInstance, "no_instance", "No ready instance of the service is known.", http.StatusServiceUnavailable, NotRun, true, 1},
	{UnknownService, "unknown_service", "No upstream has announced the service.", http.StatusNotFound, NotRun, false, 1},
	{MalformedHeader, "malformed_header", "A Mustardwing header has an invalid value.", http.StatusBadRequest, NotRun, false, 1},
	{HeadersTooLarge, "headers_too_large", "The request headers exceed the limit.", http.StatusRequestHeaderFieldsTooLarge, NotRun, false, 1},
	{BodyTooLarge, "body_too_large", "The declared request body exceeds max_body.", http.StatusRequestEntityTooLarge, NotRun, false, 1},
	{CallerGone, "caller_gone", "The caller went away before the request was run.", statusClientClosedRequest, NotRun, true, 1},
	{KeyInProgress, "key_in_progress", "Another attempt with this key is running; this attempt was not run.", http.StatusConflict, NotRun, true, 1},
	{InvalidKey, "invalid_key", "The idempotency key is not a UUIDv7.", http.StatusBadRequest, NotRun, false, 1},
	{OwnerUnavailable, "owner_unavailable", "No node can prove now that it owns the key; this attempt was not run.", http.StatusServiceUnavailable, NotRun, true, 1},
	{KeyTooOld, "key_too_old", "The key was issued before what the owner can vouch for; this attempt was not run, an earlier one may have been.", http.StatusConflict, NotRun, false, 1},
	{DepthExceeded, "depth_exceeded", "The call chain is deeper than the limit.", http.StatusLoopDetected, NotRun, false, 1},
	{UpstreamUnreachable, "upstream_unreachable", "No connection to the upstream could be made.", http.StatusServiceUnavailable, NotRun, true, 1},
	{UpstreamRefused, "upstream_refused", "The upstream declared that it refused before any work.", http.StatusServiceUnavailable, NotRun, true, 1},
	{UnsupportedProtocol, "unsupported_protocol", "HTTP/1.0 cannot show a truncated body; use HTTP/1.1 or HTTP/2.", http.StatusHTTPVersionNotSupported, NotRun, false, 1},
	{UnknownPriority, "unknown_priority", "The priority is not background, normal, high or critical.", http.StatusBadRequest, NotRun, false, 1},
	{UnknownCredential, "unknown_credential", "No organisation holds the caller's credential.", http.StatusUnauthorized, NotRun, false, 1},
	{QuotaExceeded, "quota_exceeded", "The organisation has used up its quota over all nodes.", http.StatusTooManyRequests, NotRun, true, 1},
	{ParentEnded, "parent_ended", "A nested call without a credential whose parent call this node is not running.", http.StatusServiceUnavailable, NotRun, true, 1},

	{KeyCompleted, "key_completed", "A request with this key was run before; its status is in Mustardwing-Original-Status.", http.StatusConflict, Run, false, 1},

	{ConnectionLost, "connection_lost", "The connection was lost after the request was sent.", http.StatusBadGateway, Unknown, false, 1},
	{DeadlineExceeded, "deadline_exceeded", "The time ran out after the request was sent.", http.StatusGatewayTimeout, Unknown, false, 1},
	{AnswerMismatch, "answer_mismatch", "A response was dropped: it is not valid, or belongs to another request.", http.StatusBadGateway, Unknown, false, 1},
	{KeyUnknown, "key_unknown", "An earlier attempt with this key ended without a known outcome.", http.StatusConflict, Unknown, false, 1},
	{RequestInterrupted, "request_interrupted", "The request body ended early or exceeded its limit after part of it was sent.", http.StatusBadGateway, Unknown, false, 1},

	{SettingsInvalid, "settings_invalid", "The settings are invalid; nothing was written.", http.StatusBadRequest, NotRun, false, 3},
	{SettingsConflict, "settings_conflict", "Somebody else changed the scope first; nothing was written.", http.StatusConflict, NotRun, true, 4},
	{PlatformUnavailable, "platform_unavailable", "The platform's store does not answer.", http.StatusServiceUnavailable, Unknown, true, 5},
	{ScopeNotFound, "scope_not_found", "The scope or field does not exist.", http.StatusNotFound, NotRun, false, 6},
	{WaitTimedOut, "wait_timed_out", "The revision was not in force everywhere in time.", http.StatusGatewayTimeout, Run, true, 7},
	{Usage, "usage", "The command line is invalid.", http.StatusBadRequest, NotRun, false, 2},
	{PlatformMalformed, "platform_malformed", "The platform's store answered with something that cannot be read.", http.StatusBadGateway, Unknown, false, 8},
	{PlatformRateLimited, "platform_rate_limited", "The platform's store refused the call because of its rate limit.", http.StatusTooManyRequests, NotRun, true, 5},

	{Internal, "internal", "An internal error; the log of the node has details.", http.StatusInternalServerError, Unknown, false, 9},
}

var byCode = indexByCode()

func indexByCode() map[Code]Entry {
	index := make(map[Code]Entry, len(entries))
	for _, e := range entries {
		index[e.Code] = e
	}
	return index
}

// Entries returns a copy of the table, in the numerical order of the codes within their
// groups.
func Entries() []Entry {
	return append([]Entry(nil), entries...)
}

// Lookup returns the entry of a code, or that of Internal for a number that is not
// in the table.
func Lookup(c Code) Entry {
	if e, ok := byCode[c]; ok {
		return e
	}
	return byCode[Internal]
}

// String returns the short identifier of the code.
func (c Code) String() string {
	return Lookup(c).Name
}
