package membership

import (
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

const (
	// receiveQueueLength is the maximum number of received packets that wait for the
	// protocol.
	receiveQueueLength = 256
	// socketBufferBytes absorbs a burst while the process waits for a CPU.
	socketBufferBytes = 1 << 20
	// maxDatagramBytes is the size of the largest datagram that is read without
	// truncation.
	maxDatagramBytes = 2048
)

// UDP is a Transport over one UDP socket.
type UDP struct {
	conn    *net.UDPConn
	packets chan Datagram
}

// ListenUDP opens a socket at an IP address and port; port 0 selects a free one.
func ListenUDP(address string) (*UDP, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrapf(err, "membership: gossip address %q has to be an IP address and port", address)
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(parsed))
	if err != nil {
		return nil, errors.Wrapf(err, "membership: listen on %s", address)
	}
	// With a smaller buffer than requested, the kernel only drops packets earlier.
	_ = conn.SetReadBuffer(socketBufferBytes)
	u := &UDP{conn: conn, packets: make(chan Datagram, receiveQueueLength)}
	go u.read()
	return u, nil
}

// Address returns the local address of the socket with the port that is in use.
func (u *UDP) Address() string {
	return u.conn.LocalAddr().String()
}

// Send implements Transport.
func (u *UDP) Send(address string, payload []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrapf(err, "membership: gossip address %q has to be an IP address and port", address)
	}
	_, err = u.conn.WriteToUDPAddrPort(payload, to)
	return errors.Wrapf(err, "membership: send to %s", address)
}

// Packets implements Transport.
func (u *UDP) Packets() <-chan Datagram {
	return u.packets
}

// Close implements Transport.
func (u *UDP) Close() error {
	return u.conn.Close()
}

// read receives packets until the socket is closed. A packet that arrives while the
// queue is full is dropped; the protocol tolerates packet loss.
func (u *UDP) read() {
	defer close(u.packets)
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := u.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		datagram := Datagram{From: from.String(), Payload: append([]byte(nil), buffer[:n]...)}
		select {
		case u.packets <- datagram:
		default:
		}
	}
}
