// Package resultcode defines the numbered outcomes that Mustardwing reports to
// callers and operators. The table in docs/result-codes.md lists the same codes.
package resultcode

// Code is a numbered outcome. The hundreds digit groups codes by what is known
// about the execution: 1xx not run, 2xx run, 3xx unknown, 4xx operator commands,
// 5xx internal errors. Zero means that the response is that of the upstream.
type Code uint16

// OK, and the codes of calls that were not run.
const (
	OK                   Code = 0
	Overloaded           Code = 101
	DeadlineInsufficient Code = 102
	Draining             Code = 103
	NoInstance           Code = 104
	UnknownService       Code = 105
	MalformedHeader      Code = 106
	HeadersTooLarge      Code = 107
	BodyTooLarge         Code = 108
	CallerGone           Code = 109
	KeyInProgress        Code = 110
	InvalidKey           Code = 111
	OwnerUnavailable     Code = 112
	KeyTooOld            Code = 113
	DepthExceeded        Code = 114
	UpstreamUnreachable  Code = 115
	UpstreamRefused      Code = 116
	UnsupportedProtocol  Code = 117
	UnknownPriority      Code = 118
	UnknownCredential    Code = 119
	QuotaExceeded        Code = 120
	ParentEnded          Code = 121
)

// Codes of calls that were run.
const (
	KeyCompleted Code = 201
)

// Codes of calls whose execution is unknown.
const (
	ConnectionLost     Code = 301
	DeadlineExceeded   Code = 302
	AnswerMismatch     Code = 303
	KeyUnknown         Code = 304
	RequestInterrupted Code = 305
)

// Codes of operator commands.
const (
	SettingsInvalid     Code = 401
	SettingsConflict    Code = 402
	PlatformUnavailable Code = 403
	ScopeNotFound       Code = 404
	WaitTimedOut        Code = 405
	Usage               Code = 406
	PlatformMalformed   Code = 407
	PlatformRateLimited Code = 408
)

// Codes of internal errors.
const (
	Internal Code = 501
)
