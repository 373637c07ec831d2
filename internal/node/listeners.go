package node

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/delivery"
	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/nodeconfig"
)

// Addresses are the addresses that a node's listeners are bound to, with the ports
// chosen by the system where port 0 is configured.
type Addresses struct {
	Caller   string `json:"caller"`
	Loopback string `json:"loopback"`
	Peer     string `json:"peer"`
	Gossip   string `json:"gossip"`
	Admin    string `json:"admin"`
}

// listeners holds the listening sockets of a node. A socket is nil until it is open.
type listeners struct {
	caller, loopback, peer, admin *delivery.Listener
	gossip                        *membership.UDP
}

func openListeners(c nodeconfig.Listen) (*listeners, error) {
	l := &listeners{}
	for _, tcp := range []struct {
		name, address string
		listener      **delivery.Listener
	}{
		{"caller", c.Caller, &l.caller},
		{"loopback", c.Loopback, &l.loopback},
		{"peer", c.Peer, &l.peer},
		{"admin", c.Admin, &l.admin},
	} {
		opened, err := net.Listen("tcp", tcp.address)
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "listen.%s %q", tcp.name, tcp.address)
		}
		*tcp.listener = delivery.NewListener(opened)
	}
	gossip, err := membership.ListenUDP(c.Gossip)
	if err != nil {
		l.close()
		return nil, errors.Wrap(err, "listen.gossip")
	}
	l.gossip = gossip
	return l, nil
}

func (l *listeners) addresses() Addresses {
	return Addresses{
		Caller:   l.caller.Addr().String(),
		Loopback: l.loopback.Addr().String(),
		Peer:     l.peer.Addr().String(),
		Gossip:   l.gossip.Address(),
		Admin:    l.admin.Addr().String(),
	}
}

// waitDelivered returns once all callers and peers have taken the responses that were written to
// them, or ctx has ended.
func (l *listeners) waitDelivered(ctx context.Context) {
	for _, listener := range []*delivery.Listener{l.caller, l.loopback, l.peer} {
		listener.Wait(ctx)
	}
}

func (l *listeners) close() {
	for _, listener := range []*delivery.Listener{l.caller, l.loopback, l.peer, l.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if l.gossip != nil {
		_ = l.gossip.Close()
	}
}
