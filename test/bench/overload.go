package bench

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/standin/loadgen"
)

const (
	bucket = 100 * time.Millisecond
	// warmUp is cut off the beginning of a steady measurement.
	warmUp           = time.Second
	overloadDuration = 6 * time.Second
)

// overload measures goodput and wasted executions at a multiple of the capacity.
func overload(factor float64) func(context.Context, *Run) error {
	return func(ctx context.Context, r *Run) error {
		before, err := r.executions()
		if err != nil {
			return err
		}
		result, err := r.load(ctx, r.mixed(factor), []loadgen.Phase{{Duration: overloadDuration, Factor: 1}}, hardRetries)
		if err != nil {
			return err
		}
		after, err := r.executions()
		if err != nil {
			return err
		}
		c, n := result.Classes[critical], result.Classes[normal]
		perSecond := float64(window(c.Timeline, warmUp, overloadDuration)+window(n.Timeline, warmUp, overloadDuration)) / (overloadDuration - warmUp).Seconds()
		useful := float64(c.Succeeded+n.Succeeded) * float64(len(r.Fleet.Deployment.Services))
		r.Metrics["goodput_of_capacity"] = perSecond / r.Capacity
		r.Metrics["critical_success"] = float64(c.Succeeded) / float64(max(1, c.Offered))
		r.Metrics["wasted_executions"] = 1 - useful/float64(max(1, after-before))
		r.Metrics["mismatched"] = float64(c.Mismatched + n.Mismatched)
		return nil
	}
}

// window sums the buckets between two times.
func window(timeline []int64, from, to time.Duration) int64 {
	var sum int64
	for i := int(from / bucket); i < int(to/bucket) && i < len(timeline); i++ {
		sum += timeline[i]
	}
	return sum
}
