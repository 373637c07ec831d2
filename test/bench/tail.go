package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/mustardwing/mustardwing/standin/loadgen"
)

const (
	// tailDuration is the length of each run.
	tailDuration = 5 * time.Second
	// tailLoadRatio is the ratio of the load of the straggler scenario to the capacity.
	tailLoadRatio = 0.4
	// longJobFactor is the ratio of the service time of a long job to that of a short
	// call. longJobDemand is the ratio of the slots that unbounded long jobs would occupy
	// to all slots.
	longJobFactor = 20
	longJobDemand = 1.2
	// stragglerFactor multiplies the service time of the straggler.
	stragglerFactor = 10.0
	tailPercentile  = 99
)

// longJobs measures the latency of short calls at the last service of the chain, with
// and without long jobs that would occupy all its slots if they were not bounded.
func longJobs(ctx context.Context, r *Run) error {
	services := r.Fleet.Deployment.Services
	lastService := services[len(services)-1]
	capacity := float64(lastService.Instances*lastService.Slots) / lastService.ServiceTime.Seconds()
	short := loadgen.Class{Name: normal, Service: lastService.Name, Kind: normal, Method: http.MethodGet, Rate: 0.3 * capacity}
	jobs := loadgen.Class{Name: long, Service: lastService.Name, Kind: long, Method: http.MethodGet, Rate: longJobDemand * capacity / longJobFactor}
	phases := []loadgen.Phase{{Duration: tailDuration, Factor: 1}}
	without, err := r.runLoad(ctx, []loadgen.Class{short}, phases, 0)
	if err != nil {
		return err
	}
	with, err := r.runLoad(ctx, []loadgen.Class{short, jobs}, phases, 0)
	if err != nil {
		return err
	}
	r.recordTail(without, with, "short")
	r.Metrics["long_success"] = float64(with.Classes[long].Succeeded) / float64(max(1, with.Classes[long].Offered))
	return nil
}

// straggler measures the tail latency of root requests with and without one instance
// of the entry service being ten times slower.
func straggler(ctx context.Context, r *Run) error {
	phases := []loadgen.Phase{{Duration: tailDuration, Factor: 1}}
	without, err := r.runLoad(ctx, r.normalClasses(tailLoadRatio), phases, 0)
	if err != nil {
		return err
	}
	slowed := r.Fleet.Instances(r.EntryService)[0]
	if err := slowed.SetSlow(stragglerFactor); err != nil {
		return err
	}
	with, err := r.runLoad(ctx, r.normalClasses(tailLoadRatio), phases, 0)
	if restoreErr := slowed.SetSlow(1); err == nil {
		err = restoreErr
	}
	if err != nil {
		return err
	}
	r.recordTail(without, with, "slowed")
	return nil
}

// recordTail records the tail latency and the success of the normal class with the
// disturbance, and the ratio of this latency to that without it. The names of the
// metrics begin with name.
func (r *Run) recordTail(without, with *loadgen.Result, name string) {
	undisturbed, disturbed := without.Classes[normal], with.Classes[normal]
	r.Metrics[name+"_p99_ratio"] = disturbed.QuantileMs(tailPercentile) / undisturbed.QuantileMs(tailPercentile)
	r.Metrics[name+"_p99_ms"] = disturbed.QuantileMs(tailPercentile)
	r.Metrics[name+"_success"] = float64(disturbed.Succeeded) / float64(max(1, disturbed.Offered))
}
