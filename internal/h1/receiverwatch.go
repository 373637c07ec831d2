package h1

import (
	"net"
	"time"

	"github.com/mustardwing/mustardwing/internal/delivery"
)

// watchInterval is how often a receiverWatch examines its connection: several times within
// unackedTimeout, so that it sees a closed window before the kernel gives the connection up.
const watchInterval = 200 * time.Millisecond

// receiverWatch detects a dead remote end while it takes a request. The kernel's timeout cannot tell it
// from one that is alive and does not read: it runs while the receive window is closed, although the
// remote end answers all probes of the window and all bytes that are sent again. So the watch lifts
// that timeout as long as acknowledgements arrive, and closes the connection once none answers what
// was sent.
type receiverWatch struct {
	conn net.Conn
	// lifted is set while the kernel's timeout is lifted.
	lifted bool
	// observed is when the connection was examined last. unanswered is since when what was sent last,
	// bytes or a probe of a closed window, has no answer, zero if that is not so. Bytes that are sent
	// again into a window that has become smaller are answered, though not acknowledged.
	observed, unanswered time.Time

	timer *time.Timer
	// stop is closed to end the watch, ended when it has ended.
	stop, ended chan struct{}
}

// watchReceiver begins to watch a connection if the request is still under way after watchInterval.
func watchReceiver(c net.Conn) *receiverWatch {
	w := &receiverWatch{conn: c, observed: time.Now(), stop: make(chan struct{}), ended: make(chan struct{})}
	w.timer = time.AfterFunc(watchInterval, w.run)
	return w
}

// end ends the watch and restores the kernel's timeout.
func (w *receiverWatch) end() {
	if w.timer.Stop() {
		return
	}
	close(w.stop)
	<-w.ended
}

// run watches the connection until the watch is ended.
func (w *receiverWatch) run() {
	defer close(w.ended)
	defer w.lift(false)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		p, ok := delivery.ReadProgress(w.conn)
		if !ok {
			return
		}
		lift, dead := w.observe(time.Now(), p)
		if dead {
			_ = w.conn.Close()
			return
		}
		w.lift(lift)
		select {
		case <-w.stop:
			return
		case <-ticker.C:
		}
	}
}

// observe decides whether the kernel's timeout must be lifted and whether the remote end is dead.
func (w *receiverWatch) observe(now time.Time, p delivery.Progress) (lift, dead bool) {
	acknowledged := p.SinceAck <= now.Sub(w.observed)
	w.observed = now
	waits := p.Probing || p.InFlight && p.SinceSend < p.SinceAck
	switch {
	case !waits || acknowledged:
		w.unanswered = time.Time{}
	case w.unanswered.IsZero():
		w.unanswered = now
	}
	lift = p.Outstanding() && (w.lifted || w.unanswered.IsZero())
	dead = w.lifted && !w.unanswered.IsZero() && now.Sub(w.unanswered) >= unackedTimeout-watchInterval
	return lift, dead
}

// lift lifts the kernel's timeout or restores it.
func (w *receiverWatch) lift(lifted bool) {
	if lifted == w.lifted {
		return
	}
	w.lifted = lifted
	timeout := unackedTimeout
	if lifted {
		timeout = 0
	}
	setUserTimeout(w.conn, timeout)
}
