package responsecheck

import (
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// Reporter logs and counts unusable responses.
type Reporter struct {
	Log   zerolog.Logger
	Scope tally.Scope
}

// Report logs and counts the response to the call with the given id if err wraps an Error.
func (r Reporter) Report(err error, id, source string) {
	var unusable Error
	if !errors.As(err, &unusable) {
		return
	}
	r.Scope.Tagged(map[string]string{"reason": string(unusable.Reason)}).Counter("unusable_responses").Inc(1)
	r.Log.Info().Str("id", id).Str("from", source).Str("reason", string(unusable.Reason)).Str("detail", unusable.Detail).Msg("response not used")
}
