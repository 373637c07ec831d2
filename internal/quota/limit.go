package quota

// Limit is the quota of an organisation over all nodes together.
type Limit struct {
	// Rate is in requests per second, Burst the number of requests beyond it.
	Rate, Burst float64
}
