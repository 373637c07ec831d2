package relay

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Failure is the body of a response that carries a result code.
type Failure struct {
	Code resultcode.Code `json:"code"`
	// Name is the name of Code, Run that of the execution outcome.
	Name   string `json:"name"`
	Run    string `json:"run"`
	Detail string `json:"detail"`
}

// OriginalStatus is implemented by errors with code KeyCompleted that know the
// HTTP status of the execution that completed.
type OriginalStatus interface {
	OriginalStatus() int
}

// WriteFailure sends a response with a result code, and with the status of the
// completed execution if failure or an error that it wraps knows it.
func WriteFailure(w http.ResponseWriter, failure *resultcode.Error) {
	h := w.Header()
	h[call.HeaderCode] = []string{strconv.Itoa(int(failure.Code))}
	h[call.HeaderRun] = []string{failure.Execution.String()}
	h["Content-Type"] = []string{"application/json"}
	var original OriginalStatus
	if errors.As(failure, &original) {
		h[call.HeaderOriginalStatus] = []string{strconv.Itoa(original.OriginalStatus())}
	}
	body, err := json.Marshal(Failure{failure.Code, failure.Code.String(), failure.Execution.String(), failure.Detail})
	if err != nil {
		body = nil
	}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	w.WriteHeader(resultcode.Lookup(failure.Code).HTTPStatus)
	// A failed write means that the receiver disconnected, so there is nobody to
	// report it to.
	_, _ = w.Write(body)
}
