package directory

import "time"

// UpstreamState says whether the upstream of a node takes calls.
type UpstreamState string

// States of an upstream.
const (
	Ready    UpstreamState = "ready"
	Draining UpstreamState = "draining"
	// Ended means that the upstream process is over.
	Ended UpstreamState = "gone"
)

// Upstream is the instance beside a node as it last announced itself.
type Upstream struct {
	ID      string        `json:"id"`
	Service string        `json:"service"`
	Slots   int           `json:"slots"`
	State   UpstreamState `json:"state"`
	// ColdMs is how long the instance was still slow after its start when the
	// entry was written, in milliseconds.
	ColdMs int64 `json:"cold_ms,omitempty"`
}

// Entry is what one node says of itself and its upstream.
type Entry struct {
	// Node is the IP address of the node, which one node has at a time.
	Node string `json:"node"`
	// Version orders the entries of one address; the highest holds.
	Version       uint64 `json:"version"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Leaving is set while the node shuts down, Removed once it was found dead.
	Leaving  bool      `json:"leaving,omitempty"`
	Removed  bool      `json:"removed,omitempty"`
	Upstream *Upstream `json:"upstream,omitempty"`

	// Learned is when this node learned of the entry.
	Learned time.Time `json:"-"`
}

// Serves reports whether calls may be sent to the entry's upstream.
func (e Entry) Serves() bool {
	return !e.Leaving && !e.Removed && e.Upstream != nil && e.Upstream.State == Ready
}

// ColdUntil returns when the upstream's slow start ends.
func (e Entry) ColdUntil() time.Time {
	if e.Upstream == nil {
		return e.Learned
	}
	return e.Learned.Add(time.Duration(e.Upstream.ColdMs) * time.Millisecond)
}
