package client

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// EntrySummary counts the nodes of a service in one failure domain by the upstream
// state in their directory entries.
type EntrySummary struct {
	// Service is empty for nodes without an upstream.
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Nodes         int    `json:"nodes"`
	Ready         int    `json:"ready"`
	Draining      int    `json:"draining"`
	// Ended counts nodes that cannot contact their upstream. The upstream's process may
	// have ended.
	Ended int `json:"gone"`
	// Leaving counts nodes that are shutting down, whatever the state of their
	// upstream; Ready, Draining and Ended do not include these nodes.
	Leaving int `json:"leaving"`
	// Slots is the sum over the ready upstreams.
	Slots int `json:"slots"`
}

// summarizeEntries counts the nodes' directory entries by service and failure
// domain, without those that were removed because their node was dead. An empty
// service counts all services.
func (c *Client) summarizeEntries(ctx context.Context, service string) ([]EntrySummary, error) {
	listing, err := c.list(ctx, directory.KeyPrefix)
	if err != nil {
		return nil, err
	}
	type groupKey struct{ service, domain string }
	summaries := make(map[groupKey]*EntrySummary)
	for _, object := range listing.Objects {
		e, err := decodeEntry(object)
		if err != nil {
			return nil, err
		}
		key := groupKey{domain: e.FailureDomain}
		if e.Upstream != nil {
			key.service = e.Upstream.Service
		}
		if e.Removed || (service != "" && key.service != service) {
			continue
		}
		if summaries[key] == nil {
			summaries[key] = &EntrySummary{Service: key.service, FailureDomain: key.domain}
		}
		summaries[key].add(e)
	}
	var list []EntrySummary
	for _, s := range summaries {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b EntrySummary) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	return list, nil
}

func decodeEntry(object platform.Object) (directory.Entry, error) {
	var e directory.Entry
	if err := json.Unmarshal(object.Value, &e); err != nil {
		return e, resultcode.Wrap(err, resultcode.PlatformMalformed, "object %s", object.Key)
	}
	return e, nil
}

func (s *EntrySummary) add(e directory.Entry) {
	s.Nodes++
	switch {
	case e.Leaving:
		s.Leaving++
	case e.Serves():
		s.Ready++
		s.Slots += e.Upstream.Slots
	case e.Upstream != nil && e.Upstream.State == directory.Draining:
		s.Draining++
	case e.Upstream != nil && e.Upstream.State == directory.Unreachable:
		s.Ended++
	}
}

func writeEntries(w io.Writer, summaries []EntrySummary) {
	t := newTable(w)
	t.row("SERVICE", "DOMAIN", "NODES", "READY", "DRAINING", "GONE", "LEAVING", "SLOTS")
	for _, s := range summaries {
		t.row(orNoService(s.Service), s.FailureDomain, fmt.Sprint(s.Nodes), fmt.Sprint(s.Ready), fmt.Sprint(s.Draining),
			fmt.Sprint(s.Ended), fmt.Sprint(s.Leaving), fmt.Sprint(s.Slots))
	}
	t.flush()
}

// problems returns one line when the summary of a service counts no node as ready, and
// nil otherwise, also for nodes without an upstream.
func (s EntrySummary) problems() []string {
	if s.Service == "" || s.Ready > 0 {
		return nil
	}
	return []string{fmt.Sprintf("failure domain %s: no instance of %s is ready", s.FailureDomain, s.Service)}
}
