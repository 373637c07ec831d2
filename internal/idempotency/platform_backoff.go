package idempotency

import "time"

// Bounds of the wait after a failed call to the platform, before jitter. The wait doubles
// with each failure; jitter shortens it by up to half.
const (
	minPlatformBackoff = time.Second
	maxPlatformBackoff = 30 * time.Second
	// maxWriterBackoff applies while a proposal is pending or a change of the
	// record is required: a pending proposal limits leases and grants, so calls are
	// refused until it is resolved.
	maxWriterBackoff = 5 * time.Second
)

// platformBackoff spaces this node's calls to the platform while they fail, or while they
// succeed without letting a member prove its ownership.
type platformBackoff struct {
	// wait is the latest wait before jitter, or zero after a successful call.
	wait time.Duration
	// next is when the next call may be made, in unix milliseconds.
	next int64
}

func (p *platformBackoff) ready(now int64) bool {
	return now >= p.next
}

func (p *platformBackoff) reset() {
	*p = platformBackoff{}
}

// increase doubles the wait, up to bound, and sets the next call at a random time
// in the second half of it. The random number is in [0,1).
func (p *platformBackoff) increase(now int64, bound time.Duration, random float64) {
	p.wait = max(minPlatformBackoff, min(2*p.wait, bound))
	jittered := p.wait/2 + time.Duration(random*float64(p.wait)/2)
	p.next = now + jittered.Milliseconds()
}
