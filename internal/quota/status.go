package quota

// Status is the use of one organisation's quota by all nodes, as its tally node knows it.
type Status struct {
	Organisation string `json:"organisation"`
	// Rate and Burst are the limit.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Asked and Used are the requests per second that callers sent lately, and those of them
	// that were admitted and not returned.
	Asked float64 `json:"asked"`
	Used  float64 `json:"used"`
	// Refused is the number of requests refused since this node has kept the tally.
	Refused uint64 `json:"refused"`
	// Probability is the one with which nodes admit a request.
	Probability float64 `json:"probability"`
}
