package delivery

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// acknowledged returns how many bytes the remote end of a connection has acknowledged and whether
// there are written ones that it has not. For anything but a TCP connection nothing is outstanding.
func acknowledged(c net.Conn) (bytes uint64, outstanding bool) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, false
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			bytes, outstanding = info.Bytes_acked, info.Unacked > 0 || info.Notsent_bytes > 0
		}
	})
	return bytes, outstanding
}
