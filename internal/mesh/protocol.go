// Package mesh routes calls from instance to instance: Outbound sends the calls of the
// local instance to the nodes of other instances, and Upstream passes the calls of peer
// nodes to the local upstream.
package mesh

import (
	"net/http"
	"time"

	"github.com/mustardwing/mustardwing/internal/h1"
)

// CallInfo is what a caller states about a call.
type CallInfo struct {
	// ID is the id that the caller gave to its attempt. All attempts that the node
	// makes for that attempt of the caller carry the same id.
	ID string
	// Parent is the id of the parent call that ID names, empty when ID names none.
	// The call counts as nested only while the local upstream runs that parent call.
	Parent string
	// Timeout is how long the caller waits; zero when the caller sets none.
	Timeout time.Duration
	// Credential is what the caller shows to prove its organisation, empty when it shows none or
	// one that cannot be read.
	Credential string
}

// UpstreamInfo is the metadata that an upstream receives with a call.
type UpstreamInfo struct {
	// Timeout is the time left until the deadline of the call.
	Timeout time.Duration
	// Instance is the only instance that may run the call.
	Instance string
	// Caller is the service of the instance that made the call.
	Caller string
	// Organisation is the one that the caller has proved, empty when there is none.
	Organisation string
}

// UpstreamOutcome is what an upstream's response states in addition to its
// status.
type UpstreamOutcome struct {
	// NotRun is set when the upstream states that it did not run the call.
	NotRun bool
	// OtherInstance is set when another instance now has the address.
	OtherInstance bool
	// Stamped is set when the response carries the upstream's stamp, the mark by which an
	// upstream shows that it produced the response itself.
	Stamped bool
}

// Notice is what an upstream states about itself in the header of each response.
type Notice struct {
	// RateLimit is the number of calls per second that the upstream takes from all nodes
	// together, nil when it states no limit that can be read.
	RateLimit *float64
	// UnreadableRateLimit is set when the upstream states a limit that cannot be read.
	UnreadableRateLimit bool
	// Leaving is set when the upstream states that it is about to end.
	Leaving bool
}

// Protocol translates the headers that callers and upstreams use.
type Protocol interface {
	// DecodeCall reads the caller's metadata and removes it, except for what
	// RemoveOrganisation removes.
	DecodeCall(h http.Header) CallInfo
	// RemoveOrganisation removes the caller's credential and what it claims about its
	// organisation. It is called only if callers need credentials; otherwise these headers are the
	// caller's own.
	RemoveOrganisation(h http.Header)
	// EncodeCall sets the headers that the upstream expects.
	EncodeCall(h http.Header, info UpstreamInfo)
	// DecodeOutcome reads what the upstream's response states about the call.
	DecodeOutcome(r *h1.Response) UpstreamOutcome
	// CheckResponse returns an error for an upstream's response, without its body, whose header
	// cannot be whole or contradicts itself. What it states is not to be believed.
	CheckResponse(request *h1.Request, response *h1.Response) error
	// DecodeNotice reads what an upstream states about itself.
	DecodeNotice(h http.Header) Notice
	// DecodeHealth returns the id of the instance that has responded to a health check, empty
	// unless the instance states that it accepts calls.
	DecodeHealth(r *h1.Response) string
	// SameCall reports whether an upstream's response belongs to a request. A late
	// response to an earlier request on the connection does not.
	SameCall(request *h1.Request, response *h1.Response) bool
	// SetID sets the id of the call on a response that this node makes itself.
	SetID(h http.Header, id string)
}
