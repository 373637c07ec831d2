package upstream_test

import (
	"bufio"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/settings"
	"github.com/mustardwing/mustardwing/internal/upstream"
)

type fixedSettings struct{}

func (fixedSettings) Resolve(settings.Path) settings.Values { return settings.Defaults() }

// scriptedConn is the upstream's end of a connection, on which a script simulates the
// upstream.
type scriptedConn struct {
	net.Conn
	reader *bufio.Reader
}

// readRequest reads a request with its body and returns its attempt id.
func (e scriptedConn) readRequest() (string, error) {
	r, err := http.ReadRequest(e.reader)
	if err != nil {
		return "", err
	}
	buffer := make([]byte, 1024)
	for err == nil {
		_, err = r.Body.Read(buffer)
	}
	return r.Header.Get(call.HeaderAttempt), nil
}

func (e scriptedConn) write(text string) { _, _ = e.Write([]byte(text)) }

// scriptedUpstream runs a script on each connection and then closes it.
func scriptedUpstream(t *testing.T, script func(scriptedConn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				script(scriptedConn{c, bufio.NewReader(c)})
			}()
		}
	}()
	return l.Addr().String()
}

// announced returns an Upstream to which an upstream with two slots and at most three
// connections has announced itself as not ready.
func announced(t *testing.T, address string, refusesBeforeWork bool) *upstream.Upstream {
	u := upstream.New(upstream.Config{Settings: fixedSettings{}})
	t.Cleanup(u.Close)
	assert.NilError(t, u.Announce(upstream.Announcement{
		Service: "search", Address: address, Slots: 2, MaxConnections: 3, RefusesBeforeWork: refusesBeforeWork,
	}))
	return u
}

func metadata(idempotent bool) call.Metadata {
	m := call.Metadata{
		RequestID: uuid.Must(uuid.NewV7()), Attempt: uuid.New(), Service: "search", Kind: "default",
		Priority: call.Normal, Deadline: time.Now().Add(time.Minute), Idempotent: idempotent,
	}
	m.Lineage = m.RequestID
	if !idempotent {
		m.Key = m.Lineage
	}
	return m
}

func request(t *testing.T, method, body string) *http.Request {
	r, err := http.NewRequest(method, "http://search.example/path", strings.NewReader(body))
	assert.NilError(t, err)
	if body == "" {
		r.Body = http.NoBody
	}
	return r
}

// boundPort is a bound port that refuses connections until listen is called and
// that no other process can bind meanwhile.
type boundPort struct {
	t       *testing.T
	file    *os.File
	address string
}

// bindPort binds a free loopback port.
func bindPort(t *testing.T) boundPort {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	file := os.NewFile(uintptr(fd), "port")
	t.Cleanup(func() { _ = file.Close() })
	assert.NilError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := syscall.Getsockname(fd)
	assert.NilError(t, err)
	return boundPort{t, file, net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))}
}

func (p boundPort) listen() net.Listener {
	assert.NilError(p.t, syscall.Listen(int(p.file.Fd()), 16))
	l, err := net.FileListener(p.file)
	assert.NilError(p.t, err)
	p.t.Cleanup(func() { _ = l.Close() })
	return l
}

// counter counts connections to an upstream, or requests that it has received in
// whole or in part.
type counter struct{ atomic.Int32 }
