package balancer

import "time"

// Instance describes one upstream instance of a service.
type Instance struct {
	ID string
	// Incarnation changes when the upstream's node starts again under the same ID.
	Incarnation uint64
	// Region and FailureDomain are where the instance runs.
	Region, FailureDomain string
	// PeerAddress is where the upstream's node accepts forwarded calls.
	PeerAddress string
	// Slots is the number of calls that the upstream can run at a time.
	Slots int
	// Draining is set while the instance accepts no new calls.
	Draining bool
	// ReadySince is when the upstream became ready, as far as this node knows.
	ReadySince time.Time
}
