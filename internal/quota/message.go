package quota

import (
	"net/netip"
	"time"
)

// report is what a node tells the tally node of some organisations.
type report struct {
	// incarnation is the start of the sender's process; sequence orders its datagrams.
	incarnation, sequence uint64
	entries               []reportEntry
}

// reportEntry is the part of a report about one organisation.
type reportEntry struct {
	// organisation is the hash of the name.
	organisation uint64
	// epoch identifies the meter among those of one incarnation.
	epoch uint64
	// total are the counters of the meter, unconfirmed those since the last report that a tally
	// node has confirmed.
	total, unconfirmed counters
	// span is the time since the first request that is not confirmed.
	span time.Duration
	// probability is the one in force at the sender.
	probability float64
	// moved is set until the first ruling of another tally node, or of one that has restarted.
	moved bool
}

// ruling is what a tally node decides for some organisations.
type ruling struct {
	incarnation, sequence uint64
	// confirmed is the sequence of the report that it answers, zero if it answers none.
	confirmed uint64
	entries   []rulingEntry
}

// rulingEntry is the part of a ruling about one organisation.
type rulingEntry struct {
	organisation uint64
	// probability is the one with which nodes admit a request.
	probability float64
	// provisional is set while the tally node knows too little of the demand.
	provisional bool
	// relaxed is set while the organisation is far below its quota.
	relaxed bool
}

// addressedReport is a report to one node.
type addressedReport struct {
	to netip.AddrPort
	report
}
