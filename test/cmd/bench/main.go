// Command bench measures both deployments with the policy "full" and with "none", the
// baseline without overload control, and prints a table in Markdown.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/test/bench"
	"github.com/mustardwing/mustardwing/test/fleet"
)

const (
	// settleTime is the time without load before each scenario.
	settleTime = 2 * time.Second
	// serviceTime is the service time of each service of the chain.
	serviceTime = 40 * time.Millisecond
)

// options are the values of the flags. The lists of deployments, policies and scenarios
// are separated by commas.
type options struct {
	binDir, deployments, policies, scenarios, samplesPath string
	seeds                                                 uint64
}

func main() {
	var o options
	flag.StringVar(&o.binDir, "bin", "bin", "directory of the programs")
	flag.StringVar(&o.deployments, "deployments", "rulaj,zadruga", "deployments to measure")
	flag.StringVar(&o.policies, "policies", "full,none", "policies to measure")
	flag.StringVar(&o.scenarios, "scenarios", "", "scenarios to run; empty runs all")
	flag.StringVar(&o.samplesPath, "samples", "", "file that receives each sample as a line of JSON")
	flag.Uint64Var(&o.seeds, "seeds", 5, "number of seeds")
	flag.Parse()
	if err := run(context.Background(), o); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	var samples []bench.Sample
	for _, deployment := range strings.Split(o.deployments, ",") {
		for _, policy := range strings.Split(o.policies, ",") {
			for seed := uint64(1); seed <= o.seeds; seed++ {
				measured, err := measure(ctx, o, deployment, policy, seed)
				if err != nil {
					return errors.Wrapf(err, "deployment %s, policy %s, seed %d", deployment, policy, seed)
				}
				samples = append(samples, measured...)
			}
		}
	}
	if err := writeSamples(o.samplesPath, samples); err != nil {
		return err
	}
	bench.WriteTable(os.Stdout, samples)
	return nil
}

// measure runs the selected scenarios one after the other on a new fleet.
func measure(ctx context.Context, o options, name, policy string, seed uint64) ([]bench.Sample, error) {
	d := deployment(name)
	d.Policy = policy
	d.Seed = seed
	d.LogLevel = "warn"
	f, err := fleet.StartInTempDir(ctx, o.binDir, "bench", d)
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	var samples []bench.Sample
	for _, s := range bench.Scenarios() {
		if o.scenarios != "" && !strings.Contains(","+o.scenarios+",", ","+s.Name+",") {
			continue
		}
		time.Sleep(settleTime)
		r := &bench.Run{Fleet: f, EntryService: d.Services[0].Name, Capacity: bench.Capacity(d.Services), Seed: seed, Metrics: make(map[string]float64)}
		if err := s.Run(ctx, r); err != nil {
			return nil, errors.Wrap(err, s.Name)
		}
		fmt.Fprintf(os.Stderr, "deployment %s, policy %s, seed %d, scenario %s: %v\n", name, policy, seed, s.Name, r.Metrics)
		samples = append(samples, bench.Sample{Deployment: name, Policy: policy, Scenario: s.Name, Seed: seed, Metrics: r.Metrics})
	}
	return samples, nil
}

// deployment returns the deployment of a name: that of Zadruga for "zadruga", that of
// Rulaj for any other.
func deployment(name string) fleet.Deployment {
	d := fleet.RulajDeployment(serviceTime)
	if name == "zadruga" {
		d = fleet.ZadrugaDeployment(serviceTime)
	}
	last := &d.Services[len(d.Services)-1]
	// The scenario long-jobs expects a long job to take 20 times the service time of a
	// short one, the value of longJobFactor in package bench.
	last.Kinds = map[string]time.Duration{"long": 20 * last.ServiceTime}
	d.Settings = bench.Settings(d.Services)
	return d
}

// writeSamples writes each sample as a line of JSON; an empty path writes nothing.
func writeSamples(path string, samples []bench.Sample) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "samples file")
	}
	defer file.Close()
	encoder := json.NewEncoder(file)
	for _, s := range samples {
		if err := encoder.Encode(s); err != nil {
			return errors.Wrap(err, "write sample")
		}
	}
	return nil
}
