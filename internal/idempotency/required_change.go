package idempotency

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// writeTurnWait is how much longer each member waits than the previous one in
	// write order, before it writes a change that the previous one should have
	// written.
	writeTurnWait = 2 * time.Second
	// joinBatchWait is how long join requests are collected for one change.
	joinBatchWait = 300 * time.Millisecond
	// joinLifetime is how long a join request remains valid. The joining process sends
	// another one before that, unless there are already MaxMembers members.
	joinLifetime = 5 * time.Second
	// halfWait and minorityWait delay the removal of members by one side of a partition,
	// so that the other side removes that side first. halfWait applies to a side with half
	// of the members but without the first one in write order, minorityWait to a side with
	// fewer than half.
	halfWait     = 3 * time.Second
	minorityWait = 15 * time.Second
)

// joinRequest is the latest request of a process to join.
type joinRequest struct {
	member Member
	// receivedAt is when the request was received, in unix milliseconds.
	receivedAt int64
}

// changeTimer holds since when a change of the record is required, in unix
// milliseconds; zero when none is.
type changeTimer struct {
	since int64
}

// writeOrder returns the members in the order in which they write the record: a
// change is written by the first member, and by a later one if the earlier ones fail to.
func writeOrder(service string, members []Member) []Member {
	ordered := append([]Member(nil), members...)
	sort.Slice(ordered, func(i, j int) bool {
		a, b := writeOrderHash(service, ordered[i]), writeOrderHash(service, ordered[j])
		return a > b || a == b && ordered[i].ID < ordered[j].ID
	})
	return ordered
}

func writeOrderHash(service string, m Member) uint64 {
	return xxhash.Sum64String(service + "\x00" + m.ID)
}

// requiredChange returns the change from the members of the newest epoch to the live
// processes and those that are joining. Departed processes, which gave an unlimited
// lease, and those with an outdated incarnation do not stay and are not added. It adds no
// member beyond limit.
func requiredChange(newest Epoch, live map[Identity]Member, departed map[Identity]bool, joining []Member, limit int) memberChange {
	var ch memberChange
	incarnations := make(map[string]uint64)
	candidates := joining
	for _, m := range live {
		candidates = append(candidates, m)
	}
	candidates = append(candidates, newest.Members...)
	for _, m := range candidates {
		incarnations[m.ID] = max(incarnations[m.ID], m.Incarnation)
	}
	for _, m := range newest.Members {
		_, alive := live[m.Identity]
		if !alive || departed[m.Identity] || incarnations[m.ID] > m.Incarnation {
			ch.remove = append(ch.remove, m.Identity)
		}
	}
	added := make(map[Identity]bool)
	for _, m := range candidates {
		superseded := incarnations[m.ID] > m.Incarnation
		if added[m.Identity] || newest.Has(m.Identity) || departed[m.Identity] || superseded {
			continue
		}
		added[m.Identity] = true
		ch.add = append(ch.add, m)
	}
	sort.Slice(ch.add, func(i, j int) bool { return ch.add[i].ID < ch.add[j].ID })
	free := max(0, limit-len(newest.Members)+len(ch.remove))
	ch.add = ch.add[:min(free, len(ch.add))]
	return ch
}

// changeWait returns how long self waits, once a change is required, before self writes
// the change.
func changeWait(service string, newest Epoch, ch memberChange, self Identity) time.Duration {
	order := writeOrder(service, newest.Members)
	wait := joinBatchWait
	if len(ch.remove) > 0 {
		wait = removalWait(order, ch)
	}
	for _, m := range order {
		if m.Identity == self {
			break
		}
		if !ch.removes(m.Identity) {
			wait += writeTurnWait
		}
	}
	return wait
}

// removalWait returns how long the first staying member in write order waits before it
// removes those that do not stay: not at all if more than half of the members stay, or
// half of them with the first one in the order.
func removalWait(order []Member, ch memberChange) time.Duration {
	staying := 0
	for _, m := range order {
		if !ch.removes(m.Identity) {
			staying++
		}
	}
	switch {
	case 2*staying > len(order):
		return 0
	case 2*staying == len(order) && !ch.removes(order[0].Identity):
		return 0
	case 2*staying == len(order):
		return halfWait
	default:
		return minorityWait
	}
}
