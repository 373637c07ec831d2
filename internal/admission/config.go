package admission

import "time"

// Config holds the limits of one upstream instance. A kind of call is long when its
// service time is several times that of the shortest kind; see kindStats.isLong.
type Config struct {
	// Slots is the number of calls that the upstream runs at the same time.
	Slots int
	// QueuePerSlot is the number of calls that may be queued for each slot; zero
	// disables the queue.
	QueuePerSlot float64
	// QueueTimeout is the longest time that a call may spend in the queue, unless
	// KindQueueTimeout is set, which returns that time for a kind.
	QueueTimeout     time.Duration
	KindQueueTimeout func(kind string) time.Duration
	// LongShare is the fraction of the slots and of the queue that calls of long kinds
	// may hold together.
	LongShare float64
	// LearnCapacity lowers the limit on the running calls below Slots as far as that loses no
	// throughput; see internal/capacity.
	LearnCapacity bool
	// Disabled admits every call immediately, whatever the limits. It is part of the
	// policy without overload control, which benchmarks use as the baseline to compare with.
	Disabled bool
}

// queueLimit is the number of calls that may be queued.
func (c Config) queueLimit() int {
	return int(c.QueuePerSlot * float64(c.Slots))
}

// queueTimeout is the longest time that a call of a kind may spend in the queue.
func (c Config) queueTimeout(kind string) time.Duration {
	if c.KindQueueTimeout == nil {
		return c.QueueTimeout
	}
	return c.KindQueueTimeout(kind)
}

// longSlotLimit is the number of slots that long kinds may hold together. It is
// never zero: a long call must be able to run.
func (c Config) longSlotLimit() int {
	return max(1, int(c.LongShare*float64(c.Slots)))
}

// longQueueLimit is the number of calls of long kinds that may be queued, so that
// they leave places in the queue for calls of short kinds.
func (c Config) longQueueLimit() int {
	return min(c.queueLimit(), max(1, int(c.LongShare*float64(c.queueLimit()))))
}
