package membership

// queue orders the members whose records still have to be sent. Records sent least
// often go first, so a new update never waits behind old ones. A record is read from
// the table when it is sent; the queue holds only IDs.
type queue struct {
	// transmissions holds the number of transmissions so far by ID.
	transmissions map[string]int
	// byTransmissions holds the IDs by their number of transmissions. It may also hold
	// an ID at an outdated number, which differs from that in transmissions.
	byTransmissions [][]string
}

func newQueue() *queue {
	return &queue{transmissions: map[string]int{}}
}

// push queues the record of id with no transmissions so far. If the record is already
// queued, its transmissions are counted anew.
func (q *queue) push(id string) {
	if count, ok := q.transmissions[id]; ok && count == 0 {
		return
	}
	q.transmissions[id] = 0
	q.append(0, id)
}

func (q *queue) append(count int, id string) {
	for len(q.byTransmissions) <= count {
		q.byTransmissions = append(q.byTransmissions, nil)
	}
	q.byTransmissions[count] = append(q.byTransmissions[count], id)
}

func (q *queue) empty() bool {
	return len(q.transmissions) == 0
}

func (q *queue) has(id string) bool {
	_, ok := q.transmissions[id]
	return ok
}

func (q *queue) clear() {
	clear(q.transmissions)
	q.byTransmissions = nil
}

// take calls accept with the IDs, those with the fewest transmissions first, until accept
// returns false, and counts one more transmission for each ID accepted. An ID with limit
// transmissions is removed.
func (q *queue) take(limit int, accept func(id string) bool) {
	var accepted []string
	for sent := 0; sent < len(q.byTransmissions); sent++ {
		ids := q.byTransmissions[sent]
		consumed := 0
		stopped := false
		for _, id := range ids {
			// Skips an ID at an outdated number of transmissions.
			if count, ok := q.transmissions[id]; !ok || count != sent {
				consumed++
				continue
			}
			if !accept(id) {
				stopped = true
				break
			}
			consumed++
			accepted = append(accepted, id)
		}
		q.byTransmissions[sent] = ids[consumed:]
		if consumed == len(ids) {
			q.byTransmissions[sent] = nil
		}
		if stopped {
			break
		}
	}
	for _, id := range accepted {
		q.advance(id, limit)
	}
}

// advance counts one transmission of id and removes it when it reaches limit.
func (q *queue) advance(id string, limit int) {
	count := q.transmissions[id] + 1
	if count >= limit {
		delete(q.transmissions, id)
		return
	}
	q.transmissions[id] = count
	q.append(count, id)
}
