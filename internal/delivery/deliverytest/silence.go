package deliverytest

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Silence makes the kernel drop all packets that arrive for a TCP connection, so that its remote end
// gets no acknowledgement any more, as from an instance that has vanished.
func Silence(t testing.TB, c net.Conn) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
	assert.NilError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	}))
	assert.NilError(t, err)
}
