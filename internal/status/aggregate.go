package status

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
)

// aggregate builds the report of a failure domain within a number of bytes.
// Single nodes are left out first, then services.
func aggregate(domain DomainReport, summaries []Summary, maxBytes int) ([]byte, error) {
	slices.SortFunc(summaries, byImportance)
	domain.Nodes = len(summaries)
	domain.Services = sumServices(summaries)
	domain.Summaries = summaries
	for {
		value, err := json.Marshal(domain)
		if err != nil || len(value) <= maxBytes {
			return value, err
		}
		if !shrink(&domain, len(value)-maxBytes) {
			return value, nil
		}
	}
}

// shrink drops at least a part of the report that accounts for excess bytes and
// reports false when nothing is left to drop.
func shrink(domain *DomainReport, excess int) bool {
	if n := len(domain.Summaries); n > 0 {
		drop := max(n/8, min(n, excess/summaryBytes), 1)
		domain.Summaries = domain.Summaries[:n-drop]
		return true
	}
	if n := len(domain.Services); n > 0 {
		drop := max(n/8, 1)
		domain.Omitted += drop
		domain.Services = domain.Services[:n-drop]
		return true
	}
	return false
}

// summaryBytes is a low estimate of one encoded summary.
const summaryBytes = 200

// byImportance puts nodes with a settings error first, then orders by ID.
func byImportance(a, b Summary) int {
	if (a.SettingsError != "") != (b.SettingsError != "") {
		if a.SettingsError != "" {
			return -1
		}
		return 1
	}
	return strings.Compare(a.ID, b.ID)
}

func sumServices(summaries []Summary) []ServiceTotals {
	services := map[string]*ServiceTotals{}
	for _, s := range summaries {
		sum := services[s.Service]
		if sum == nil {
			sum = &ServiceTotals{Service: s.Service, LowestRevision: s.SettingsRevision}
			services[s.Service] = sum
		}
		sum.add(s)
	}
	list := make([]ServiceTotals, 0, len(services))
	for _, name := range slices.Sorted(maps.Keys(services)) {
		list = append(list, *services[name])
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
