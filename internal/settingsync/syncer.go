package settingsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/membership"
)

// Syncer keeps one node's settings up to date. All methods are safe for
// concurrent use.
type Syncer struct {
	cfg Config

	// applying is held while an update is judged, so that updates are applied in
	// order; mu guards the fields below and is not held during Apply.
	applying sync.Mutex
	mu       sync.Mutex
	rng      *rand.Rand
	history  *history
	report   Report
	wanted   announcement
	// mustList is set after the store's versions went backwards: what follows may
	// be another history, so only a whole listing is taken.
	mustList bool

	hinted chan struct{}
	cancel context.CancelFunc
	ctx    context.Context
	group  sync.WaitGroup
}

// New checks the configuration and returns a Syncer that is not running yet.
func New(cfg Config) (*Syncer, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	seed := cfg.RandomSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Syncer{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(seed, 5)),
		history: newHistory(cfg.MaxLogChanges, cfg.MaxLogBytes),
		report:  Report{Source: SourceNone},
		hinted:  make(chan struct{}, 1),
		cancel:  cancel,
		ctx:     ctx,
	}, nil
}

// Start begins to follow the settings. It returns at once.
func (s *Syncer) Start() {
	s.cfg.Members.SubscribeRevisions(s.hint)
	s.group.Go(func() { s.pull(s.ctx) })
	if s.cfg.Store != nil {
		s.group.Go(func() { s.watch(s.ctx) })
	}
}

// Close stops following. The settings in force stay.
func (s *Syncer) Close() error {
	s.cancel()
	s.group.Wait()
	return nil
}

// Report returns the state of the settings at this node.
func (s *Syncer) Report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report
}

// Revision returns the revision in force.
func (s *Syncer) Revision() int64 {
	return s.Report().Revision
}

// ErrGap means that an update does not continue the settings in force.
var ErrGap = errors.New("settingsync: the update does not continue the revision in force")

// offer applies an update if it is newer than what is in force. An update that
// is not newer is ignored without error.
func (s *Syncer) offer(u Update, source Source) error {
	s.applying.Lock()
	defer s.applying.Unlock()
	s.mu.Lock()
	newer := u.Revision > s.history.revision
	continues := s.history.continues(u)
	trimmed := s.history.trim(u)
	s.mu.Unlock()
	if !newer {
		return nil
	}
	if !continues {
		return ErrGap
	}
	if err := s.cfg.Apply(trimmed); err != nil {
		s.refused(u.Revision, err)
		return err
	}
	s.accepted(u, source)
	return nil
}

func (s *Syncer) accepted(u Update, source Source) {
	s.mu.Lock()
	s.history.record(u)
	s.report = Report{Revision: u.Revision, Source: source}
	s.mu.Unlock()
	s.cfg.Members.UpdateLocal(func(a *membership.Metadata) { a.SettingsRevision = u.Revision })
}

func (s *Syncer) refused(revision int64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Refused = max(s.report.Refused, revision)
	s.report.Err = err
	s.cfg.Logger.Warn().Err(err).Int64("refused", revision).Int64("revision", s.report.Revision).
		Msg("settings revision refused")
}

// jitter returns a random duration below d.
func (s *Syncer) jitter(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(d)))
}

// pause waits and reports false when the Syncer is closed.
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
