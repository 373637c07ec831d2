package idempotency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
)

const (
	testService = "payments"
	// detectionDelay is how long the fake membership takes to report a process dead.
	detectionDelay = 4 * time.Second
)

// fleet runs several Managers on a simulated network and platform inside a synctest
// bubble.
type fleet struct {
	t        *testing.T
	store    *platformtest.Store
	observer *observer
	mutant   mutant
	// config changes the configuration of each process before its start; it may be nil.
	config func(*Config)

	// mu guards random, partitioned, loss, duplication, healed and the fields of
	// processes that change.
	mu     sync.Mutex
	random *rand.Rand
	nodes  []*node
	// partitioned holds the pairs of addresses (from, to) whose messages are lost.
	partitioned map[[2]string]bool
	// loss and duplication are the fractions of messages that are lost and of
	// requests that are handled twice.
	loss, duplication float64
	// healed is set when all faults have ended.
	healed bool
	// delay bounds the delay of a request.
	delay time.Duration
	// stop ends ctx and with it all processes.
	stop context.CancelFunc
	ctx  context.Context
}

// node is one address and the process that runs or last ran there.
type node struct {
	fleet *fleet
	id    string
	addr  string
	// skew is how far the node's clock is ahead of the simulated time.
	skew time.Duration

	// process is nil before the first start.
	*process
}

// process is one incarnation of a node.
type process struct {
	member  Member
	manager *Manager
	cancel  context.CancelFunc
	dead    bool
	leaving bool
	// resume is closed when a pause ends; nil while running.
	resume              chan struct{}
	platformUnreachable bool
	// lastSeen holds the processes that this one has reached, as its membership would learn them.
	lastSeen map[Identity]seenMember
}

// seenMember is a process and when it was last reached.
type seenMember struct {
	member Member
	at     time.Time
}

func newFleet(t *testing.T, seed uint64, size int) *fleet {
	f := &fleet{
		t:           t,
		store:       platformtest.New(seed),
		observer:    newObserver(),
		random:      rand.New(rand.NewPCG(seed, 1)),
		partitioned: make(map[[2]string]bool),
		delay:       2 * time.Millisecond,
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i := range size {
		f.nodes = append(f.nodes, &node{fleet: f, id: fmt.Sprintf("n%d", i), addr: fmt.Sprintf("addr%d", i)})
	}
	go f.runMembership()
	return f
}

func (f *fleet) startAll() {
	for _, n := range f.nodes {
		n.start()
	}
}

// close ends every process and waits until all delayed calls have ended.
func (f *fleet) close() {
	f.stop()
	for _, n := range f.nodes {
		n.crash()
	}
	time.Sleep(2 * time.Minute)
}

func (f *fleet) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64()
}

func (f *fleet) intn(n int) int {
	return int(f.float() * float64(n))
}

func (f *fleet) duration(limit time.Duration) time.Duration {
	return time.Duration(f.float() * float64(limit))
}

// newKey returns a key whose issue time is ahead of the simulated time by a duration.
func (f *fleet) newKey(ahead time.Duration) uuid.UUID {
	var key uuid.UUID
	f.mu.Lock()
	for i := range key {
		key[i] = byte(f.random.Uint32())
	}
	f.mu.Unlock()
	ms := time.Now().Add(ahead).UnixMilli()
	for i := range 6 {
		key[i] = byte(ms >> (40 - 8*i))
	}
	key[6] = key[6]&0x0f | keyVersion<<4
	key[8] = key[8]&0x3f | 0x80
	return key
}

// start starts a new process at the node's address.
func (n *node) start() {
	now := time.Now().Add(n.skew)
	p := &process{
		member:   Member{Identity: Identity{ID: n.id, Incarnation: uint64(now.UnixNano())}, Address: n.addr},
		lastSeen: make(map[Identity]seenMember),
	}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(n.fleet.ctx)
	config := Config{
		Service:        testService,
		Self:           p.member,
		Store:          &nodeStore{fleet: n.fleet, process: p},
		Live:           func() []*peerv1.OwnerMember { return n.fleet.liveSeenBy(p) },
		Peer:           func(addr string) peerv1.PeerServiceClient { return &faultyClient{fleet: n.fleet, from: p, to: addr} },
		Now:            func() time.Time { p.waitWhilePaused(n.fleet); return time.Now().Add(n.skew) },
		Random:         n.fleet.float,
		Window:         2 * time.Minute,
		IsolationLimit: 5 * time.Minute,
		OnViolation:    n.fleet.observer.violation,
	}
	if n.fleet.config != nil {
		n.fleet.config(&config)
	}
	p.manager = NewManager(config)
	n.fleet.mu.Lock()
	n.process = p
	n.fleet.mu.Unlock()
	go p.manager.Run(ctx)
}

// current returns the process that runs or last ran at the address.
func (n *node) current() *process {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.process
}

// record returns the process's current record.
func (n *node) record() *Record {
	m := n.current().manager
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.record
}

// crash ends the process without Leave, if it has not ended yet.
func (n *node) crash() {
	n.fleet.mu.Lock()
	p := n.process
	if p == nil || p.dead {
		n.fleet.mu.Unlock()
		return
	}
	p.dead = true
	n.fleet.mu.Unlock()
	p.cancel()
	n.unpause()
}

func (n *node) pause() {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if !n.dead && n.resume == nil {
		n.resume = make(chan struct{})
	}
}

func (n *node) unpause() {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	if n.resume != nil {
		close(n.resume)
		n.resume = nil
	}
}

// running reports whether a process runs and is not paused.
func (n *node) running() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.process != nil && !n.dead && n.resume == nil
}

// leave shuts the process down gracefully: it calls Leave, serves for a while and
// ends.
func (n *node) leave(serve time.Duration) error {
	n.fleet.mu.Lock()
	p := n.process
	p.leaving = true
	n.fleet.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.fleet.ctx, 3*time.Second)
	defer cancel()
	err := p.manager.Leave(ctx)
	time.Sleep(serve)
	n.fleet.mu.Lock()
	current := n.process == p
	n.fleet.mu.Unlock()
	if current {
		n.crash()
	}
	return err
}

// waitWhilePaused blocks while the process is paused, until it is resumed or
// killed.
func (p *process) waitWhilePaused(f *fleet) {
	f.mu.Lock()
	resume := p.resume
	f.mu.Unlock()
	if resume != nil {
		<-resume
	}
}

func (p *process) isDead(f *fleet) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return p.dead
}

// runMembership simulates membership: it makes every process observe the processes that
// it reaches in both directions.
func (f *fleet) runMembership() {
	for f.ctx.Err() == nil {
		f.mu.Lock()
		for _, a := range f.nodes {
			for _, b := range f.nodes {
				f.observeLiveness(a, b)
			}
		}
		f.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// observeLiveness updates the processes that a has seen with the one at b. The
// caller holds mu.
func (f *fleet) observeLiveness(a, b *node) {
	if a == b || a.process == nil || b.process == nil || a.dead || b.dead || a.resume != nil || b.resume != nil {
		return
	}
	if f.partitioned[[2]string{a.addr, b.addr}] || f.partitioned[[2]string{b.addr, a.addr}] {
		return
	}
	for id := range a.lastSeen {
		if id.ID == b.id && id != b.member.Identity || id == b.member.Identity && b.leaving {
			delete(a.lastSeen, id)
		}
	}
	if !b.leaving {
		a.lastSeen[b.member.Identity] = seenMember{b.member, time.Now()}
	}
}

// liveSeenBy returns the processes that p reached within detectionDelay.
func (f *fleet) liveSeenBy(p *process) []*peerv1.OwnerMember {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*peerv1.OwnerMember
	for _, s := range p.lastSeen {
		if time.Since(s.at) < detectionDelay {
			live = append(live, s.member.toProto())
		}
	}
	return live
}

// nodeStore is the platform's store as one process reaches it.
type nodeStore struct {
	platform.Store
	fleet   *fleet
	process *process
}

// before waits while the process is paused. It fails when the process is dead or cannot
// reach the platform.
func (s *nodeStore) before() error {
	s.process.waitWhilePaused(s.fleet)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.process.dead || s.process.platformUnreachable {
		return errNotSent
	}
	return nil
}

// after returns the error of a call that was sent: errUnreachable when the response does
// not reach the process, otherwise err.
func (s *nodeStore) after(err error) error {
	if s.before() != nil {
		return errUnreachable
	}
	return err
}

// Get implements platform.Store.
func (s *nodeStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.before(); err != nil {
		return platform.Object{}, err
	}
	o, err := s.fleet.store.Get(ctx, key)
	return o, s.after(err)
}

// Update implements platform.Store.
func (s *nodeStore) Update(ctx context.Context, key string, ifVersion int64, value []byte) (platform.Object, error) {
	if err := s.before(); err != nil {
		return platform.Object{}, err
	}
	value = s.fleet.mutant.alterRecord(value)
	o, err := s.fleet.store.Update(ctx, key, ifVersion, value)
	return o, s.after(err)
}
