package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/invariant"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = 10 * time.Second

// reportGauges publishes the figures of components that do not use the metrics scope
// themselves. It sets them as gauges, at once and then every gaugeInterval until ctx ends.
func (n *Node) reportGauges(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		n.publishGauges()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) publishGauges() {
	scope := n.telemetry.Metrics
	members := n.members.Stats()
	load := n.upstream.Admission().Load()
	values := map[string]float64{
		"slots":                         float64(load.Slots),
		"calls_running":                 float64(load.Running),
		"calls_queued":                  float64(load.Queued),
		"settings_revision":             float64(n.settings.holder.Revision()),
		"settings_objects_refused":      float64(len(n.settings.holder.Refusals())),
		"membership_packets_sent":       float64(members.PacketsSent),
		"membership_packets_received":   float64(members.PacketsReceived),
		"membership_bytes_sent":         float64(members.BytesSent),
		"membership_bytes_received":     float64(members.BytesReceived),
		"membership_malformed_packets":  float64(members.MalformedPackets),
		"membership_suspicions":         float64(members.Suspicions),
		"membership_refutations":        float64(members.Refutations),
		"membership_declared_dead":      float64(members.DeclaredDead),
		"membership_syncs":              float64(members.Syncs),
		"membership_failed_syncs":       float64(members.FailedSyncs),
		"membership_pauses":             float64(members.Pauses),
		"membership_store_reads":        float64(members.StoreReads),
		"membership_store_writes":       float64(members.StoreWrites),
		"membership_identity_conflicts": float64(members.Conflicts),
	}
	n.addOwnershipGauges(values)
	for name, value := range values {
		scope.Gauge(name).Update(value)
	}
}

func (n *Node) addOwnershipGauges(values map[string]float64) {
	manager := n.ownership.currentManager()
	if manager == nil {
		return
	}
	stats := manager.Stats()
	values["keys_remembered"] = float64(stats.Keys)
	values["keys_granted"] = float64(stats.Granted)
	values["keys_refused_not_owner"] = float64(stats.NotOwner)
	values["keys_refused_too_old"] = float64(stats.TooOld)
	values["key_reports_waiting"] = float64(stats.ReportsWaiting)
	values["key_reports_dropped"] = float64(stats.ReportsDropped)
	values["ownership_epoch"] = float64(stats.Epoch)
	values["ownership_platform_reads"] = float64(stats.PlatformReads)
	values["ownership_platform_writes"] = float64(stats.PlatformWrites)
}

// watchInvariants makes package invariant report its violations to the metrics and the
// log of this node.
func (n *Node) watchInvariants() {
	invariant.OnViolation(func(name, detail string) {
		n.reportViolation(errors.Errorf("%s: %s", name, detail))
	})
}
