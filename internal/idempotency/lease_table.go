package idempotency

import "math"

// unlimited is the lease of a member that will never write again.
const unlimited = math.MaxInt64

// leaseTable holds the leases one member gave and received. All times are unix
// milliseconds.
type leaseTable struct {
	// given holds the highest lease ever given to a member, whatever epoch it
	// named.
	given map[Identity]int64
	// received holds the leases received under the newest epoch.
	received map[Identity]int64
	// departed holds the members that gave an unlimited lease.
	departed map[Identity]bool
}

func newLeaseTable() *leaseTable {
	return &leaseTable{
		given:    make(map[Identity]int64),
		received:     make(map[Identity]int64),
		departed: make(map[Identity]bool),
	}
}

// give records a lease before it is sent and returns the one to send, which is
// never lower than an earlier one.
func (l *leaseTable) give(to Identity, until int64) int64 {
	l.given[to] = max(l.given[to], until)
	return l.given[to]
}

func (l *leaseTable) receive(from Identity, until int64) {
	l.received[from] = max(l.received[from], until)
}

// changeEpoch drops the leases received under the former epoch. Leases given to
// former members stay until every later start is above them anyway.
func (l *leaseTable) changeEpoch(newest Epoch) {
	clear(l.received)
	for id, until := range l.given {
		if until <= newest.Start && !newest.Has(id) {
			delete(l.given, id)
		}
	}
}

// forgetDeparted drops the departed that are neither members nor alive.
func (l *leaseTable) forgetDeparted(newest Epoch, live map[Identity]Member) {
	for id := range l.departed {
		if _, alive := live[id]; !alive && !newest.Has(id) {
			delete(l.departed, id)
		}
	}
}

// smallestReceived returns the smallest lease from the members other than self,
// unlimited when there are none.
func (l *leaseTable) smallestReceived(self Identity, members []Member) int64 {
	smallest := int64(unlimited)
	for _, m := range members {
		if m.Identity != self {
			smallest = min(smallest, l.received[m.Identity])
		}
	}
	return smallest
}

// highestGiven returns the highest lease given to any of the members.
func (l *leaseTable) highestGiven(members []Member) int64 {
	highest := int64(0)
	for _, m := range members {
		highest = max(highest, l.given[m.Identity])
	}
	return highest
}
