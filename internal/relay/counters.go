package relay

import (
	"strconv"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Counters counts calls by result code.
type Counters struct {
	scope tally.Scope
	name  string
	// byCode maps a resultcode.Code to its tally.Counter.
	byCode sync.Map
}

// NewCounters returns counters with a metric name under a scope; a nil scope
// discards the counts.
func NewCounters(scope tally.Scope, name string) *Counters {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &Counters{scope: scope, name: name}
}

// Count counts one call that ended with a code.
func (c *Counters) Count(code resultcode.Code) {
	counter, ok := c.byCode.Load(code)
	if !ok {
		tagged := c.scope.Tagged(map[string]string{"code": strconv.Itoa(int(code)), "name": code.String()})
		counter, _ = c.byCode.LoadOrStore(code, tagged.Counter(c.name))
	}
	counter.(tally.Counter).Inc(1)
}
