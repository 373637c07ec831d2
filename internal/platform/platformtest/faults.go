package platformtest

import "time"

// Faults are the failures that a Store injects. The zero value injects none.
type Faults struct {
	// Outage fails every call and ends waiting watches.
	Outage bool `json:"outage"`
	// DelayMs is added to every call before it takes effect.
	DelayMs int `json:"delay_ms"`
	// ReadsPerSecond and WritesPerSecond limit the calls; zero means no limit.
	// A watch counts as one read, however long it waits.
	ReadsPerSecond  float64 `json:"reads_per_second"`
	WritesPerSecond float64 `json:"writes_per_second"`
	// LostResponseFraction is, of the writes that take effect at once, the fraction, 0 to
	// 1, whose response is lost.
	LostResponseFraction float64 `json:"lost_answer_share"`
	// LateWriteFraction is the fraction of writes, 0 to 1, that fail for the writer
	// and that the store applies, if their condition then holds, LateWriteMs later.
	LateWriteFraction float64 `json:"late_write_share"`
	LateWriteMs       int     `json:"late_write_ms"`
	// GarbageFraction is, of the calls that succeed, the fraction, 0 to 1, whose response
	// cannot be decoded; a write among them takes effect. A watch that ends without a
	// change is not affected.
	GarbageFraction float64 `json:"garbage_share"`
}

func (f Faults) delay() time.Duration {
	return time.Duration(f.DelayMs) * time.Millisecond
}

func (f Faults) lateWriteDelay() time.Duration {
	return time.Duration(f.LateWriteMs) * time.Millisecond
}
