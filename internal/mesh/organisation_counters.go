package mesh

import (
	"strconv"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	// maxCountedOrganisations bounds the organisations with counters of their own, and with them
	// the series that a node exports.
	maxCountedOrganisations = 200
	// otherOrganisations is the label of all organisations beyond the bound. No organisation has
	// this name, since names have no spaces.
	otherOrganisations = "all others"
)

// organisationCounters counts the calls of each organisation and those refused. It is safe for
// concurrent use.
type organisationCounters struct {
	scope tally.Scope

	mu     sync.RWMutex
	byName map[string]*organisationCounter
	other  *organisationCounter
}

// organisationCounter holds the counters of one organisation.
type organisationCounter struct {
	scope tally.Scope
	calls tally.Counter
}

func newOrganisationCounters(scope tally.Scope) *organisationCounters {
	c := &organisationCounters{scope: scope, byName: make(map[string]*organisationCounter)}
	c.other = c.newCounter(otherOrganisations)
	return c
}

func (c *organisationCounters) newCounter(name string) *organisationCounter {
	scope := c.scope.Tagged(map[string]string{"organisation": name})
	return &organisationCounter{scope: scope, calls: scope.Counter("organisation_calls")}
}

// countCall counts a call whose caller has proved an organisation.
func (c *organisationCounters) countCall(name string) {
	c.counter(name).calls.Inc(1)
}

// countRefusal counts such a call that was refused.
func (c *organisationCounters) countRefusal(name string, code resultcode.Code) {
	c.counter(name).scope.Tagged(map[string]string{"code": strconv.Itoa(int(code))}).Counter("organisation_refusals").Inc(1)
}

// counter returns the counters of an organisation.
func (c *organisationCounters) counter(name string) *organisationCounter {
	c.mu.RLock()
	counter, known := c.byName[name]
	full := len(c.byName) >= maxCountedOrganisations
	c.mu.RUnlock()
	if known {
		return counter
	}
	if full {
		return c.other
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if counter := c.byName[name]; counter != nil {
		return counter
	}
	if len(c.byName) >= maxCountedOrganisations {
		return c.other
	}
	counter = c.newCounter(name)
	c.byName[name] = counter
	return counter
}
