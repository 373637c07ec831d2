package status

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// aggregate fills in the report of a failure domain from its nodes' summaries and
// encodes it in at most maxBytes. It leaves out summaries of single nodes first, then
// services. A report without either is returned even when it is longer.
func aggregate(report DomainReport, summaries []Summary, maxBytes int) ([]byte, error) {
	slices.SortFunc(summaries, bySettingsErrorAndID)
	report.Nodes = len(summaries)
	report.Services = totalsByService(summaries)
	report.Summaries = summaries
	for {
		value, err := json.Marshal(report)
		if err != nil || len(value) <= maxBytes {
			return value, err
		}
		if !truncate(&report, len(value)-maxBytes) {
			return value, nil
		}
	}
}

// truncate drops summaries of single nodes from the report, or services once no
// summaries are left, and returns false when nothing is left to drop. It drops about as
// many summaries as account for excess bytes, and at least an eighth of them.
func truncate(report *DomainReport, excess int) bool {
	if n := len(report.Summaries); n > 0 {
		drop := max(n/8, min(n, excess/minSummaryBytes), 1)
		report.Summaries = report.Summaries[:n-drop]
		return true
	}
	if n := len(report.Services); n > 0 {
		drop := max(n/8, 1)
		report.Omitted += drop
		report.Services = report.Services[:n-drop]
		return true
	}
	return false
}

// minSummaryBytes is a low estimate of the length of one encoded summary.
const minSummaryBytes = 200

// bySettingsErrorAndID puts nodes with a settings error first, then orders by ID.
func bySettingsErrorAndID(a, b Summary) int {
	if (a.SettingsError != "") != (b.SettingsError != "") {
		if a.SettingsError != "" {
			return -1
		}
		return 1
	}
	return strings.Compare(a.ID, b.ID)
}

func totalsByService(summaries []Summary) []ServiceTotals {
	byService := map[string]*ServiceTotals{}
	for _, s := range summaries {
		totals := byService[s.Service]
		if totals == nil {
			totals = &ServiceTotals{Service: s.Service, LowestRevision: s.SettingsRevision}
			byService[s.Service] = totals
		}
		totals.add(s)
	}
	list := make([]ServiceTotals, 0, len(byService))
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		list = append(list, *byService[name])
	}
	return list
}

func (t *ServiceTotals) add(s Summary) {
	t.Nodes++
	t.Slots += s.Slots
	t.Running += s.Running
	t.Queued += s.Queued
	t.LowestRevision = min(t.LowestRevision, s.SettingsRevision)
	t.HighestRevision = max(t.HighestRevision, s.SettingsRevision)
	if s.Draining {
		t.Draining++
	}
	if s.SettingsError != "" {
		t.Refusing++
	}
	for i := range s.Answered {
		t.Answered[i] += s.Answered[i]
		t.Shed[i] += s.Shed[i]
	}
}
