// Package faultproxy is a TCP proxy that injects faults: it delays data, holds it
// back, and closes or resets connections.
package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Proxy forwards connections to one target.
type Proxy struct {
	listener net.Listener

	mu sync.Mutex
	// target is empty until Start or SetTarget has set it.
	target string
	fault  Fault
	// changed is closed and replaced on every change of target, fault or closed.
	changed chan struct{}
	conns   map[*connection]struct{}
	closed  bool
}

// Start listens and forwards to target. With an empty target, connections wait
// until SetTarget is called.
func Start(listen, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", listen)
	}
	p := &Proxy{listener: listener, target: target, changed: make(chan struct{}), conns: make(map[*connection]struct{})}
	go p.accept()
	return p, nil
}

// Addr returns the address that clients connect to.
func (p *Proxy) Addr() string {
	return p.listener.Addr().String()
}

// SetFault changes the fault for open and new connections.
func (p *Proxy) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.notifyAll()
	if f.Mode == Cut || f.Mode == Reset {
		p.closeConnections(f.Mode == Reset)
	}
}

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = address
	p.notifyAll()
}

// Close stops the proxy and all its connections.
func (p *Proxy) Close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.notifyAll()
	p.closeConnections(false)
	return p.listener.Close()
}

// notifyAll wakes the goroutines that wait for a change. The lock must be held.
func (p *Proxy) notifyAll() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// closeConnections closes all connections, with a TCP reset if reset is set. The lock
// must be held.
func (p *Proxy) closeConnections(reset bool) {
	for c := range p.conns {
		c.close(reset)
	}
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

// serve forwards the data of one client in both directions until the connection ends.
func (p *Proxy) serve(client *net.TCPConn) {
	if mode := p.current().Mode; mode == Cut || mode == Reset {
		closeTCP(client, mode == Reset)
		return
	}
	dialed, err := net.DialTimeout("tcp", p.waitForTarget(), 5*time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &connection{client: client, server: dialed.(*net.TCPConn), cancel: cancel}
	if !p.add(c) {
		c.close(false)
		return
	}
	defer p.remove(c)
	var wg sync.WaitGroup
	wg.Go(func() { p.copyDirection(ctx, c, c.server, c.client, ToServer) })
	wg.Go(func() { p.copyDirection(ctx, c, c.client, c.server, ToClient) })
	wg.Wait()
}

// waitForTarget returns the target as soon as it is set, or an empty string when
// the proxy is closed first.
func (p *Proxy) waitForTarget() string {
	for {
		p.mu.Lock()
		target, changed, closed := p.target, p.changed, p.closed
		p.mu.Unlock()
		if target != "" || closed {
			return target
		}
		<-changed
	}
}

// add registers a connection and returns false when the proxy is closed.
func (p *Proxy) add(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *connection) {
	c.close(false)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copyDirection copies data from src to dst, in direction d, until src ends or fails or a
// fault closes the connection.
func (p *Proxy) copyDirection(ctx context.Context, c *connection, dst, src *net.TCPConn, d Direction) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if n > 0 && !p.forward(ctx, c, dst, buffer[:n], d) {
			c.close(false)
			return
		}
		if err != nil {
			if err != io.EOF {
				c.close(false)
			}
			_ = dst.CloseWrite()
			return
		}
	}
}

// forward writes data as the fault allows. It returns false when the connection is to be
// closed.
func (p *Proxy) forward(ctx context.Context, c *connection, dst *net.TCPConn, data []byte, d Direction) bool {
	if !p.waitForFault(ctx, d) {
		return false
	}
	if limit, ok := p.cutAfter(c, d, len(data)); ok {
		_, _ = dst.Write(data[:limit])
		return false
	}
	_, err := dst.Write(data)
	return err == nil
}

// waitForFault delays or holds back data as the fault requires. It returns false
// when the connection is to be closed.
func (p *Proxy) waitForFault(ctx context.Context, d Direction) bool {
	for {
		p.mu.Lock()
		fault, changed := p.fault, p.changed
		p.mu.Unlock()
		if !fault.applies(d) {
			return true
		}
		switch fault.Mode {
		case Delay:
			return sleep(ctx, fault.Delay)
		case Freeze:
			select {
			case <-changed:
			case <-ctx.Done():
				return false
			}
		case Cut, Reset:
			return false
		default:
			return true
		}
	}
}

// cutAfter adds the n next bytes of a direction to its count in mode CutAfter. When the
// count exceeds the fault's limit, it returns how many of them may still pass, and true.
func (p *Proxy) cutAfter(c *connection, d Direction, n int) (int, bool) {
	fault := p.current()
	if fault.Mode != CutAfter || !fault.applies(d) {
		return 0, false
	}
	sent := c.passed[d].Add(int64(n))
	if sent <= fault.Bytes {
		return 0, false
	}
	return int(max(0, int64(n)-(sent-fault.Bytes))), true
}

// current returns the current fault.
func (p *Proxy) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
