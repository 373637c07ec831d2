package admission

import "time"

// Config holds the limits of one upstream instance.
type Config struct {
	// Slots is the number of calls that the upstream runs at the same time.
	Slots int
	// QueuePerSlot, QueueTimeout and LongShare are settings of the same names.
	QueuePerSlot float64
	QueueTimeout time.Duration
	LongShare    float64
	// Disabled admits every call at once; it is the baseline for measurements.
	Disabled bool
}

// queueLimit is the number of calls that may wait.
func (c Config) queueLimit() int {
	return int(c.QueuePerSlot * float64(c.Slots))
}

// longLimit is the number of slots that long kinds may hold together. It is
// never zero: a long call must be able to run.
func (c Config) longLimit() int {
	return max(1, int(c.LongShare*float64(c.Slots)))
}

// longQueueLimit is the part of the queue that long kinds may fill, so that
// waiting long calls do not leave the short ones without a queue.
func (c Config) longQueueLimit() int {
	return min(c.queueLimit(), max(1, int(c.LongShare*float64(c.queueLimit()))))
}
