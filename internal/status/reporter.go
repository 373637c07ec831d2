package status

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/pause"
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// maxSummaryIntervals is how many push intervals a summary stays in the report after
// its node has stopped sending.
const maxSummaryIntervals = 3

// Reporter sends this node's summaries and, while the node has the reporter role,
// writes the report of its failure domain. All methods are safe for concurrent use.
type Reporter struct {
	cfg Config

	mu  sync.Mutex
	rng *rand.Rand
	// summaries holds the newest summary received from each node, by node ID. It is
	// cleared while this node is not a reporter.
	summaries map[string]receivedSummary
	// version is the report object's version as last seen in the store, zero when
	// unknown.
	version int64

	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup
}

type receivedSummary struct {
	summary    Summary
	receivedAt time.Time
}

// New validates the configuration and returns a Reporter that is not started yet.
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
		cfg: cfg, rng: rand.New(rand.NewPCG(seed, 6)), summaries: map[string]receivedSummary{},
		ctx: ctx, cancel: cancel,
	}, nil
}

// Start begins to send summaries and, with a store, to write reports. It does not
// block.
func (r *Reporter) Start() {
	r.wg.Go(func() { r.sendLoop(r.ctx) })
	if r.cfg.Store != nil {
		r.wg.Go(func() { r.writeLoop(r.ctx) })
	}
}

// Close stops sending and writing and waits until both have stopped. The error is
// always nil.
func (r *Reporter) Close() error {
	r.cancel()
	r.wg.Wait()
	return nil
}

// PushStatus implements the PushStatus RPC: it stores the summaries of nodes of this
// failure domain and ignores others.
func (r *Reporter) PushStatus(_ context.Context, request *connect.Request[peerv1.PushStatusRequest]) (*connect.Response[peerv1.PushStatusResponse], error) {
	for _, p := range request.Msg.Summaries {
		r.storeSummary(fromProto(p))
	}
	return connect.NewResponse(&peerv1.PushStatusResponse{}), nil
}

func (r *Reporter) storeSummary(s Summary) {
	if s.ID == "" || s.FailureDomain != r.cfg.Members.Self().FailureDomain {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summaries[s.ID] = receivedSummary{summary: s, receivedAt: time.Now()}
}

// sendLoop pushes this node's summary to the reporters of its failure domain, once per
// push interval until ctx ends.
func (r *Reporter) sendLoop(ctx context.Context) {
	for pause.For(ctx, r.jitter(r.pushInterval())) {
		summary := r.localSummary()
		self := r.cfg.Members.Self()
		for _, holder := range r.cfg.Members.Holders(membership.RoleStatusReporter, self.FailureDomain) {
			if holder.ID == self.ID {
				r.storeSummary(summary)
				continue
			}
			r.push(ctx, holder, summary)
		}
	}
}

func (r *Reporter) localSummary() Summary {
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
	// An error is ignored, since the next summary replaces a lost one.
	_, _ = r.cfg.Client(to.Addresses.Peer).PushStatus(ctx, request)
}

// pushInterval returns the push interval before jitter. It grows with the failure
// domain, so that a reporter receives at most NodesPerInterval summaries per Interval.
func (r *Reporter) pushInterval() time.Duration {
	self := r.cfg.Members.Self()
	nodes := r.cfg.Members.DomainSize(self.FailureDomain)
	scale := max(1, float64(nodes)/float64(r.cfg.NodesPerInterval))
	return time.Duration(scale * float64(r.cfg.Interval))
}

// writeLoop writes the report while this node is a reporter, with backoff while writes
// fail.
func (r *Reporter) writeLoop(ctx context.Context) {
	wait := r.pushInterval()
	for pause.For(ctx, r.cfg.Interval/5+r.jitter(wait)) {
		if !r.cfg.Members.Holds(membership.RoleStatusReporter) {
			r.reset()
			continue
		}
		if r.writeReport(ctx) == nil {
			// New summaries do not arrive more often, and the report of a large failure
			// domain is too big to be written every Interval.
			wait = r.pushInterval()
			continue
		}
		wait = min(2*wait, r.cfg.MaxBackoff)
	}
}

// reset drops the received summaries and the known version of the report object, which
// this node does not keep while it is not a reporter.
func (r *Reporter) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.summaries)
	r.version = 0
}

// writeReport replaces the report in the store if its version there is still the one
// that this node recorded last. If the other reporter has written it since, this node
// only records the new version, so that together they write once per interval. A report
// that was deleted is created by the next call.
func (r *Reporter) writeReport(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.StoreTimeout)
	defer cancel()
	self := r.cfg.Members.Self()
	report := DomainReport{FailureDomain: self.FailureDomain, Reporter: self.ID, Written: time.Now()}
	value, err := aggregate(report, r.recentSummaries(), r.cfg.MaxBytes)
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

// recentSummaries returns the summaries received within the last maxSummaryIntervals
// push intervals and deletes older ones.
func (r *Reporter) recentSummaries() []Summary {
	maxAge := maxSummaryIntervals * r.pushInterval()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Summary, 0, len(r.summaries))
	for id, kept := range r.summaries {
		if time.Since(kept.receivedAt) > maxAge {
			delete(r.summaries, id)
			continue
		}
		list = append(list, kept.summary)
	}
	return list
}

// jitter returns d changed at random by up to a fifth either way.
func (r *Reporter) jitter(d time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return d - d/5 + time.Duration(r.rng.Int64N(int64(2*d/5)+1))
}
