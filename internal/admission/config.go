package admission

import "time"

// Config holds the limits of one upstream instance.
type Config struct {
	// Slots is the number of calls that the upstream runs at the same time.
	Slots int
	// QueuePerSlot, QueueTimeout and LongShare are the settings of the same names.
	QueuePerSlot float64
	QueueTimeout time.Duration
	LongShare    float64
	// Disabled admits every call at once. It is the baseline for measurements.
	Disabled bool
}

// queueLimit is the number of calls that may be queued.
func (c Config) queueLimit() int {
	return int(c.QueuePerSlot * float64(c.Slots))
}

// longLimit is the number of slots that long kinds may hold together. It is
// never zero: a long call must be able to run.
func (c Config) longLimit() int {
	return max(1, int(c.LongShare*float64(c.Slots)))
}

// longQueueLimit is the number of calls of long kinds that may be queued, so that
// they leave places in the queue for calls of short kinds.
func (c Config) longQueueLimit() int {
	return min(c.queueLimit(), max(1, int(c.LongShare*float64(c.queueLimit()))))
}
