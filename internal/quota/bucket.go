package quota

import "time"

// bucket is a token bucket that a node applies to its own requests.
type bucket struct {
	tokens  float64
	updated time.Time
}

// take takes a token if there is one, after refilling the bucket up to burst.
func (b *bucket) take(now time.Time, perSecond, burst float64) bool {
	b.refill(now, perSecond, burst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last refill. A new bucket is full.
func (b *bucket) refill(now time.Time, perSecond, burst float64) {
	if b.updated.IsZero() {
		b.tokens, b.updated = burst, now
		return
	}
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.tokens += elapsed.Seconds() * perSecond
		b.updated = now
	}
	b.tokens = min(b.tokens, burst)
}
