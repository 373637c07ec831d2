package idempotency

import "time"

// Waits after a failed call to the platform. The wait doubles and is jittered.
// A writer with an open proposal returns sooner, since its caps refuse calls.
const (
	minPlatformWait = time.Second
	maxPlatformWait = 30 * time.Second
	maxWriterWait   = 5 * time.Second
)

// platformPause spaces this node's calls to a platform that fails.
type platformPause struct {
	wait time.Duration
	// next is when the next call may be made, in unix milliseconds.
	next int64
}

func (p *platformPause) ready(now int64) bool {
	return now >= p.next
}

func (p *platformPause) succeeded() {
	*p = platformPause{}
}

// failed sets the next call at a random time up to the wait, which doubles.
func (p *platformPause) failed(now int64, bound time.Duration, random float64) {
	p.wait = max(minPlatformWait, min(2*p.wait, bound))
	jittered := p.wait/2 + time.Duration(random*float64(p.wait)/2)
	p.next = now + jittered.Milliseconds()
}
