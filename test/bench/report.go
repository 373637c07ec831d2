package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
)

// Sample holds the metrics of one run of a scenario.
type Sample struct {
	// Policy is "full" for the policy and "none" for the baseline.
	Deployment, Policy, Scenario string
	Seed                         uint64
	// Metrics holds the measured values by metric name.
	Metrics map[string]float64
}

// Aim is the range that the mean of a metric should be in.
type Aim struct {
	// AtLeast and AtMost are bounds; zero means none.
	AtLeast, AtMost float64
}

// Aims holds the bounds of the design page by metric name.
var Aims = map[string]Aim{
	"goodput_of_capacity": {AtLeast: 0.9},
	"critical_success":    {AtLeast: 0.99},
	"wasted_executions":   {AtMost: 0.02},
	"recovery_s":          {AtMost: 2},
	"crest_first_second":  {AtLeast: 0.9},
	"crest_of_capacity":   {AtLeast: 0.9},
	"short_p99_ratio":     {AtMost: 1.5},
	"slowed_p99_ratio":    {AtMost: 1.3},
}

// String formats the bound for a table, as an empty text if there is none.
func (a Aim) String() string {
	switch {
	case a.AtLeast > 0:
		return fmt.Sprintf("at least %g", a.AtLeast)
	case a.AtMost > 0:
		return fmt.Sprintf("at most %g", a.AtMost)
	default:
		return ""
	}
}

// met reports whether the mean of a metric reaches the aim.
func (a Aim) met(mean float64) bool {
	return (a.AtLeast == 0 || mean >= a.AtLeast) && (a.AtMost == 0 || mean <= a.AtMost)
}

// rowKey identifies a row of the table.
type rowKey struct{ deployment, scenario, metric string }

// WriteTable prints one row per metric with the mean, lowest and highest value over
// the seeds, for the policy and for the baseline.
func WriteTable(w io.Writer, samples []Sample) {
	rows := make(map[rowKey]map[string][]float64)
	for _, s := range samples {
		for metric, value := range s.Metrics {
			key := rowKey{s.Deployment, s.Scenario, metric}
			if rows[key] == nil {
				rows[key] = make(map[string][]float64)
			}
			rows[key][s.Policy] = append(rows[key][s.Policy], value)
		}
	}
	fmt.Fprintln(w, "| deployment | scenario | metric | policy | baseline | ratio | aim | met |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, key := range slices.SortedFunc(maps.Keys(rows), compareKeys) {
		full, none := rows[key]["full"], rows[key]["none"]
		aim := Aims[key.metric]
		fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", key.deployment, key.scenario, key.metric,
			formatSpread(full), formatSpread(none), formatRatio(full, none), aim, formatMet(aim, full))
	}
}

func compareKeys(a, b rowKey) int {
	return slices.Compare([]string{a.deployment, a.scenario, a.metric}, []string{b.deployment, b.scenario, b.metric})
}

// formatMet formats whether the mean reaches the aim, if there is one.
func formatMet(aim Aim, values []float64) string {
	if aim == (Aim{}) || len(values) == 0 {
		return ""
	}
	if aim.met(mean(values)) {
		return "yes"
	}
	return "no"
}

func mean(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total / float64(len(values))
}

// formatSpread formats the mean, the lowest and the highest value.
func formatSpread(values []float64) string {
	if len(values) == 0 {
		return "not run"
	}
	return fmt.Sprintf("%.3f (%.3f to %.3f)", mean(values), slices.Min(values), slices.Max(values))
}

// formatRatio formats the mean with the policy divided by that with the baseline, as an
// empty text if either was not run or the latter is zero.
func formatRatio(full, none []float64) string {
	if len(full) == 0 || len(none) == 0 || mean(none) == 0 {
		return ""
	}
	return fmt.Sprintf("%.2f", mean(full)/mean(none))
}
