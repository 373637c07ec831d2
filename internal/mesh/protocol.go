package mesh

import (
	"net/http"
	"time"

	"github.com/mustardwing/mustardwing/internal/h1"
)

// CallInfo is what a caller says about a call.
type CallInfo struct {
	// ID names one attempt of the caller.
	ID string
	// Parent is the id of the call for which an upstream may have made this one,
	// empty when the id names none.
	Parent string
	// Timeout is how long the caller waits; zero when it does not say.
	Timeout time.Duration
}

// UpstreamInfo is what an upstream is told about a call.
type UpstreamInfo struct {
	Timeout time.Duration
	// Instance is the only instance that may run the call.
	Instance string
	// Caller is the service on the machine where the call began.
	Caller string
}

// UpstreamOutcome is what an upstream's response says besides its status.
type UpstreamOutcome struct {
	// NotRun is set when the upstream states that it did not run the call.
	NotRun bool
	// OtherInstance is set when another instance has the address.
	OtherInstance bool
	// Stamped is set when the response carries the upstream's own mark.
	Stamped bool
}

// Protocol translates the headers that callers and upstreams use.
type Protocol interface {
	// DecodeCall reads and removes what the caller says.
	DecodeCall(h http.Header) CallInfo
	// EncodeCall sets what the upstream expects.
	EncodeCall(h http.Header, info UpstreamInfo)
	DecodeOutcome(r *h1.Response) UpstreamOutcome
	// SameCall says whether an upstream's response belongs to a request.
	SameCall(request *h1.Request, response *h1.Response) bool
	// SetID names the call on a response of this node's own.
	SetID(h http.Header, id string)
}
