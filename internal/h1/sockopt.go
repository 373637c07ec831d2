package h1

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux, which package syscall lacks.
const tcpUserTimeout = 0x12

const (
	// probeInterval is the smallest keep-alive interval that the kernel takes.
	probeInterval = time.Second
	// unackedTimeout ends a connection whose peer acknowledges nothing for so
	// long: it is longer than a retransmission and shorter than the probes.
	unackedTimeout = 900 * time.Millisecond
)

// EnableDeadPeerDetection makes a connection that has gone silent fail: data that is not
// acknowledged and unanswered probes end it within about two seconds.
func EnableDeadPeerDetection(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 1})
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
}

// quiet reports whether an idle connection is open and has no byte to read.
func quiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var probe [1]byte
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}
