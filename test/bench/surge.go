package bench

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/standin/loadgen"
)

const (
	// calmDuration, surgeDuration and recoveryDuration are the lengths of the phases
	// before, during and after the surge.
	calmDuration     = 2 * time.Second
	surgeDuration    = 3 * time.Second
	recoveryDuration = 8 * time.Second
	// normalLoadRatio is the ratio of the normal load to the capacity.
	normalLoadRatio = 0.5
	surgeFactor     = 6.0 // relative to the normal load: three times the capacity
	// slowdownFactor multiplies the service time of the last service during the surge.
	slowdownFactor = 3.0
	// recoveredFraction is the fraction of the normal load from which goodput counts as
	// back to normal.
	recoveredFraction = 0.95
	// steadyBuckets is the number of consecutive buckets whose total goodput must be
	// back to normal.
	steadyBuckets = 5
	// peakFactor is the ratio of the peak demand to the normal load.
	peakFactor = 3.0
)

// recovery measures the time from the end of a surge until goodput is back to normal.
// During the surge the last service of the chain is slower as well.
func recovery(ctx context.Context, r *Run) error {
	services := r.Fleet.Deployment.Services
	lastService := services[len(services)-1].Name
	restored := make(chan error, 1)
	go func() {
		time.Sleep(calmDuration)
		err := r.setSlowdown(lastService, slowdownFactor)
		time.Sleep(surgeDuration)
		if restoreErr := r.setSlowdown(lastService, 1); err == nil {
			err = restoreErr
		}
		restored <- err
	}()
	result, err := r.runLoad(ctx, r.mixedClasses(normalLoadRatio), []loadgen.Phase{
		{Duration: calmDuration, Factor: 1}, {Duration: surgeDuration, Factor: surgeFactor}, {Duration: recoveryDuration, Factor: 1},
	}, aggressiveRetries)
	if err != nil {
		return err
	}
	if err := <-restored; err != nil {
		return err
	}
	succeeded := sumTimelines(result.Classes[critical].Timeline, result.Classes[normal].Timeline)
	r.Metrics["recovery_s"] = recoveryTime(succeeded, normalLoadRatio*r.Capacity).Seconds()
	return nil
}

// recoveryTime returns the time from the end of the surge to the first steadyBuckets
// consecutive buckets that together reach recoveredFraction of the rate, or
// recoveryDuration if there are none.
func recoveryTime(timeline []int64, rate float64) time.Duration {
	want := int64(recoveredFraction * rate * bucketWidth.Seconds() * steadyBuckets)
	first := int((calmDuration + surgeDuration) / bucketWidth)
	last := int((calmDuration + surgeDuration + recoveryDuration) / bucketWidth)
	for i := first; i+steadyBuckets <= last; i++ {
		if succeededBetween(timeline, time.Duration(i)*bucketWidth, time.Duration(i+steadyBuckets)*bucketWidth) >= want {
			return time.Duration(i-first) * bucketWidth
		}
	}
	return recoveryDuration
}

// demandPeak measures the goodput while the demand is three times the normal load: in
// the first second and over the whole peak.
func demandPeak(ctx context.Context, r *Run) error {
	result, err := r.runLoad(ctx, r.mixedClasses(normalLoadRatio), []loadgen.Phase{
		{Duration: calmDuration, Factor: 1}, {Duration: surgeDuration, Factor: peakFactor},
	}, aggressiveRetries)
	if err != nil {
		return err
	}
	succeeded := sumTimelines(result.Classes[critical].Timeline, result.Classes[normal].Timeline)
	r.Metrics["crest_first_second"] = float64(succeededBetween(succeeded, calmDuration, calmDuration+time.Second)) / r.Capacity
	r.Metrics["crest_of_capacity"] = float64(succeededBetween(succeeded, calmDuration, calmDuration+surgeDuration)) / (r.Capacity * surgeDuration.Seconds())
	return nil
}

// sumTimelines adds two timelines, of which one may be longer.
func sumTimelines(a, b []int64) []int64 {
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

// setSlowdown sets the factor of the service times at all instances of a service; 1 is
// normal speed.
func (r *Run) setSlowdown(service string, factor float64) error {
	for _, instance := range r.Fleet.Instances(service) {
		if err := instance.SetSlow(factor); err != nil {
			return err
		}
	}
	return nil
}
