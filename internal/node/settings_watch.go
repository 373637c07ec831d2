package node

import (
	"context"
	"strings"
	"time"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/settings"
)

const (
	settingsPrefix = "settings/"
	// settingsRetryPause is the wait after a failed call to the platform.
	settingsRetryPause = time.Second
)

// watchSettings follows the settings in the platform's store.
func (n *Node) watchSettings(ctx context.Context) {
	for ctx.Err() == nil {
		err := n.followSettings(ctx)
		n.log.Debug().Err(err).Msg("settings watch ended")
		n.telemetry.Metrics.Counter("settings_watch_errors").Inc(1)
		select {
		case <-time.After(settingsRetryPause):
		case <-ctx.Done():
		}
	}
}

func (n *Node) followSettings(ctx context.Context) error {
	listing, err := n.store.List(ctx, settingsPrefix)
	if err != nil {
		return err
	}
	if objects, revision := settingsObjects(listing.Objects); revision > n.settings.holder.Revision() {
		n.applied(n.settings.holder.ApplySnapshot(revision, objects))
	}
	for after := listing.Version; ; {
		events, err := n.store.Watch(ctx, settingsPrefix, after)
		if err != nil {
			return err
		}
		after = events.Version
		if objects, revision := settingsObjects(events.Events); revision > n.settings.holder.Revision() {
			n.applied(n.settings.holder.Apply(revision, objects))
		}
	}
}

func settingsObjects(stored []platform.Object) (objects []settings.Object, revision int64) {
	for _, o := range stored {
		if !strings.HasPrefix(o.Key, settingsPrefix) {
			continue
		}
		objects = append(objects, settings.Object{Key: o.Key, Revision: o.Version, Value: o.Value})
		revision = max(revision, o.Version)
	}
	return objects, revision
}

func (n *Node) applied(err error) {
	if err != nil {
		n.log.Warn().Err(err).Int64("revision", n.settings.holder.Revision()).Msg("settings revision refused in part")
	}
	n.settings.notify()
}
