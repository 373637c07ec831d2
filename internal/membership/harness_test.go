package membership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/membership/membershiptest"
	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// host has a peer address and a gossip address, and the process that currently uses them.
type host struct {
	// name is the host part of the addresses, domain the failure domain.
	name, domain string
	// generation is the number of IDs that the host has had before the current one.
	generation int
	// list is nil while no process runs.
	list    *membership.Memberlist
	checker *eventChecker
	paused  bool
}

// handler serves SyncMembers; the other methods return CodeUnimplemented.
type handler struct {
	peerv1.UnimplementedPeerServiceHandler
	list *membership.Memberlist
}

func (h *handler) SyncMembers(ctx context.Context, r *connect.Request[peerv1.SyncMembersRequest]) (*connect.Response[peerv1.SyncMembersResponse], error) {
	return h.list.SyncMembers(ctx, r)
}

// processKey identifies a process with one value of its rejoin counter. A running process
// that was declared dead rejoins with a higher value; a key that is known to have ended
// never becomes live again.
type processKey struct {
	id                   string
	incarnation, rejoins uint64
}

// incarnationKey identifies a process; Left is final for all values of its rejoin
// counter.
type incarnationKey struct {
	id     string
	number uint64
}

func processKeyOf(m membership.Member) processKey {
	return processKey{m.ID, m.Incarnation, m.Rejoins()}
}

// fleet is a set of hosts in failure domains a to d on a faulty network.
type fleet struct {
	t     *testing.T
	rng   *rand.Rand
	net   *membershiptest.Network
	store *membershiptest.Store
	hosts []*host
	// mu guards ended.
	mu sync.Mutex
	// ended holds the processes that have ended: Left after a leave notice, else Dead.
	ended map[processKey]membership.State
	// cleanLeaves holds the processes whose leave notice was sent in full while no
	// partition was in force. A table that still holds one must hold it as Left.
	cleanLeaves map[incarnationKey]bool
	// configure changes the configuration of each process before its start; it may be
	// nil.
	configure func(*membership.Config)
}

var lowDelay = membershiptest.Faults{MinDelay: time.Millisecond, MaxDelay: 3 * time.Millisecond}

func newFleet(t *testing.T, seed uint64, size int, configure func(*membership.Config)) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), net: membershiptest.NewNetwork(seed, lowDelay),
		store: membershiptest.NewStore(2 * time.Millisecond), ended: map[processKey]membership.State{},
		cleanLeaves: map[incarnationKey]bool{}, configure: configure,
	}
	for i := range size {
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("h%02d", i), domain: string(rune('a' + i%4))})
	}
	return f
}

// start starts a new process on a host. With newID it gets a new ID, otherwise the ID
// of the previous one; the address stays the same.
func (f *fleet) start(h *host, newID bool) {
	if newID {
		h.generation++
	}
	id := fmt.Sprintf("%s-%d", h.name, h.generation)
	cfg := membership.Config{
		ID: id, Region: "ro", FailureDomain: h.domain, Store: f.store, RandomSeed: f.rng.Uint64(),
		Addresses: membership.Addresses{Peer: h.name + ":2", Gossip: h.name + ":1"},
		Client:    f.net.Client(h.name),
		Seeds:     []string{f.hosts[0].name + ":1", f.hosts[1].name + ":1"},
	}
	if f.configure != nil {
		f.configure(&cfg)
	}
	list, err := membership.New(cfg, f.net.Listen(h.name, h.name+":1"))
	assert.NilError(f.t, err)
	h.list, h.checker, h.paused = list, newEventChecker(f), false
	list.Subscribe(h.checker.observe)
	f.net.Serve(h.name, h.name+":2", &handler{list: list})
	list.Start()
}

// stop ends the process on a host, if one runs, without sending a leave notice. It
// records the process as ended in the given state.
func (f *fleet) stop(h *host, state membership.State) {
	if h.list == nil {
		return
	}
	f.net.Serve(h.name, h.name+":2", nil)
	closed := make(chan struct{})
	go func() {
		_ = h.list.Close()
		close(closed)
	}()
	synctest.Wait()
	f.net.Resume(h.name)
	<-closed
	self := h.list.Self()
	f.mu.Lock()
	f.ended[processKeyOf(self)] = state
	f.mu.Unlock()
	h.list, h.paused = nil, false
}

// leave ends the process on a host after a leave notice. The caller sets clean when no
// partition can delay the notice.
func (f *fleet) leave(h *host, clean bool) {
	self := h.list.Self()
	clean = clean && len(h.list.RandomPeers(2)) == 2
	err := h.list.Leave(context.Background())
	f.stop(h, membership.Left)
	if clean && err == nil {
		f.cleanLeaves[incarnationKey{self.ID, self.Incarnation}] = true
	}
}

func (f *fleet) pause(h *host) {
	h.paused = true
	f.net.Pause(h.name)
}

func (f *fleet) resume(h *host) {
	h.paused = false
	f.net.Resume(h.name)
}

func (f *fleet) running() []*host {
	var hosts []*host
	for _, h := range f.hosts {
		if h.list != nil {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (f *fleet) stopAll() {
	for _, h := range f.hosts {
		f.stop(h, membership.Dead)
	}
	f.net.Wait()
}

// viewDifference describes the first difference between the view of a node and the
// running processes, or a missed leave. It returns "" when there is neither. It does not
// compare settings revisions.
func (f *fleet) viewDifference() string {
	truth := map[string]membership.Member{}
	for _, h := range f.running() {
		truth[h.list.Self().ID] = h.list.Self()
	}
	for _, h := range f.running() {
		alive := 0
		for _, m := range h.list.Members() {
			if m.State != membership.Alive {
				continue
			}
			alive++
			want, ok := truth[m.ID]
			m.SettingsRevision = want.SettingsRevision
			if !ok || m != want {
				return fmt.Sprintf("%s has %+v, want %+v", h.name, m, want)
			}
		}
		if alive != len(truth) {
			return fmt.Sprintf("%s has %d of %d live members", h.name, alive, len(truth))
		}
	}
	return f.missedLeave()
}

// missedLeave describes a member that left cleanly but that some node does not know as
// left, or returns "".
func (f *fleet) missedLeave() string {
	for _, h := range f.running() {
		for _, m := range h.list.Members() {
			if f.cleanLeaves[incarnationKey{m.ID, m.Incarnation}] && m.State != membership.Left {
				return fmt.Sprintf("%s has %s as %s although it left", h.name, m.ID, m.State)
			}
		}
	}
	return ""
}

// converge waits until all views are correct and returns how long it took. After limit
// it fails the test.
func (f *fleet) converge(limit time.Duration) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for {
		difference := f.viewDifference()
		if difference == "" {
			return time.Since(begin)
		}
		if time.Since(begin) > limit {
			f.t.Fatalf("views differ %s after the last fault: %s", limit, difference)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// fromEnvironment returns the number in an environment variable, or fallback when it
// has none.
func fromEnvironment(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}
