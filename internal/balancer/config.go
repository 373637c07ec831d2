package balancer

import "time"

// Config holds the settings of one service as seen by one node.
type Config struct {
	// Region is the region of this node. Other regions are used only when it has no
	// ready instance.
	Region string
	// FailureDomain is the failure domain of this node. Its instances are preferred
	// while their cost is below LocalCostLimit, in calls per slot. With a limit of zero
	// none are preferred.
	FailureDomain  string
	LocalCostLimit float64
	// StragglerFraction is the largest fraction of the instances that may be ejected.
	StragglerFraction float64
	// RampUp is how long an instance that became ready gets less than its usual share
	// of the calls.
	RampUp time.Duration
	// RoundRobin picks the instances in turn and ignores all measurements. It is the
	// baseline policy.
	RoundRobin bool
}
