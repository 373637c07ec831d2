package bench

import (
	"context"
	"time"

	"github.com/mustardwing/mustardwing/standin/loadgen"
)

const (
	// bucketWidth is the default interval of the timelines of loadgen.
	bucketWidth = 100 * time.Millisecond
	// warmUp is left out at the beginning of a measurement under constant load.
	warmUp           = time.Second
	overloadDuration = 6 * time.Second
)

// overload measures goodput, the success of critical calls and wasted executions at a
// multiple of the capacity.
func overload(factor float64) func(context.Context, *Run) error {
	return func(ctx context.Context, r *Run) error {
		before, err := r.executions()
		if err != nil {
			return err
		}
		result, err := r.runLoad(ctx, r.mixedClasses(factor), []loadgen.Phase{{Duration: overloadDuration, Factor: 1}}, aggressiveRetries)
		if err != nil {
			return err
		}
		after, err := r.executions()
		if err != nil {
			return err
		}
		c, n := result.Classes[critical], result.Classes[normal]
		perSecond := float64(succeededBetween(c.Timeline, warmUp, overloadDuration)+succeededBetween(n.Timeline, warmUp, overloadDuration)) / (overloadDuration - warmUp).Seconds()
		// A successful request runs once at each service of the chain.
		useful := float64(c.Succeeded+n.Succeeded) * float64(len(r.Fleet.Deployment.Services))
		r.Metrics["goodput_of_capacity"] = perSecond / r.Capacity
		r.Metrics["critical_success"] = float64(c.Succeeded) / float64(max(1, c.Offered))
		r.Metrics["wasted_executions"] = 1 - useful/float64(max(1, after-before))
		r.Metrics["mismatched"] = float64(c.Mismatched + n.Mismatched)
		return nil
	}
}

// succeededBetween returns the number of successes between two times since the start of
// the load.
func succeededBetween(timeline []int64, from, to time.Duration) int64 {
	var sum int64
	for i := int(from / bucketWidth); i < int(to/bucketWidth) && i < len(timeline); i++ {
		sum += timeline[i]
	}
	return sum
}
