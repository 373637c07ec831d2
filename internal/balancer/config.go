package balancer

import "time"

// Config holds the settings of one service as seen by one node.
type Config struct {
	// Region of this node; other regions are used only when it has no instance.
	Region string
	// FailureDomain of this node. Its instances are preferred while their cost is
	// below LocalCostLimit, in calls per slot; zero prefers none.
	FailureDomain     string
	LocalCostLimit    float64
	StragglerFraction float64
	RampUp            time.Duration
	// RoundRobin ignores all measurements; it is the baseline.
	RoundRobin bool
}
