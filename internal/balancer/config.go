package balancer

import "time"

// Config holds what one node's balancer for one service needs.
type Config struct {
	// Region is the region of this node. Instances in other regions are used only when
	// this region has no instance that is not draining.
	Region string
	// FailureDomain is the failure domain of this node. The instances in it are preferred
	// while their cost is below LocalCostLimit, in calls per slot. With a limit of zero
	// no failure domain is preferred.
	FailureDomain  string
	LocalCostLimit float64
	// StragglerFraction is the largest fraction of the eligible instances that may be
	// ejected, from 0 to 1.
	StragglerFraction float64
	// LearnedCapacity chooses the instances by the expected time to finish a call: by their speed,
	// as this node measures it, and by the slots that they report, which may be fewer than they
	// announced.
	LearnedCapacity bool
	// RampUp is how long an instance that became ready gets less than its usual share
	// of the calls.
	RampUp time.Duration
	// RoundRobin picks the instances in turn and ignores their latencies and loads. It is
	// part of the policy without overload control, which benchmarks use as the baseline to
	// compare with.
	RoundRobin bool
}
