package bench

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/standin/loadgen"
)

const (
	calm          = 2 * time.Second
	surge         = 3 * time.Second
	after         = 8 * time.Second
	normalShare   = 0.5
	surgeFactor   = 6.0 // of the normal load: three times the capacity
	slowFactor    = 3.0
	recoveredPart = 0.95
	// steadyBuckets is how many buckets in a row count as recovered.
	steadyBuckets = 5
	crestFactor   = 3.0
)

// recovery measures the time from the end of a surge, during which the last
// service of the chain was slowed, until goodput is back to normal.
func recovery(ctx context.Context, r *Run) error {
	services := r.Fleet.Deployment.Services
	deep := services[len(services)-1].Name
	changed := make(chan error, 1)
	go func() {
		time.Sleep(calm)
		err := r.setSlow(deep, slowFactor)
		time.Sleep(surge)
		if restoreErr := r.setSlow(deep, 1); err == nil {
			err = restoreErr
		}
		changed <- err
	}()
	result, err := r.load(ctx, r.mixed(normalShare), []loadgen.Phase{
		{Duration: calm, Factor: 1}, {Duration: surge, Factor: surgeFactor}, {Duration: after, Factor: 1},
	}, hardRetries)
	if err != nil {
		return err
	}
	if err := <-changed; err != nil {
		return err
	}
	done := sum(result.Classes[critical].Timeline, result.Classes[normal].Timeline)
	r.Metrics["recovery_s"] = recoveryTime(done, normalShare*r.Capacity).Seconds()
	return nil
}

// recoveryTime returns the time after the surge at which steadyBuckets in a
// row reach the normal goodput, or the whole time observed.
func recoveryTime(timeline []int64, rate float64) time.Duration {
	want := int64(recoveredPart * rate * bucket.Seconds() * steadyBuckets)
	first := int((calm + surge) / bucket)
	last := int((calm + surge + after) / bucket)
	for i := first; i+steadyBuckets <= last; i++ {
		if window(timeline, time.Duration(i)*bucket, time.Duration(i+steadyBuckets)*bucket) >= want {
			return time.Duration(i-first) * bucket
		}
	}
	return after
}

// crest measures what is served while demand is three times what it was.
func crest(ctx context.Context, r *Run) error {
	result, err := r.load(ctx, r.mixed(normalShare), []loadgen.Phase{
		{Duration: calm, Factor: 1}, {Duration: surge, Factor: crestFactor},
	}, hardRetries)
	if err != nil {
		return err
	}
	done := sum(result.Classes[critical].Timeline, result.Classes[normal].Timeline)
	r.Metrics["crest_first_second"] = float64(window(done, calm, calm+time.Second)) / r.Capacity
	r.Metrics["crest_of_capacity"] = float64(window(done, calm, calm+surge)) / (r.Capacity * surge.Seconds())
	return nil
}

func sum(a, b []int64) []int64 {
	total := make([]int64, max(len(a), len(b)))
	for i := range total {
		if i < len(a) {
			total[i] += a[i]
		}
		if i < len(b) {
			total[i] += b[i]
		}
	}
	return total
}

func (r *Run) setSlow(service string, factor float64) error {
	for _, i := range r.Fleet.Instances(service) {
		if err := i.SetSlow(factor); err != nil {
			return err
		}
	}
	return nil
}
