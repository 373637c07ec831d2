package meshnode

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
)

// connectionRefusalLogInterval is the least time between two lines about refused connections, of which
// anybody who reaches the listener may make many.
const connectionRefusalLogInterval = time.Second

// connectionRefusals counts and logs the connections to the peer listener that do not say what they
// carry.
type connectionRefusals struct {
	log     zerolog.Logger
	counter tally.Counter

	mu     sync.Mutex
	logged time.Time
}

func newConnectionRefusals(log zerolog.Logger, scope tally.Scope) *connectionRefusals {
	return &connectionRefusals{log: log, counter: scope.Counter("peer_connections_refused")}
}

func (c *connectionRefusals) note(remoteIP string) {
	c.counter.Inc(1)
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); now.Sub(c.logged) >= connectionRefusalLogInterval {
		c.logged = now
		c.log.Warn().Str("from", remoteIP).Msg("connection to the peer listener refused: it begins with no known preface")
	}
}
