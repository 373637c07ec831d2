package quota

import (
	"math"
	"time"
)

const (
	// fastDemand and slowDemand are the time constants of the two averages of a demand: one that
	// follows a jump within a few reports, and one that is steady for small numbers.
	fastDemand = 150 * time.Millisecond
	slowDemand = 600 * time.Millisecond
	// demandDeviations is the number of standard deviations by which the fast average must exceed
	// the slow one to be believed.
	demandDeviations = 2
)

// demand estimates the requests per second that callers ask for.
type demand struct {
	fast, slow rate
}

// add counts requests that arrived evenly within a span that ends now. The older of them weigh less
// in the fast average already.
func (d *demand) add(now time.Time, requests float64, span time.Duration) {
	spans := max(0.01, span.Seconds()/fastDemand.Seconds())
	d.fast.add(now, requests*(1-math.Exp(-spans))/spans, fastDemand)
	d.slow.add(now, requests, slowDemand)
}

// perSecond returns the slow average, or the lower confidence bound of the fast one if it is higher.
func (d *demand) perSecond(now time.Time) float64 {
	fast := d.fast.perSecond(now, fastDemand)
	deviation := math.Sqrt(fast / (2 * fastDemand.Seconds()))
	return max(d.slow.perSecond(now, slowDemand), fast-demandDeviations*deviation)
}
