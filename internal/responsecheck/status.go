package responsecheck

import (
	"net/http"
	"strconv"
)

// lowestStatus and highestStatus are the bounds of RFC 9110 on a status.
const (
	lowestStatus  = 100
	highestStatus = 599
)

// Status returns an Error unless a response, or an interim one, to a request that asks for no change of
// protocol can have the status.
func Status(status int) error {
	if status < lowestStatus || status > highestStatus || status == http.StatusSwitchingProtocols {
		return Error{Reason: InvalidStatus, Detail: "status " + strconv.Itoa(status)}
	}
	return nil
}

// FinalStatus returns an Error unless a response other than an interim one can have the status.
func FinalStatus(status int) error {
	if status < http.StatusOK {
		return Error{Reason: InvalidStatus, Detail: "status " + strconv.Itoa(status) + " of a final response"}
	}
	return Status(status)
}
