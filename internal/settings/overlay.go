package settings

import "math/bits"

// overlay holds the parsed overrides of one scope, to be applied over the values of
// the levels above.
type overlay struct {
	// setFields has bit 1<<id set for each field that the scope overrides. The other
	// fields of values have no meaning.
	setFields uint32
	values    Values
	// match holds the match rules of a kind. apply does not copy them, since no
	// lower level inherits them.
	match []MatchRule
}

func (o *overlay) markSet(id fieldID) {
	o.setFields |= 1 << id
}

// apply copies the overridden fields to v. It runs for every call, so it visits
// only the fields that are set, and copyField uses a switch because calls through
// function values would make v escape to the heap.
func (o *overlay) apply(v *Values) {
	for remaining := o.setFields; remaining != 0; remaining &= remaining - 1 {
		copyField(v, &o.values, fieldID(bits.TrailingZeros32(remaining)))
	}
}

func copyField(to, from *Values, id fieldID) {
	switch id {
	case idPriority:
		to.Priority = from.Priority
	case idIdempotent:
		to.Idempotent = from.Idempotent
	case idTimeout:
		to.Timeout = from.Timeout
	case idRetries:
		to.Retries = from.Retries
	case idMoves:
		to.Moves = from.Moves
	case idHedge:
		to.Hedge = from.Hedge
	case idQueuePerSlot:
		to.QueuePerSlot = from.QueuePerSlot
	case idQueueTimeout:
		to.QueueTimeout = from.QueueTimeout
	case idLongShare:
		to.LongFraction = from.LongFraction
	case idStragglerShare:
		to.StragglerFraction = from.StragglerFraction
	case idLearnedCapacity:
		to.LearnedCapacity = from.LearnedCapacity
	case idRampUp:
		to.RampUp = from.RampUp
	case idMaxBody:
		to.MaxBodyBytes = from.MaxBodyBytes
	case idKeyWindow:
		to.KeyWindow = from.KeyWindow
	case idIsolationLimit:
		to.IsolationLimit = from.IsolationLimit
	}
}
