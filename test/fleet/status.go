package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// NodeStatus holds the fields of a node's status that tests read.
type NodeStatus struct {
	SettingsRevision int64    `json:"settings_revision"`
	SettingsRefused  []string `json:"settings_refused"`
}

// Status reads the node's status from its admin listener.
func (n *Node) Status() (NodeStatus, error) {
	var status NodeStatus
	data, err := get("http://" + n.Addresses.Admin + "/status")
	if err != nil {
		return status, err
	}
	return status, errors.Wrap(json.Unmarshal(data, &status), "decode status")
}

// WaitForRevision waits until exactly the given settings revision is in force at the
// node, for at most readyTimeout.
func (n *Node) WaitForRevision(ctx context.Context, want int64) error {
	return n.WaitForRevisionEvery(ctx, readyInterval, want)
}

// WaitForRevisionEvery is WaitForRevision with the given poll interval, for
// measurements.
func (n *Node) WaitForRevisionEvery(ctx context.Context, interval time.Duration, want int64) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return Poll(ctx, interval, func() error {
		status, err := n.Status()
		if err == nil && status.SettingsRevision == want {
			return nil
		}
		return errors.Errorf("%s: status %+v, want revision %d, last error %v", n.Name, status, want, err)
	})
}

// SettingsRevision returns the highest version of the settings objects in the
// store, or zero if there are none.
func (f *Fleet) SettingsRevision() (int64, error) {
	data, err := get(f.PlatformURL + "/v1/objects?prefix=settings/")
	if err != nil {
		return 0, err
	}
	var listing struct {
		Objects []struct {
			Version int64 `json:"version"`
		} `json:"objects"`
	}
	if err := json.Unmarshal(data, &listing); err != nil {
		return 0, errors.Wrap(err, "decode listing")
	}
	var highest int64
	for _, o := range listing.Objects {
		highest = max(highest, o.Version)
	}
	return highest, nil
}
