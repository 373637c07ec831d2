package balancer

import "time"

// Instance is one upstream instance that could take a call.
type Instance struct {
	ID                    string
	Incarnation           uint64
	Region, FailureDomain string
	// PeerAddress is where the node beside it takes forwarded calls.
	PeerAddress string
	Slots       int
	Draining    bool
	// ReadySince is when the upstream became ready.
	ReadySince time.Time
}
