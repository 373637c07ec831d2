package quota

// counters count the requests of an organisation at one node since its meter was created.
type counters struct {
	asked, admitted, returned uint64
}

// since returns the counts after an earlier state, zero where that is not earlier.
func (c counters) since(earlier counters) counters {
	return counters{
		asked:    c.asked - min(c.asked, earlier.asked),
		admitted: c.admitted - min(c.admitted, earlier.admitted),
		returned: c.returned - min(c.returned, earlier.returned),
	}
}

// least returns the smaller count of each kind.
func (c counters) least(other counters) counters {
	return counters{asked: min(c.asked, other.asked), admitted: min(c.admitted, other.admitted), returned: min(c.returned, other.returned)}
}
