package router

import (
	"net/http"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// decision is what follows an attempt.
type decision uint8

const (
	// finish returns the attempt's outcome to the caller.
	finish decision = iota
	// move tries another instance after a proven not-run outcome.
	move
	// again repeats an idempotent call whose outcome is a failure.
	again
)

// decide is a pure function of an attempt's outcome.
func decide(o outcome, idempotent bool) decision {
	switch {
	case o.execution() == resultcode.NotRun && anotherMayAccept(o.code()):
		return move
	case idempotent && o.failed():
		return again
	}
	return finish
}

// anotherMayAccept reports whether a refusal concerns the instance rather than
// the call.
func anotherMayAccept(code resultcode.Code) bool {
	switch code {
	case resultcode.Overloaded, resultcode.DeadlineInsufficient, resultcode.Draining, resultcode.NoInstance,
		resultcode.UpstreamUnreachable, resultcode.UpstreamRefused:
		return true
	}
	return false
}

// failedStatus reports whether an upstream's own status is worth a retry.
func failedStatus(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}
