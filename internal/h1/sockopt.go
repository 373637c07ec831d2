package h1

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall
// lacks.
const tcpUserTimeout = 0x12

const (
	// keepAliveInterval is the smallest keep-alive interval that the kernel accepts.
	keepAliveInterval = time.Second
	// unackedTimeout closes a connection whose remote end acknowledges no data for
	// this long. It is longer than a retransmission takes and shorter than the
	// keep-alive probes take. The kernel also applies it while the remote end acknowledges all that
	// fits into its receive window and reads nothing; see receiverWatch.
	unackedTimeout = 900 * time.Millisecond
)

// EnableDeadPeerDetection makes a TCP connection fail within about two seconds after its
// remote end stops responding: unacknowledged data or an unanswered keep-alive probe closes
// it.
func EnableDeadPeerDetection(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 1})
	setUserTimeout(tcp, unackedTimeout)
}

// setUserTimeout sets how long the kernel waits for an acknowledgement, zero for its default.
func setUserTimeout(c net.Conn, timeout time.Duration) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
}

// noPendingInput reports whether an idle connection is open and has no bytes to
// read.
func noPendingInput(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var peeked [1]byte
	empty := false
	// Read would fail once the deadline of the latest exchange has passed.
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && empty
}
