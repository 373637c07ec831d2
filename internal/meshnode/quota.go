package meshnode

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/organisation"
	"github.com/mustardwing/mustardwing/internal/quota"
	"github.com/mustardwing/mustardwing/internal/routing"
	"github.com/mustardwing/mustardwing/internal/supervise"
)

const (
	// quotaSocketBytes holds the datagrams that arrive while the process waits for a CPU.
	quotaSocketBytes = 256 << 10
	// quotaSocketPause is the time between two attempts to open the socket.
	quotaSocketPause = time.Second
	// quotaLogGap is the least time before the beginning of a limit is logged after another line about
	// the organisation.
	quotaLogGap = time.Second
)

// quotas connects the quota decisions of this node with the other nodes, by datagrams on the port
// of the peer listener. It implements mesh.Quotas. Until a configuration has an organisation with
// a quota, it opens no socket and sets no timer.
type quotas struct {
	address netip.AddrPort
	node    *quota.Node
	log     zerolog.Logger
	// needed is closed once an organisation has a quota.
	needed     chan struct{}
	neededOnce sync.Once
	timer      *time.Timer

	refused, sent, received, invalid, unsent tally.Counter

	// configureMu guards version, the version of the organisations that were applied last.
	configureMu sync.Mutex
	version     uint64

	mu   sync.Mutex
	conn *net.UDPConn
	// logged holds the last line about each organisation that was limited, by its name.
	logged map[string]loggedLimit
}

// loggedLimit is a log line that says whether the quota of an organisation limits its requests.
type loggedLimit struct {
	limited bool
	at      time.Time
}

func newQuotas(address string, started time.Time, log zerolog.Logger, scope tally.Scope) *quotas {
	q := &quotas{
		log: log, needed: make(chan struct{}), logged: make(map[string]loggedLimit),
		refused: scope.Counter("quota_refusals"), sent: scope.Counter("quota_datagrams_sent"),
		received: scope.Counter("quota_datagrams_received"), invalid: scope.Counter("quota_datagrams_invalid"),
		unsent: scope.Counter("quota_datagrams_unsent"),
	}
	q.address, _ = netip.ParseAddrPort(address)
	q.timer = time.AfterFunc(time.Hour, func() {
		supervise.Once(log, "quota reports", func() { q.send(q.node.Poll(time.Now())) })
	})
	q.timer.Stop()
	q.node = quota.New(quota.Config{
		Self: q.address, Incarnation: uint64(max(1, time.Now().UnixMilli())), Started: started, Random: rand.Float64,
		Wake: func(after time.Duration) { q.timer.Reset(after) }, OnLimited: q.logLimited,
	})
	return q
}

// Take implements mesh.Quotas.
func (q *quotas) Take(now time.Time, o *organisation.Organisation) (time.Duration, bool) {
	retryAfter, ok := q.node.Take(now, xxhash.Sum64String(o.Name))
	if !ok {
		q.refused.Inc(1)
	}
	return retryAfter, ok
}

// Return implements mesh.Quotas.
func (q *quotas) Return(arrived time.Time, o *organisation.Organisation) {
	q.node.Return(time.Now(), arrived, xxhash.Sum64String(o.Name))
}

// configure applies the organisations of a configuration. Tables may arrive out of order; older ones
// are ignored.
func (q *quotas) configure(table *routing.Table) {
	q.configureMu.Lock()
	defer q.configureMu.Unlock()
	if table.Version <= q.version {
		return
	}
	q.version = table.Version
	limited := make(map[uint64]quota.Organisation)
	table.Organisations.Each(func(o *organisation.Organisation) {
		if o.Limited() {
			limited[xxhash.Sum64String(o.Name)] = quota.Organisation{Name: o.Name, Limit: quota.Limit{Rate: o.Rate, Burst: o.Burst}}
		}
	})
	q.node.SetOrganisations(limited)
	if len(limited) > 0 {
		q.neededOnce.Do(func() { close(q.needed) })
	}
}

// setFleet applies the nodes of the directory.
func (q *quotas) setFleet(d *directory.Directory) {
	var all []quota.Peer
	add := func(e directory.Entry) {
		if address, err := netip.ParseAddrPort(e.Address); err == nil {
			all = append(all, quota.Peer{Address: address, Leaving: e.Leaving})
		}
	}
	d.EachPeer(add)
	add(d.Self())
	q.node.SetPeers(all)
}

// run opens the socket once an organisation has a quota, and takes in datagrams until ctx ends.
func (q *quotas) run(ctx context.Context) {
	select {
	case <-q.needed:
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		supervise.Once(q.log, "quota datagrams", func() {
			if err := q.receive(ctx); err != nil {
				q.log.Error().Err(err).Msg("quotas are not shared with other nodes")
			}
		})
		select {
		case <-time.After(quotaSocketPause):
		case <-ctx.Done():
		}
	}
}

// receive takes in datagrams until ctx ends or the socket fails.
func (q *quotas) receive(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(q.address))
	if err != nil {
		return errors.Wrapf(err, "listen on %s", q.address)
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	// With a smaller buffer than requested, the kernel only drops datagrams earlier.
	_ = conn.SetReadBuffer(quotaSocketBytes)
	q.setConn(conn)
	defer q.setConn(nil)
	buffer := make([]byte, quota.MaxDatagramBytes+1)
	for {
		length, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "read a datagram")
		}
		q.received.Inc(1)
		out, err := q.node.Receive(time.Now(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:length])
		if err != nil {
			q.invalid.Inc(1)
			continue
		}
		q.send(out)
	}
}

func (q *quotas) setConn(conn *net.UDPConn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.conn = conn
}

// open reports whether the socket is open.
func (q *quotas) open() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.conn != nil
}

// send sends datagrams. The decisions allow for losses, so a failure is only counted.
func (q *quotas) send(datagrams []quota.Datagram) {
	if len(datagrams) == 0 {
		return
	}
	q.mu.Lock()
	conn := q.conn
	q.mu.Unlock()
	for _, d := range datagrams {
		if conn == nil {
			q.unsent.Inc(1)
		} else if _, err := conn.WriteToUDPAddrPort(d.Payload, d.To); err != nil {
			q.unsent.Inc(1)
		} else {
			q.sent.Inc(1)
		}
	}
}

// logLimited logs that the requests of an organisation exceed its quota, or no longer do. It leaves
// out a beginning soon after the last line, together with its end.
func (q *quotas) logLimited(o quota.Organisation, probability float64) {
	limited := probability < 1
	now := time.Now()
	q.mu.Lock()
	last := q.logged[o.Name]
	due := limited != last.limited && (!limited || now.Sub(last.at) >= quotaLogGap)
	if due {
		q.logged[o.Name] = loggedLimit{limited: limited, at: now}
	}
	q.mu.Unlock()
	if !due {
		return
	}
	message := "quota of an organisation applies"
	if !limited {
		message = "quota of an organisation no longer applies"
	}
	q.log.Info().Str("organisation", o.Name).Float64("rate", o.Limit.Rate).Float64("burst", o.Limit.Burst).
		Float64("probability", probability).Msg(message)
}
