package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// MemberView holds the fields of a row of a node's member table that tests read.
type MemberView struct {
	ID               string
	Incarnation      uint64
	State            string
	Service          string
	FailureDomain    string
	UpstreamReady    bool
	Draining         bool
	SettingsRevision int64
}

// Usable reports whether new calls may go to the member.
func (m MemberView) Usable() bool {
	return m.State == "alive" && m.UpstreamReady && !m.Draining
}

// Members reads the node's member table from its admin listener.
func (n *Node) Members() ([]MemberView, error) {
	data, err := get("http://" + n.Addresses.Admin + "/members")
	if err != nil {
		return nil, err
	}
	var members []MemberView
	return members, errors.Wrap(json.Unmarshal(data, &members), "decode members")
}

// CPUProfile records a CPU profile of the node over d.
func (n *Node) CPUProfile(d time.Duration) ([]byte, error) {
	return get(fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%.0f", n.Addresses.Admin, d.Seconds()))
}

// WaitForUsableMembers waits until every node sees exactly want usable members.
func (f *Fleet) WaitForUsableMembers(ctx context.Context, want int) error {
	return f.WaitForMemberTables(ctx, func(members []MemberView) bool {
		usable := 0
		for _, m := range members {
			if m.Usable() {
				usable++
			}
		}
		return usable == want
	})
}

// WaitForMemberTables waits until the member table of each instance's node has
// satisfied ok. It waits for one node after the other, for at most readyTimeout in all.
func WaitForMemberTables(ctx context.Context, instances []*Instance, ok func([]MemberView) bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, instance := range instances {
		if err := instance.Node.waitFor(ctx, ok); err != nil {
			return err
		}
	}
	return nil
}

// WaitForReady waits until every node has the settings and accepts calls.
func (f *Fleet) WaitForReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, instance := range f.Instances("") {
		err := Poll(ctx, readyInterval, func() error {
			_, err := get("http://" + instance.Node.Addresses.Admin + "/readyz")
			return err
		})
		if err != nil {
			return errors.Wrapf(err, "%s is not ready", instance.Node.Name)
		}
	}
	return nil
}

// WaitForMemberTables waits until the member table of every node satisfies ok.
func (f *Fleet) WaitForMemberTables(ctx context.Context, ok func([]MemberView) bool) error {
	return WaitForMemberTables(ctx, f.Instances(""), ok)
}

// waitFor waits until the node's member table satisfies ok or ctx ends.
func (n *Node) waitFor(ctx context.Context, ok func([]MemberView) bool) error {
	return Poll(ctx, readyInterval, func() error {
		members, err := n.Members()
		if err == nil && ok(members) {
			return nil
		}
		return errors.Errorf("%s: member table %+v, last error %v; log: %s", n.Name, members, err, n.Log())
	})
}
