package membership

// queue orders the members whose records still have to be passed on. Those sent
// least often go first, so a new update never waits behind old ones. A record is
// read from the table when it is sent; the queue holds only ids.
type queue struct {
	sent   map[string]int
	levels [][]string
}

func newQueue() *queue {
	return &queue{sent: map[string]int{}}
}

// push schedules id's record as new.
func (q *queue) push(id string) {
	if count, ok := q.sent[id]; ok && count == 0 {
		return
	}
	q.sent[id] = 0
	q.append(0, id)
}

func (q *queue) append(level int, id string) {
	for len(q.levels) <= level {
		q.levels = append(q.levels, nil)
	}
	q.levels[level] = append(q.levels[level], id)
}

func (q *queue) empty() bool {
	return len(q.sent) == 0
}

func (q *queue) has(id string) bool {
	_, ok := q.sent[id]
	return ok
}

func (q *queue) clear() {
	clear(q.sent)
	q.levels = nil
}

// take offers ids in order until accept refuses one, and counts one more
// transmission for each accepted id. An id reaching limit is dropped.
func (q *queue) take(limit int, accept func(id string) bool) {
	var moved []string
	for level := 0; level < len(q.levels); level++ {
		ids := q.levels[level]
		used := 0
		full := false
		for _, id := range ids {
			// An entry left over from before a push is skipped.
			if count, ok := q.sent[id]; !ok || count != level {
				used++
				continue
			}
			if !accept(id) {
				full = true
				break
			}
			used++
			moved = append(moved, id)
		}
		q.levels[level] = ids[used:]
		if used == len(ids) {
			q.levels[level] = nil
		}
		if full {
			break
		}
	}
	for _, id := range moved {
		q.advance(id, limit)
	}
}

func (q *queue) advance(id string, limit int) {
	count := q.sent[id] + 1
	if count >= limit {
		delete(q.sent, id)
		return
	}
	q.sent[id] = count
	q.append(count, id)
}
