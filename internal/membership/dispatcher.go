package membership

import (
	"context"
	"sync"
)

// dispatcher calls the subscribers in the order of the events, without holding the
// lock of the protocol.
type dispatcher struct {
	// mu guards all fields except ready. It is not held during a subscriber's call.
	mu                  sync.Mutex
	subscribers         []func(Event)
	revisionSubscribers []func(Member, int64)
	// events and revisions are those that the subscribers have not received yet.
	events    []Event
	revisions []peerRevision
	// ready holds a token after add, until run calls the subscribers.
	ready chan struct{}
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
	d.revisionSubscribers = append(d.revisionSubscribers, f)
}

// add appends events. It replaces the revisions that have not been dispatched yet, also
// when the call passes only events. It never blocks.
func (d *dispatcher) add(events []Event, revisions []peerRevision) {
	if len(events) == 0 && len(revisions) == 0 {
		return
	}
	d.mu.Lock()
	d.events = append(d.events, events...)
	// Only the revisions of the latest call matter.
	d.revisions = append(d.revisions[:0], revisions...)
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
			d.notify()
		}
	}
}

func (d *dispatcher) notify() {
	d.mu.Lock()
	events, revisions := d.events, d.revisions
	d.events, d.revisions = nil, nil
	subscribers, revisionSubscribers := d.subscribers, d.revisionSubscribers
	d.mu.Unlock()
	for _, event := range events {
		for _, f := range subscribers {
			f(event)
		}
	}
	for _, r := range revisions {
		for _, f := range revisionSubscribers {
			f(r.peer, r.revision)
		}
	}
}
