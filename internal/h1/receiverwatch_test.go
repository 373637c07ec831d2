package h1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/delivery"
	"github.com/mustardwing/mustardwing/internal/delivery/deliverytest"
)

// routeTimeout is how long a call may last in these tests.
const routeTimeout = 5 * time.Second

// sendBody sends a body to a server through a pool as a node uses it for upstreams and peers, and returns
// how long that took.
func sendBody(t *testing.T, address string, bytes int) (time.Duration, error) {
	p := NewPool(PoolConfig{Address: address, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 1, MaxResponseBytes: 1 << 20, DetectDeadPeer: true})
	t.Cleanup(p.Close)
	started := time.Now()
	response, err := p.Do(context.Background(), &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, bytes)}, started.Add(routeTimeout))
	if err == nil {
		assert.Equal(t, response.Status, http.StatusOK)
	}
	return time.Since(started), err
}

// Guards against an upload that is cut off because its receiver, which is alive, pauses before it reads
// the body.
func TestReceiverThatReadsNothingKeepsItsRequest(t *testing.T) {
	for name, c := range map[string]struct {
		bytes, receiveBuffer int
		pause                time.Duration
	}{
		"larger than all buffers":          {16 << 20, 0, routeTimeout - 500*time.Millisecond},
		"larger than the receive buffer":   {360_000, 16 << 10, 2 * time.Second},
		"small body, small receive buffer": {12_000, 4 << 10, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := scriptedServer(t, func(c2 net.Conn, r *bufio.Reader) {
				if c.receiveBuffer > 0 {
					_ = c2.(*net.TCPConn).SetReadBuffer(c.receiveBuffer)
				}
				time.Sleep(c.pause)
				request, err := http.ReadRequest(r)
				if err == nil {
					_, err = io.CopyN(io.Discard, request.Body, int64(c.bytes))
				}
				if err == nil {
					_, _ = io.WriteString(c2, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			})
			took, err := sendBody(t, address, c.bytes)
			assert.NilError(t, err, "after %s", took)
			assert.Assert(t, took >= c.pause)
		})
	}
}

// Guards against a dead receiver that is noticed late: it vanishes before it has read a body, in the
// middle of one, or while it reads nothing.
func TestVanishedReceiverIsNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		bytes int64
		// read is how much of the body is read before, pause how long nothing is read then.
		read  int64
		pause time.Duration
		// within is the bound: a second for what is sent, two for the keep-alive probes of a
		// connection on which all is acknowledged, each with a retransmission or a slow machine.
		within time.Duration
	}{
		"at once":               {16 << 20, 0, 0, 1500 * time.Millisecond},
		"in the middle":         {16 << 20, 4 << 20, 0, 1500 * time.Millisecond},
		"with a closed window":  {16 << 20, 1 << 20, 500 * time.Millisecond, 1500 * time.Millisecond},
		"small body":            {100, 0, 0, 2500 * time.Millisecond},
		"body that has arrived": {20_000, 10, 0, 2500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vanished := make(chan time.Time, 1)
			address := scriptedServer(t, func(conn net.Conn, r *bufio.Reader) {
				request, err := http.ReadRequest(r)
				if err == nil {
					_, _ = io.CopyN(io.Discard, request.Body, c.read)
				}
				time.Sleep(c.pause)
				deliverytest.Silence(t, conn)
				vanished <- time.Now()
				time.Sleep(routeTimeout + time.Second)
			})
			_, err := sendBody(t, address, int(c.bytes))
			noticed := time.Since(<-vanished)
			t.Logf("noticed after %s: %v", noticed, err)
			assert.Assert(t, err != nil)
			assert.Assert(t, noticed < c.within, "%s", noticed)
		})
	}
}

// Guards against a connection that is given up although acknowledgements arrive, and against one that
// is kept although what was sent, data or a probe, has no answer.
func TestReceiverWatchDecides(t *testing.T) {
	const tick = watchInterval
	type step struct {
		p          delivery.Progress
		lift, dead bool
	}
	old := time.Hour
	closed := delivery.Progress{Unsent: true, SinceAck: old}
	probing := delivery.Progress{Unsent: true, Probing: true, SinceAck: old}
	// Bytes were sent lately and not answered.
	inFlight := delivery.Progress{InFlight: true, SinceAck: old}
	// The answer came after they were sent again, but did not acknowledge them.
	again := delivery.Progress{InFlight: true, Unsent: true, SinceAck: old, SinceSend: old}
	repeat := func(n int, s step) []step {
		steps := make([]step, n)
		for i := range steps {
			steps[i] = s
		}
		return steps
	}
	for name, steps := range map[string][]step{
		"all acknowledged":          repeat(20, step{delivery.Progress{SinceAck: old}, false, false}),
		"never answered":            repeat(20, step{inFlight, false, false}),
		"closed window":             repeat(20, step{closed, true, false}),
		"probes of it are answered": repeat(20, step{delivery.Progress{Unsent: true, Probing: true}, true, false}),
		"probes have no answer":     append(append(repeat(1, step{closed, true, false}), repeat(4, step{probing, true, false})...), step{probing, true, true}),
		"silent after a closed one": append(append(repeat(3, step{closed, true, false}), repeat(4, step{inFlight, true, false})...), step{inFlight, true, true}),
		"acknowledgements arrive":   repeat(20, step{delivery.Progress{InFlight: true}, true, false}),
		"sent again and answered":   repeat(20, step{again, true, false}),
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			w := &receiverWatch{observed: now}
			for i, s := range steps {
				now = now.Add(tick)
				lift, dead := w.observe(now, s.p)
				assert.Equal(t, lift, s.lift, "step %d", i)
				assert.Equal(t, dead, s.dead, "step %d", i)
				w.lifted = lift
			}
		})
	}
}
