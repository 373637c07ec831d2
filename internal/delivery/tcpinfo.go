package delivery

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Progress is what the kernel knows of the bytes written to a TCP connection.
type Progress struct {
	// Acked is the number of bytes that the remote end has acknowledged.
	Acked uint64
	// InFlight is set while bytes are sent and not acknowledged, Unsent while bytes are not sent.
	InFlight, Unsent bool
	// Probing is set while a probe of a closed receive window has no answer.
	Probing bool
	// SinceAck is the time since the latest acknowledgement, of whatever number, and SinceSend the time
	// since bytes were sent last, also once more.
	SinceAck, SinceSend time.Duration
}

// Outstanding reports whether the remote end has not acknowledged all bytes.
func (p Progress) Outstanding() bool {
	return p.InFlight || p.Unsent
}

// ReadProgress returns the progress of a connection, and false if it is no TCP connection or closed.
func ReadProgress(c net.Conn) (Progress, bool) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return Progress{}, false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return Progress{}, false
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if controlErr != nil || err != nil {
		return Progress{}, false
	}
	return Progress{
		Acked: info.Bytes_acked, InFlight: info.Unacked > 0, Unsent: info.Notsent_bytes > 0, Probing: info.Probes > 0,
		SinceAck: time.Duration(info.Last_ack_recv) * time.Millisecond, SinceSend: time.Duration(info.Last_data_sent) * time.Millisecond,
	}, true
}
