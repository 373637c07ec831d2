package idempotency

import "time"

// Waits after a failed call to the platform. The wait doubles and is jittered.
// A writer with an open proposal returns sooner, since its caps refuse calls.
const (
	minPlatformBackoff = time.Second
	maxPlatformBackoff = 30 * time.Second
	maxWriterBackoff   = 5 * time.Second
)

// platformBackoff spaces this node's calls to a platform that fails.
type platformBackoff struct {
	wait time.Duration
	// next is when the next call may be made, in unix milliseconds.
	next int64
}

func (p *platformBackoff) ready(now int64) bool {
	return now >= p.next
}

func (p *platformBackoff) succeeded() {
	*p = platformBackoff{}
}

// failed sets the next call at a random time up to the wait, which doubles.
func (p *platformBackoff) failed(now int64, bound time.Duration, random float64) {
	p.wait = max(minPlatformBackoff, min(2*p.wait, bound))
	jittered := p.wait/2 + time.Duration(random*float64(p.wait)/2)
	p.next = now + jittered.Milliseconds()
}
