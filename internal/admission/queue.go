package admission

import (
	"slices"
	"sort"

	"github.com/mustardwing/mustardwing/internal/invariant"
)

// queue holds queued calls in the order in which they are served. A queue is short, so
// a sorted slice is cheaper than a tree.
type queue struct {
	tickets []*ticket
}

func (q *queue) length() int {
	return len(q.tickets)
}

// position returns the number of queued calls that are served before t.
func (q *queue) position(t *ticket) int {
	return sort.Search(len(q.tickets), func(i int) bool {
		return !q.tickets[i].before(t)
	})
}

func (q *queue) insert(t *ticket) {
	i := q.position(t)
	q.tickets = slices.Insert(q.tickets, i, t)
	invariant.Check(i == 0 || q.tickets[i-1].before(t), "admission queue order",
		"ticket %d does not follow its predecessor at position %d", t.sequence, i)
}

// remove removes t and reports whether it was in the queue.
func (q *queue) remove(t *ticket) bool {
	i := q.position(t)
	if i == len(q.tickets) || q.tickets[i] != t {
		return false
	}
	q.tickets = slices.Delete(q.tickets, i, i+1)
	return true
}

func (q *queue) first() *ticket {
	if len(q.tickets) == 0 {
		return nil
	}
	return q.tickets[0]
}

func (q *queue) last() *ticket {
	if len(q.tickets) == 0 {
		return nil
	}
	return q.tickets[len(q.tickets)-1]
}
