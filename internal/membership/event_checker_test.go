package membership_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/membership"
)

// eventChecker checks the membership events that one process emits against the fleet's
// ended processes.
type eventChecker struct {
	fleet *fleet
	// mu guards the fields below.
	mu sync.Mutex
	// reportedEnded holds ended processes that this process reported as dead or left.
	reportedEnded map[processKey]bool
	// falsePositives counts the reports of running processes as dead.
	falsePositives int
	// violation describes the last violated invariant, or is empty.
	violation string
	// reports holds a line for each event about a process, for the text of violation.
	reports map[processKey][]string
}

func newEventChecker(f *fleet) *eventChecker {
	return &eventChecker{fleet: f, reportedEnded: map[processKey]bool{}, reports: map[processKey][]string{}}
}

// observe records an event. It records a violation if an ended process becomes live again
// after this process reported its end, or if an incarnation decreases.
func (c *eventChecker) observe(e membership.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := processKeyOf(e.Current)
	c.fleet.mu.Lock()
	_, ended := c.fleet.ended[p]
	c.fleet.mu.Unlock()
	c.reports[p] = append(c.reports[p], fmt.Sprintf("%s version %d %s (ended: %t)",
		time.Now().Format("15:04:05.000"), e.Current.Version, e.Current.State, ended))
	switch e.Current.State {
	case membership.Dead, membership.Left:
		if ended {
			c.reportedEnded[p] = true
		} else if e.Current.State == membership.Dead {
			c.falsePositives++
		}
	default:
		if c.reportedEnded[p] {
			c.violation = fmt.Sprintf("%s is %s again after its end was reported; reports: %s",
				p.id, e.Current.State, strings.Join(c.reports[p], ", "))
		}
	}
	if e.Previous != nil && e.Previous.Incarnation > e.Current.Incarnation {
		c.violation = fmt.Sprintf("%s went back from incarnation %d to %d", p.id, e.Previous.Incarnation, e.Current.Incarnation)
	}
}

func (c *eventChecker) result() (falsePositives int, violation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.falsePositives, c.violation
}
