package directory

import "time"

// UpstreamState is the state of a node's upstream. Other nodes send calls only to a
// ready one.
type UpstreamState string

// States of an upstream.
const (
	Ready    UpstreamState = "ready"
	Draining UpstreamState = "draining"
	// Unreachable means that the node cannot contact its upstream: no connection could be
	// opened, the announcements stopped, or another instance has the address. The
	// upstream's process may be over.
	Unreachable UpstreamState = "gone"
)

// Upstream describes the instance beside a node, from its latest announcement and what
// the node itself found out about its state.
type Upstream struct {
	// ID is the id of the instance. A restarted upstream has a new one.
	ID string `json:"id"`
	// Incarnation is when the upstream started, in Unix milliseconds, zero if it is not known.
	Incarnation int64  `json:"incarnation,omitempty"`
	Service     string `json:"service"`
	// Slots is the number of calls that the upstream runs at a time.
	Slots int           `json:"slots"`
	State UpstreamState `json:"state"`
	// ColdMs is the remaining time of the instance's slow start at its first announcement,
	// in milliseconds. Later entries keep it.
	ColdMs int64 `json:"cold_ms,omitempty"`
}

// Entry is one node's record in the directory. It describes the node and its upstream.
type Entry struct {
	// Node is the IP address of the node. Only one node has it at a time.
	Node string `json:"node"`
	// Version orders the entries of one node; the highest wins.
	Version uint64 `json:"version"`
	// Address is the IP address and port at which the node accepts requests of peer nodes.
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Leaving is set while the node shuts down, Removed once it is found dead.
	Leaving bool `json:"leaving,omitempty"`
	Removed bool `json:"removed,omitempty"`
	// Upstream is nil until the upstream has announced itself.
	Upstream *Upstream `json:"upstream,omitempty"`

	// Learned is when this node received or changed the entry. It is not sent to other
	// nodes.
	Learned time.Time `json:"-"`
}

// Serves reports whether calls may be sent to the entry's upstream.
func (e Entry) Serves() bool {
	return !e.Leaving && !e.Removed && e.Upstream != nil && e.Upstream.State == Ready
}

// ColdUntil returns when the upstream's slow start ends, by this node's clock, as long as
// the entry is the first one for the instance; later entries yield a later time.
func (e Entry) ColdUntil() time.Time {
	if e.Upstream == nil {
		return e.Learned
	}
	return e.Learned.Add(time.Duration(e.Upstream.ColdMs) * time.Millisecond)
}

// Same reports whether two entries are equal in all fields that are sent to other nodes.
func (e Entry) Same(other Entry) bool {
	return e.Node == other.Node && e.Version == other.Version && e.Region == other.Region &&
		e.FailureDomain == other.FailureDomain && sameContent(e, other)
}

// leaveMissingIn reports whether the entry shows an upstream that leaves and a newer entry of the
// node does not: its node has restarted and does not know. An upstream without a known incarnation
// is left out, since another start of it may have the same id.
func (e Entry) leaveMissingIn(newer Entry) bool {
	u := e.Upstream
	if u == nil || u.State != Draining || u.Incarnation == 0 {
		return false
	}
	n := newer.Upstream
	return n == nil || n.State == Ready && n.ID == u.ID && n.Incarnation == u.Incarnation
}
