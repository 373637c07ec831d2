package platformtest

// Counts holds the number of calls of each kind, including failed and
// rate-limited ones.
type Counts struct {
	Gets    int64 `json:"gets"`
	Lists   int64 `json:"lists"`
	Updates int64 `json:"updates"`
	Deletes int64 `json:"deletes"`
	Watches int64 `json:"watches"`
	// Waiting is the number of watches that currently wait for a change.
	Waiting int64 `json:"waiting"`
	// Limited is the number of calls refused by a rate limit.
	Limited int64 `json:"limited"`
}

// Reads returns the number of calls that count against the read rate.
func (c Counts) Reads() int64 {
	return c.Gets + c.Lists + c.Watches
}

// Writes returns the number of calls that count against the write rate.
func (c Counts) Writes() int64 {
	return c.Updates + c.Deletes
}
