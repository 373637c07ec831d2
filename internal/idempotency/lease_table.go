package idempotency

import "math"

// unlimited is after every issue time. As the end of a lease, it means that the member
// which gave the lease will never write again; elsewhere it means that there is no limit.
const unlimited = math.MaxInt64

// leaseTable holds the leases that one member gave and received. A lease is held as its
// end, an issue time in unix milliseconds: the receiver may grant keys issued before it.
type leaseTable struct {
	// given holds the latest lease end ever given to each member, in any epoch.
	given map[Identity]int64
	// received holds the latest lease end received from each member under the newest
	// epoch.
	received map[Identity]int64
	// departed holds the members that gave an unlimited lease.
	departed map[Identity]bool
}

func newLeaseTable() *leaseTable {
	return &leaseTable{
		given:    make(map[Identity]int64),
		received: make(map[Identity]int64),
		departed: make(map[Identity]bool),
	}
}

// give records a lease before it is sent. It returns the lease end to send, which is
// never before that of an earlier lease.
func (l *leaseTable) give(to Identity, until int64) int64 {
	l.given[to] = max(l.given[to], until)
	return l.given[to]
}

func (l *leaseTable) receive(from Identity, until int64) {
	l.received[from] = max(l.received[from], until)
}

// changeEpoch removes the leases received under the previous epoch. A lease given
// to a former member stays until it no longer exceeds the start of the newest
// epoch; from then on every later start is above it anyway.
func (l *leaseTable) changeEpoch(newest Epoch) {
	clear(l.received)
	for id, until := range l.given {
		if until <= newest.Start && !newest.Has(id) {
			delete(l.given, id)
		}
	}
}

// removeDeparted removes departed members that are neither in the newest epoch
// nor alive.
func (l *leaseTable) removeDeparted(newest Epoch, live map[Identity]Member) {
	for id := range l.departed {
		if _, alive := live[id]; !alive && !newest.Has(id) {
			delete(l.departed, id)
		}
	}
}

// smallestReceived returns the earliest lease end received from the members other than
// self: zero when one of them gave none, unlimited when there are no others.
func (l *leaseTable) smallestReceived(self Identity, members []Member) int64 {
	smallest := int64(unlimited)
	for _, m := range members {
		if m.Identity != self {
			smallest = min(smallest, l.received[m.Identity])
		}
	}
	return smallest
}

// highestGiven returns the latest lease end given to any of the members, or zero.
func (l *leaseTable) highestGiven(members []Member) int64 {
	highest := int64(0)
	for _, m := range members {
		highest = max(highest, l.given[m.Identity])
	}
	return highest
}
