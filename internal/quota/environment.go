package quota

import "time"

// environment is what a meter knows of its node and the fleet.
type environment struct {
	// started is when the process started.
	started time.Time
	// nodes is the number of nodes in the directory.
	nodes int
}
