package membership

import (
	"context"
	"sync"
)

// dispatcher calls the subscribers outside the protocol's lock, in order.
type dispatcher struct {
	mu          sync.Mutex
	subscribers []func(Event)
	revisions   []func(Member, int64)
	events      []Event
	seen        []revisionSeen
	ready       chan struct{}
}

func newDispatcher() *dispatcher {
	return &dispatcher{ready: make(chan struct{}, 1)}
}

func (d *dispatcher) subscribe(f func(Event)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.subscribers = append(d.subscribers, f)
}

func (d *dispatcher) subscribeRevisions(f func(Member, int64)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revisions = append(d.revisions, f)
}

func (d *dispatcher) add(events []Event, seen []revisionSeen) {
	if len(events) == 0 && len(seen) == 0 {
		return
	}
	d.mu.Lock()
	d.events = append(d.events, events...)
	// Only the newest announcements matter.
	d.seen = append(d.seen[:0], seen...)
	d.mu.Unlock()
	select {
	case d.ready <- struct{}{}:
	default:
	}
}

func (d *dispatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.ready:
			d.deliver()
		}
	}
}

func (d *dispatcher) deliver() {
	d.mu.Lock()
	events, seen := d.events, d.seen
	d.events, d.seen = nil, nil
	subscribers, revisions := d.subscribers, d.revisions
	d.mu.Unlock()
	for _, event := range events {
		for _, f := range subscribers {
			f(event)
		}
	}
	for _, s := range seen {
		for _, f := range revisions {
			f(s.peer, s.revision)
		}
	}
}
