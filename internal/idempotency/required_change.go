package idempotency

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// writeTurnWait is how much longer each next member waits before it writes a
	// change that an earlier one should have written.
	writeTurnWait = 2 * time.Second
	// joinBatch is the wait in which joins are collected for one change.
	joinBatch = 300 * time.Millisecond
	// joinLifetime is how long a request to join counts; the process repeats it.
	joinLifetime = 5 * time.Second
	// halfWait and minorityWait delay the removal of members by a side that sees
	// only half or fewer of them, so that the larger side removes it first.
	halfWait     = 3 * time.Second
	minorityWait = 15 * time.Second
)

// joinRequest is a process that asked to be a member.
type joinRequest struct {
	member Member
	// receivedAt is when it asked last, in unix milliseconds.
	receivedAt int64
}

// changeTimer says since when a change of the record is wanted; zero when none
// is. Unix milliseconds.
type changeTimer struct {
	since int64
}

// rank returns the members in the order in which they write.
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

// requiredChange compares the members of the newest epoch with those alive. It
// adds none beyond limit members.
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
	room := max(0, limit-len(newest.Members)+len(ch.remove))
	ch.add = ch.add[:min(room, len(ch.add))]
	return ch
}

// changeWait returns how long self waits before it writes a change.
func changeWait(service string, newest Epoch, ch memberChange, self Identity) time.Duration {
	order := writeOrder(service, newest.Members)
	wait := joinBatch
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
