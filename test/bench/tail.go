package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/mustardwing/mustardwing/standin/loadgen"
)

const (
	tailDuration = 5 * time.Second
	tailShare    = 0.4
	// longFactor is how many times longer a long job runs, and longDemand the
	// part of the slots that long jobs would fill without a bound.
	longFactor      = 20
	longDemand      = 1.2
	stragglerFactor = 10.0
	quantile        = 99
)

// longJobs measures short calls at the last service of the chain with and
// without long jobs that would fill it.
func longJobs(ctx context.Context, r *Run) error {
	services := r.Fleet.Deployment.Services
	deep := services[len(services)-1]
	capacity := float64(deep.Instances*deep.Slots) / deep.ServiceTime.Seconds()
	short := loadgen.Class{Name: normal, Service: deep.Name, Kind: normal, Method: http.MethodGet, Rate: 0.3 * capacity}
	jobs := loadgen.Class{Name: long, Service: deep.Name, Kind: long, Method: http.MethodGet, Rate: longDemand * capacity / longFactor}
	phases := []loadgen.Phase{{Duration: tailDuration, Factor: 1}}
	without, err := r.load(ctx, []loadgen.Class{short}, phases, 0)
	if err != nil {
		return err
	}
	with, err := r.load(ctx, []loadgen.Class{short, jobs}, phases, 0)
	if err != nil {
		return err
	}
	r.compare(without, with, "short")
	r.Metrics["long_success"] = float64(with.Classes[long].Succeeded) / float64(max(1, with.Classes[long].Offered))
	return nil
}

// straggler measures the tail of whole requests while one instance in each
// service of four is ten times slower.
func straggler(ctx context.Context, r *Run) error {
	phases := []loadgen.Phase{{Duration: tailDuration, Factor: 1}}
	without, err := r.load(ctx, r.plain(tailShare), phases, 0)
	if err != nil {
		return err
	}
	slowed := r.Fleet.Instances(r.EntryService)[0]
	if err := slowed.SetSlow(stragglerFactor); err != nil {
		return err
	}
	with, err := r.load(ctx, r.plain(tailShare), phases, 0)
	if restoreErr := slowed.SetSlow(1); err == nil {
		err = restoreErr
	}
	if err != nil {
		return err
	}
	r.compare(without, with, "slowed")
	return nil
}

func (r *Run) compare(without, with *loadgen.Result, name string) {
	before, now := without.Classes[normal], with.Classes[normal]
	r.Metrics[name+"_p99_ratio"] = now.QuantileMs(quantile) / before.QuantileMs(quantile)
	r.Metrics[name+"_p99_ms"] = now.QuantileMs(quantile)
	r.Metrics[name+"_success"] = float64(now.Succeeded) / float64(max(1, now.Offered))
}
