package idempotency

import (
	"fmt"
	"sync"

	"github.com/google/uuid"
)

// observer records every execution in the fleet and the first violation, of at-most-once
// execution or of another invariant.
type observer struct {
	mu sync.Mutex
	// holdingAttempts maps each key to the latest permitted attempt that was not released.
	holdingAttempts map[uuid.UUID]string
	// executed is the number of permitted attempts that were not released.
	executed int
	// refused counts the refused attempts by result code.
	refused map[string]int
	// failure is the first violation, or nil.
	failure error
}

func newObserver() *observer {
	return &observer{holdingAttempts: make(map[uuid.UUID]string), refused: make(map[string]int)}
}

// permitted is called when an attempt gets the permission to run.
func (o *observer) permitted(key uuid.UUID, by string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if other, held := o.holdingAttempts[key]; held && o.failure == nil {
		o.failure = fmt.Errorf("key %s (issued %d) was granted to %s while %s held it", key, issuedAt(key), by, other)
	}
	o.holdingAttempts[key] = by
	o.executed++
}

// released is called when a permitted attempt was not run.
func (o *observer) released(key uuid.UUID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.holdingAttempts, key)
	o.executed--
}

// refuse is called when an attempt is refused with a result code.
func (o *observer) refuse(code string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused[code]++
}

// violation records a violated invariant that a Manager detected, unless there is an
// earlier failure.
func (o *observer) violation(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failure == nil {
		o.failure = err
	}
}

// failed returns the first violation, or nil.
func (o *observer) failed() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failure
}
