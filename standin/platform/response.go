package platform

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	store "github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// maxBody leaves space for the largest value in base64 and the rest of the request.
const maxBody = 2 * store.MaxValueBytes

// malformedBody is truncated JSON followed by bytes that are not valid UTF-8.
const malformedBody = "{\"version\": 12, \"obj\xff\xfe"

// decode decodes the request body into value. On failure it responds with an error status
// and returns false.
func decode(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "the body is too large", http.StatusRequestEntityTooLarge)
		return false
	}
	if err := json.Unmarshal(body, value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func codeOf(err error) resultcode.Code {
	if err == nil {
		return resultcode.OK
	}
	return resultcode.From(err).Code
}

// respond writes value, or the status that corresponds to err; a conflict has value as its
// body. When the response is to be undecodable, it writes malformedBody with status 200;
// when it is to be lost, it closes the connection.
func respond(w http.ResponseWriter, value any, err error) {
	if errors.Is(err, platformtest.ErrResponseLost) {
		// Closes the connection without a response.
		panic(http.ErrAbortHandler)
	}
	if errors.Is(err, store.ErrCompacted) {
		http.Error(w, err.Error(), http.StatusGone)
		return
	}
	switch codeOf(err) {
	case resultcode.OK:
		writeJSON(w, http.StatusOK, value)
	case resultcode.ScopeNotFound:
		http.Error(w, err.Error(), http.StatusNotFound)
	case resultcode.SettingsConflict:
		writeJSON(w, http.StatusConflict, value)
	case resultcode.SettingsInvalid:
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case resultcode.PlatformRateLimited:
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case resultcode.PlatformMalformed:
		_, _ = io.WriteString(w, malformedBody)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
