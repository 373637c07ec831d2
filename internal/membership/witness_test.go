package membership_test

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/membership"
)

// witness checks the events of one process.
type witness struct {
	fleet *fleet
	mu    sync.Mutex
	// buried holds processes that had ended when this process reported it.
	buried map[process]bool
	// mistakes counts running processes reported dead.
	mistakes int
	fault    string
	// reports holds what was reported of each process, for the message of a fault.
	reports map[process][]string
}

func newWitness(f *fleet) *witness {
	return &witness{fleet: f, buried: map[process]bool{}, reports: map[process][]string{}}
}

func (w *witness) observe(e membership.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := processOf(e.Current)
	w.fleet.mu.Lock()
	_, ended := w.fleet.ended[p]
	w.fleet.mu.Unlock()
	w.reports[p] = append(w.reports[p], fmt.Sprintf("%s version %d %s (ended: %t)",
		time.Now().Format("15:04:05.000"), e.Current.Version, e.Current.State, ended))
	switch e.Current.State {
	case membership.Dead, membership.Left:
		if ended {
			w.buried[p] = true
		} else if e.Current.State == membership.Dead {
			w.mistakes++
		}
	default:
		if w.buried[p] {
			w.fault = fmt.Sprintf("%s is %s again after it was known to have ended; reports: %s",
				p.id, e.Current.State, strings.Join(w.reports[p], ", "))
		}
	}
	if e.Previous != nil && e.Previous.Incarnation > e.Current.Incarnation {
		w.fault = fmt.Sprintf("%s fell from incarnation %d to %d", p.id, e.Previous.Incarnation, e.Current.Incarnation)
	}
}

func (w *witness) result() (mistakes int, fault string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mistakes, w.fault
}
