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

	// applyMu is held while an update is checked and applied, so that updates are
	// applied in order. mu guards the fields below up to listRequired and is not
	// held during Apply.
	applyMu   sync.Mutex
	mu        sync.Mutex
	rng       *rand.Rand
	changeLog *changeLog
	report    Report
	// pullTarget is the highest revision that a peer has reported and that is not
	// being fetched yet; zero when there is none.
	pullTarget peerRevision
	// listRequired is set after the store's versions went backwards. The versions
	// that follow may belong to another history, so only a listing of the whole tree
	// is applied.
	listRequired bool

	// pullRequested receives a value when pullTarget is set; its capacity is one.
	pullRequested chan struct{}
	cancel        context.CancelFunc
	ctx           context.Context
	group         sync.WaitGroup
}

// New returns a Syncer, which Start starts. It returns an error when a mandatory
// field of the configuration is missing.
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
		cfg:           cfg,
		rng:           rand.New(rand.NewPCG(seed, 5)),
		changeLog:     newChangeLog(cfg.MaxLogChanges, cfg.MaxLogBytes),
		report:        Report{Source: SourceNone},
		pullRequested: make(chan struct{}, 1),
		cancel:        cancel,
		ctx:           ctx,
	}, nil
}

// Start starts the synchronisation in the background.
func (s *Syncer) Start() {
	s.cfg.Members.SubscribeRevisions(s.onPeerRevision)
	s.group.Go(func() { s.pull(s.ctx) })
	if s.cfg.Store != nil {
		s.group.Go(func() { s.watch(s.ctx) })
	}
}

// Close stops the synchronisation and waits for it to end. The settings in force
// stay in force.
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

// ErrGap means that an update leaves out changes that follow the revision in force.
var ErrGap = errors.New("settingsync: the update does not continue the revision in force")

// applyIfNewer applies an update that is newer than the revision in force and ignores
// any other without error. It returns ErrGap for an update that leaves out changes,
// and the error of Apply for one that is refused.
func (s *Syncer) applyIfNewer(u Update, source Source) error {
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	s.mu.Lock()
	newer := u.Revision > s.changeLog.revision
	continues := s.changeLog.continues(u)
	trimmed := s.changeLog.trim(u)
	s.mu.Unlock()
	if !newer {
		return nil
	}
	if !continues {
		return ErrGap
	}
	if err := s.cfg.Apply(trimmed); err != nil {
		s.recordRefused(u.Revision, err)
		return err
	}
	s.recordApplied(u, source)
	return nil
}

func (s *Syncer) recordApplied(u Update, source Source) {
	s.mu.Lock()
	s.changeLog.commit(u)
	s.report = Report{Revision: u.Revision, Source: source}
	s.mu.Unlock()
	s.cfg.Members.UpdateLocal(func(m *membership.Metadata) { m.SettingsRevision = u.Revision })
}

func (s *Syncer) recordRefused(revision int64, err error) {
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
