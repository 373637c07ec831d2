package mesh

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// refusalLogInterval is the least time between two log lines of one cause.
	refusalLogInterval = 10 * time.Second
	// maxRefusalCauses bounds the causes that are told apart within an interval. All others share
	// one line.
	maxRefusalCauses = 64
)

// refusalCause identifies refusals that share a log line. The organisation is empty for a caller
// that has proved none.
type refusalCause struct {
	code         resultcode.Code
	organisation string
}

// loggedRefusals counts the refusals of one cause since its last log line.
type loggedRefusals struct {
	loggedAt   time.Time
	suppressed int
}

// refusalLog logs the refusals that callers cause, unknown credentials and exceeded quotas. It
// writes one line for each cause and interval, however many requests there are. It is safe for
// concurrent use.
type refusalLog struct {
	log zerolog.Logger

	mu     sync.Mutex
	causes map[refusalCause]*loggedRefusals
}

func newRefusalLog(log zerolog.Logger) *refusalLog {
	return &refusalLog{log: log, causes: make(map[refusalCause]*loggedRefusals)}
}

// note counts a refusal, and logs it if its cause was not logged recently.
func (l *refusalLog) note(now time.Time, o *outboundCall, failure *resultcode.Error) {
	suppressed, due := l.due(now, refusalCause{failure.Code, o.organisationName()})
	if !due {
		return
	}
	l.log.Info().Str("id", o.info.ID).Str("kind", o.route.Name).Int("code", int(failure.Code)).Str("organisation", o.organisationName()).
		Str("from", o.request.RemoteIP).Uint64("config", o.configVersion).Int("suppressed", suppressed).Str("detail", failure.Detail).Msg("call refused")
}

// due reports whether a line for a cause is due, and how many were suppressed since the last one.
func (l *refusalLog) due(now time.Time, cause refusalCause) (suppressed int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.causes[cause]
	if c == nil {
		if len(l.causes) >= maxRefusalCauses {
			l.expire(now)
		}
		if len(l.causes) >= maxRefusalCauses {
			cause = refusalCause{code: cause.code, organisation: otherOrganisations}
		}
		if c = l.causes[cause]; c == nil {
			c = &loggedRefusals{}
			l.causes[cause] = c
		}
	}
	if now.Sub(c.loggedAt) < refusalLogInterval {
		c.suppressed++
		return 0, false
	}
	suppressed = c.suppressed
	c.loggedAt, c.suppressed = now, 0
	return suppressed, true
}

// expire forgets the causes without a recent refusal. mu must be held.
func (l *refusalLog) expire(now time.Time) {
	for cause, c := range l.causes {
		if now.Sub(c.loggedAt) < refusalLogInterval {
			continue
		}
		if c.suppressed > 0 {
			l.log.Info().Int("code", int(cause.code)).Str("organisation", cause.organisation).Int("suppressed", c.suppressed).
				Msg("calls refused since the last line of this cause")
		}
		delete(l.causes, cause)
	}
}
