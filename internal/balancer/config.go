package balancer

import "time"

// Config holds the settings of one service as seen by one node.
type Config struct {
	// Region of this node; other regions are used only when it has no instance.
	Region string
	// FailureDomain of this node. Its instances are preferred while their cost is
	// below LocalCost, in calls per slot; zero prefers none.
	FailureDomain  string
	LocalCost      float64
	StragglerShare float64
	RampUp         time.Duration
	// RoundRobin ignores all measurements; it is the baseline.
	RoundRobin bool
}
