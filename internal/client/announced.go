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

// AnnouncedGroup counts the nodes of a service in one failure domain by what they
// announce of their upstreams.
type AnnouncedGroup struct {
	// Service is empty for nodes without an upstream.
	Service       string `json:"service"`
	FailureDomain string `json:"failure_domain"`
	Nodes         int    `json:"nodes"`
	Ready         int    `json:"ready"`
	Draining      int    `json:"draining"`
	// Gone counts upstreams that ended or fell silent.
	Gone int `json:"gone"`
	// Leaving counts nodes that shut down, whatever the state of the upstream.
	Leaving int `json:"leaving"`
	// Slots is the sum of those that are ready.
	Slots int `json:"slots"`
}

// announced reads the entries of the nodes, without those that were removed as dead.
func (c *Client) announced(ctx context.Context, service string) ([]AnnouncedGroup, error) {
	listing, err := c.list(ctx, directory.KeyPrefix)
	if err != nil {
		return nil, err
	}
	type place struct{ service, domain string }
	groups := make(map[place]*AnnouncedGroup)
	for _, object := range listing.Objects {
		e, err := decodeEntry(object)
		if err != nil {
			return nil, err
		}
		p := place{domain: e.FailureDomain}
		if e.Upstream != nil {
			p.service = e.Upstream.Service
		}
		if e.Removed || (service != "" && p.service != service) {
			continue
		}
		if groups[p] == nil {
			groups[p] = &AnnouncedGroup{Service: p.service, FailureDomain: p.domain}
		}
		groups[p].add(e)
	}
	var list []AnnouncedGroup
	for _, g := range groups {
		list = append(list, *g)
	}
	slices.SortFunc(list, func(a, b AnnouncedGroup) int {
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

func (g *AnnouncedGroup) add(e directory.Entry) {
	g.Nodes++
	switch {
	case e.Leaving:
		g.Leaving++
	case e.Serves():
		g.Ready++
		g.Slots += e.Upstream.Slots
	case e.Upstream != nil && e.Upstream.State == directory.Draining:
		g.Draining++
	case e.Upstream != nil && e.Upstream.State == directory.Ended:
		g.Gone++
	}
}

func writeAnnounced(w io.Writer, groups []AnnouncedGroup) {
	t := newTable(w)
	t.row("SERVICE", "DOMAIN", "NODES", "READY", "DRAINING", "GONE", "LEAVING", "SLOTS")
	for _, g := range groups {
		t.row(orNoService(g.Service), g.FailureDomain, fmt.Sprint(g.Nodes), fmt.Sprint(g.Ready), fmt.Sprint(g.Draining),
			fmt.Sprint(g.Gone), fmt.Sprint(g.Leaving), fmt.Sprint(g.Slots))
	}
	t.flush()
}

// missing says that no upstream of the group takes calls.
func (g AnnouncedGroup) missing() []string {
	if g.Service == "" || g.Ready > 0 {
		return nil
	}
	return []string{fmt.Sprintf("failure domain %s: no instance of %s is ready", g.FailureDomain, g.Service)}
}
