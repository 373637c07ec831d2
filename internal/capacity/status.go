package capacity

import "time"

// States of an estimator.
const (
	StateHolding    = "holding"
	StateSuspecting = "suspecting"
	StateProbing    = "probing"
	StateSuspended  = "suspended"
)

// Change is a change of the limit.
type Change struct {
	At     time.Time `json:"at"`
	From   int       `json:"from"`
	To     int       `json:"to"`
	Reason string    `json:"reason"`
}

// Status is what is known about an instance, for operators.
type Status struct {
	// Limit is the limit in force, Slots the announced number of slots.
	Limit int `json:"limit"`
	Slots int `json:"slots"`
	// State is one of the constants; it is suspended while a rate limit is in force.
	State string `json:"state"`
	// Calls is the number of recent calls that the limit rests on.
	Calls int `json:"calls"`
	// LastBound is when the limit last bounded the calls.
	LastBound time.Time `json:"last_bound"`
	// LastChange is the latest change that was kept, nil before the first one.
	LastChange *Change `json:"last_change,omitempty"`
}

// Status returns what is known now.
func (e *Estimator) Status() Status {
	s := Status{Limit: e.Limit(), Slots: e.slots, Calls: int(e.baseline.sums().calls), LastBound: e.boundAt}
	s.State = [...]string{holding: StateHolding, suspecting: StateSuspecting, probing: StateProbing}[e.phase]
	if e.suspended {
		s.State = StateSuspended
	}
	if !e.change.At.IsZero() {
		change := e.change
		s.LastChange = &change
	}
	return s
}
