package balancer

import "time"

// Instance describes one upstream instance of a service.
type Instance struct {
	ID                    string
	Incarnation           uint64
	Region, FailureDomain string
	// PeerAddress is where the upstream's node accepts forwarded calls.
	PeerAddress string
	// Slots is the number of calls that the upstream can run at a time.
	Slots    int
	Draining bool
	// ReadySince is when the upstream became ready, as far as this node knows.
	ReadySince time.Time
}
