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

// host is one address with the process that runs there now.
type host struct {
	name, domain string
	generation   int
	list         *membership.Memberlist
	witness      *witness
	paused       bool
}

type handler struct {
	peerv1.UnimplementedPeerServiceHandler
	list *membership.Memberlist
}

func (h *handler) SyncMembers(ctx context.Context, r *connect.Request[peerv1.SyncMembersRequest]) (*connect.Response[peerv1.SyncMembersResponse], error) {
	return h.list.SyncMembers(ctx, r)
}

// process is one life of a process. A process that was taken for dead by mistake
// returns in a new one; a life that is known to have ended never does.
type process struct {
	id                string
	incarnation, life uint64
}

// incarnation is one process; leaving is final for all of its lives.
type incarnation struct {
	id     string
	number uint64
}

func processOf(m membership.Member) process {
	return process{m.ID, m.Incarnation, m.Rejoins()}
}

// fleet is a set of hosts in failure domains a to d on a faulty network.
type fleet struct {
	t     *testing.T
	rng   *rand.Rand
	net   *membershiptest.Network
	store *membershiptest.Store
	hosts []*host
	mu    sync.Mutex
	// ended holds the processes that were killed or left, with their last state.
	ended map[process]membership.State
	// calmLeaves are processes whose leave notice nothing held up.
	calmLeaves map[incarnation]bool
	tweak      func(*membership.Config)
}

var calm = membershiptest.Faults{MinDelay: time.Millisecond, MaxDelay: 3 * time.Millisecond}

func newFleet(t *testing.T, seed uint64, size int, tweak func(*membership.Config)) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, 3)), net: membershiptest.NewNetwork(seed, calm),
		store: membershiptest.NewStore(2 * time.Millisecond), ended: map[process]membership.State{},
		calmLeaves: map[incarnation]bool{}, tweak: tweak,
	}
	for i := range size {
		f.hosts = append(f.hosts, &host{name: fmt.Sprintf("h%02d", i), domain: string(rune('a' + i%4))})
	}
	return f
}

// start runs a new process on a host. With fresh it gets a new ID, otherwise the
// ID of the previous one; the address stays the same.
func (f *fleet) start(h *host, fresh bool) {
	if fresh {
		h.generation++
	}
	id := fmt.Sprintf("%s-%d", h.name, h.generation)
	cfg := membership.Config{
		ID: id, Region: "ro", FailureDomain: h.domain, Store: f.store, RandomSeed: f.rng.Uint64(),
		Addresses: membership.Addresses{Peer: h.name + ":2", Gossip: h.name + ":1"},
		Client:    f.net.Client(h.name),
		Seeds:     []string{f.hosts[0].name + ":1", f.hosts[1].name + ":1"},
	}
	if f.tweak != nil {
		f.tweak(&cfg)
	}
	list, err := membership.New(cfg, f.net.Listen(h.name, h.name+":1"))
	assert.NilError(f.t, err)
	h.list, h.witness, h.paused = list, newWitness(f), false
	list.Subscribe(h.witness.observe)
	f.net.Serve(h.name, h.name+":2", &handler{list: list})
	list.Start()
}

// stop ends the process on a host without notice.
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
	f.ended[processOf(self)] = state
	f.mu.Unlock()
	h.list, h.paused = nil, false
}

func (f *fleet) leave(h *host, unhindered bool) {
	self := h.list.Self()
	unhindered = unhindered && len(h.list.RandomPeers(2)) == 2
	err := h.list.Leave(context.Background())
	f.stop(h, membership.Left)
	if unhindered && err == nil {
		f.calmLeaves[incarnation{self.ID, self.Incarnation}] = true
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

// disagreement returns the first difference between a view and the truth, or "".
func (f *fleet) disagreement() string {
	truth := map[string]membership.Member{}
	for _, h := range f.running() {
		truth[h.list.Self().ID] = h.list.Self()
	}
	for _, h := range f.running() {
		live := 0
		for _, m := range h.list.Members() {
			if m.State != membership.Alive {
				continue
			}
			live++
			want, ok := truth[m.ID]
			m.SettingsRevision = want.SettingsRevision
			if !ok || m != want {
				return fmt.Sprintf("%s has %+v, which is %+v", h.name, m, want)
			}
		}
		if live != len(truth) {
			return fmt.Sprintf("%s knows %d of %d live members", h.name, live, len(truth))
		}
	}
	return f.forgottenLeave()
}

// forgottenLeave returns a member that left unhindered and is not known to have.
func (f *fleet) forgottenLeave() string {
	for _, h := range f.running() {
		for _, m := range h.list.Members() {
			if f.calmLeaves[incarnation{m.ID, m.Incarnation}] && m.State != membership.Left {
				return fmt.Sprintf("%s takes %s for %s although it left", h.name, m.ID, m.State)
			}
		}
	}
	return ""
}

// converge waits until all views are right and returns how long it took.
func (f *fleet) converge(limit time.Duration) time.Duration {
	f.t.Helper()
	begin := time.Now()
	for {
		difference := f.disagreement()
		if difference == "" {
			return time.Since(begin)
		}
		if time.Since(begin) > limit {
			f.t.Fatalf("views differ %s after the last fault: %s", limit, difference)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// fromEnvironment returns a number from the environment.
func fromEnvironment(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}
