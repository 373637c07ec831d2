package settings

import "math/bits"

// overlay holds the fields that one scope gives, ready to be laid over the
// values of the levels above.
type overlay struct {
	// given has the bit of each field that the scope gives.
	given  uint32
	values Values
	match  []MatchRule
}

func (o *overlay) give(id fieldID) {
	o.given |= 1 << id
}

// apply is on the path of each call. It visits only the given fields, and the
// switch keeps v off the heap, which calls through function values would not.
func (o *overlay) apply(v *Values) {
	for left := o.given; left != 0; left &= left - 1 {
		copyField(v, &o.values, fieldID(bits.TrailingZeros32(left)))
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
