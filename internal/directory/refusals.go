package directory

import (
	"sync"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

const (
	// maxLoggedRefusals bounds the refusals that are remembered as logged.
	maxLoggedRefusals = 256
	// maxDetailBytes bounds the detail of a refusal in a log line. It may quote the entry.
	maxDetailBytes = 300
)

// Refusals counts the refused entries by reason and logs each writer once for each reason. It
// is safe for concurrent use.
type Refusals struct {
	log   zerolog.Logger
	scope tally.Scope

	mu     sync.Mutex
	logged map[refusal]struct{}
}

// refusal identifies what is logged once. The writer is the key of an entry in the store, or
// the node that an entry names.
type refusal struct {
	writer string
	reason Reason
}

// NewRefusals returns a Refusals that has logged nothing.
func NewRefusals(log zerolog.Logger, scope tally.Scope) *Refusals {
	return &Refusals{log: log, scope: scope, logged: make(map[refusal]struct{})}
}

// Note counts a refused entry, and logs it unless its writer was logged for this reason before
// or too many others were.
func (r *Refusals) Note(writer string, err error) {
	reason := ReasonOf(err)
	r.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("entries_refused").Inc(1)
	writer = writer[:min(len(writer), maxNameBytes)]
	key := refusal{writer, reason}
	r.mu.Lock()
	_, known := r.logged[key]
	logs := !known && len(r.logged) < maxLoggedRefusals
	if logs {
		r.logged[key] = struct{}{}
	}
	last := logs && len(r.logged) == maxLoggedRefusals
	r.mu.Unlock()
	if !logs {
		return
	}
	detail := err.Error()
	r.log.Warn().Str("entry", writer).Str("reason", string(reason)).Str("detail", detail[:min(len(detail), maxDetailBytes)]).
		Bool("last_logged", last).Msg("directory entry refused; the others stay in force")
}
