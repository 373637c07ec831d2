package status

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// keptIntervals is how many push intervals a summary stays in the report after
// its node stopped sending.
const keptIntervals = 3

// Reporter sends this node's summaries and, while it has the role, writes the
// report of its failure domain. All methods are safe for concurrent use.
type Reporter struct {
	cfg Config

	mu        sync.Mutex
	rng       *rand.Rand
	summaries map[string]received
	// version of the object that was last seen, zero when unknown.
	version int64

	cancel context.CancelFunc
	ctx    context.Context
	group  sync.WaitGroup
}

type received struct {
	summary Summary
	at      time.Time
}

// New checks the configuration and returns a Reporter that is not running yet.
func New(cfg Config) (*Reporter, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	seed := cfg.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Reporter{
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 6)), summaries: map[string]received{},
		ctx: ctx, cancel: cancel,
	}, nil
}

// Start begins to send and to write. It returns at once.
func (r *Reporter) Start() {
	r.group.Go(func() { r.sendLoop(r.ctx) })
	if r.cfg.Store != nil {
		r.group.Go(func() { r.writeLoop(r.ctx) })
	}
}

// Close stops sending and writing.
func (r *Reporter) Close() error {
	r.cancel()
	r.group.Wait()
	return nil
}

// PushStatus serves the RPC of that name.
func (r *Reporter) PushStatus(_ context.Context, request *connect.Request[peerv1.PushStatusRequest]) (*connect.Response[peerv1.PushStatusResponse], error) {
	for _, p := range request.Msg.Summaries {
		r.keep(fromProto(p))
	}
	return connect.NewResponse(&peerv1.PushStatusResponse{}), nil
}

func (r *Reporter) keep(s Summary) {
	if s.ID == "" || s.FailureDomain != r.cfg.Members.Self().FailureDomain {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summaries[s.ID] = received{summary: s, at: time.Now()}
}

// sendLoop pushes this node's summary to the reporters of its failure domain.
func (r *Reporter) sendLoop(ctx context.Context) {
	for pause(ctx, r.jittered(r.pushInterval())) {
		summary := r.summary()
		self := r.cfg.Members.Self()
		for _, holder := range r.cfg.Members.Holders(membership.RoleStatusReporter, self.FailureDomain) {
			if holder.ID == self.ID {
				r.keep(summary)
				continue
			}
			r.push(ctx, holder, summary)
		}
	}
}

func (r *Reporter) summary() Summary {
	s := r.cfg.LocalSummary()
	self := r.cfg.Members.Self()
	s.ID = self.ID
	s.Region = self.Region
	s.FailureDomain = self.FailureDomain
	s.Sent = time.Now()
	return s
}

func (r *Reporter) push(ctx context.Context, to membership.Member, s Summary) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.PushTimeout)
	defer cancel()
	request := connect.NewRequest(&peerv1.PushStatusRequest{Summaries: []*peerv1.StatusSummary{toProto(s)}})
	// The next summary replaces a lost one.
	_, _ = r.cfg.Client(to.Addresses.Peer).PushStatus(ctx, request)
}

// pushInterval grows with the failure domain, so that a reporter receives at
// most NodesPerInterval summaries per Interval.
func (r *Reporter) pushInterval() time.Duration {
	self := r.cfg.Members.Self()
	nodes := r.cfg.Members.DomainSize(self.FailureDomain)
	scale := max(1, float64(nodes)/float64(r.cfg.NodesPerInterval))
	return time.Duration(scale * float64(r.cfg.Interval))
}

// writeLoop writes the report while this node is a reporter, with backoff while
// the store fails.
func (r *Reporter) writeLoop(ctx context.Context) {
	wait := r.pushInterval()
	for pause(ctx, r.cfg.Interval/5+r.jittered(wait)) {
		if !r.cfg.Members.Holds(membership.RoleStatusReporter) {
			r.forget()
			continue
		}
		if r.write(ctx) == nil {
			// New summaries do not come more often, and the report of a large domain
			// is too big to be written every Interval.
			wait = r.pushInterval()
			continue
		}
		wait = min(2*wait, r.cfg.MaxBackoff)
	}
}

// forget drops the summaries of a node that is not a reporter any more.
func (r *Reporter) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.summaries)
	r.version = 0
}

// write replaces the report. When the other reporter has written since, only the
// version is noted, so that together they write once per interval.
func (r *Reporter) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.StoreTimeout)
	defer cancel()
	self := r.cfg.Members.Self()
	domain := DomainReport{FailureDomain: self.FailureDomain, Reporter: self.ID, Written: time.Now()}
	value, err := aggregate(domain, r.current(), r.cfg.MaxBytes)
	if err != nil {
		return err
	}
	key := Prefix + self.FailureDomain
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	object, err := r.cfg.Store.Update(ctx, key, version, value)
	if err != nil && resultcode.From(err).Code == resultcode.SettingsConflict {
		object, err = r.cfg.Store.Get(ctx, key)
	}
	if err != nil && resultcode.From(err).Code == resultcode.ScopeNotFound {
		object.Version, err = 0, nil
	}
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = object.Version
	return nil
}

// current returns the summaries that are not outdated.
func (r *Reporter) current() []Summary {
	limit := keptIntervals * r.pushInterval()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Summary, 0, len(r.summaries))
	for id, kept := range r.summaries {
		if time.Since(kept.at) > limit {
			delete(r.summaries, id)
			continue
		}
		list = append(list, kept.summary)
	}
	return list
}

// jittered returns a duration around d, by up to a fifth.
func (r *Reporter) jittered(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d - d/5 + time.Duration(r.rng.Int64N(int64(2*d/5)+1))
}

// pause waits and reports false when the context ends.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
