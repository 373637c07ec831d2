package upstream

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/responsecheck"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// Settings returns the settings in force for a path in the settings tree, here that of a
// service in a region.
type Settings interface {
	Resolve(settings.Path) settings.Values
}

// Config configures an Upstream.
type Config struct {
	// Region is the region of this node. It selects the settings of the announced
	// service.
	Region   string
	Settings Settings
	// Baseline turns admission control off: the baseline is the policy without overload
	// control that measurements compare with.
	Baseline bool
	Logger   zerolog.Logger
	// Scope receives the metrics; it may be nil.
	Scope tally.Scope
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Upstream is the upstream instance beside this node. It is safe for
// concurrent use.
type Upstream struct {
	config    Config
	admission *admission.Controller
	// dialFailures counts the connections that could not be opened, blockedReplays the
	// attempts that net/http's Transport wanted to send a second time.
	dialFailures   tally.Counter
	blockedReplays tally.Counter
	unusable       responsecheck.Reporter

	mu    sync.Mutex
	state State
	// pool holds the connections to the announced address, nil while no upstream is
	// announced and after Close.
	pool      *connPool
	listeners []func(State)
	// notifyMu serialises the calls of the listeners, so that they see changes in order. It
	// is locked before mu.
	notifyMu sync.Mutex
}

// New returns an Upstream without an announcement.
func New(config Config) *Upstream {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Scope == nil {
		config.Scope = tally.NoopScope
	}
	return &Upstream{
		config:         config,
		admission:      admission.New(admission.Config{Disabled: config.Baseline}),
		dialFailures:   config.Scope.Counter("upstream_unreachable"),
		blockedReplays: config.Scope.Counter("upstream_replays_blocked"),
		unusable:       responsecheck.Reporter{Log: config.Logger, Scope: config.Scope},
	}
}

// State returns the current state.
func (u *Upstream) State() State {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.state
}

// Admission returns the controller of the upstream's slots.
func (u *Upstream) Admission() *admission.Controller {
	return u.admission
}

// OnChange adds a callback for every change of the state. The callback is called
// immediately with the current state; it must not call Announce or Withdraw.
func (u *Upstream) OnChange(changed func(State)) {
	u.notifyMu.Lock()
	defer u.notifyMu.Unlock()
	u.mu.Lock()
	u.listeners = append(u.listeners, changed)
	state := u.state
	u.mu.Unlock()
	changed(state)
}

// Announce validates and applies an announcement. Errors have the code
// SettingsInvalid.
func (u *Upstream) Announce(a Announcement) error {
	if err := a.validate(); err != nil {
		return err
	}
	u.change(func(s *State) {
		poolChanged := !s.Announced || s.Address != a.Address || s.MaxConnections != a.MaxConnections || s.Slots != a.Slots
		if poolChanged {
			u.replacePool(a)
		}
		if a.Ready {
			u.pool.startWarming()
		}
		s.Reachable = s.Reachable || poolChanged
		s.Announced = true
		s.Announcement = a
	})
	u.Reconfigure()
	return nil
}

// Withdraw removes the announcement. In-flight calls keep their connections.
func (u *Upstream) Withdraw() {
	u.change(func(s *State) {
		u.closePool()
		*s = State{}
	})
}

// Close stops background work and closes the spare and idle connections.
func (u *Upstream) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closePool()
}

// Reconfigure applies the settings in force to the admission controller. It is called
// after each announcement and after a change of the settings.
func (u *Upstream) Reconfigure() {
	state := u.State()
	if !state.Announced {
		return
	}
	path := settings.Path{Region: u.config.Region, Service: state.Service}
	v := u.config.Settings.Resolve(path)
	u.admission.Configure(admission.Config{
		Slots:        state.Slots,
		QueuePerSlot: v.QueuePerSlot,
		QueueTimeout: v.QueueTimeout,
		KindQueueTimeout: func(kind string) time.Duration {
			ofKind := path
			ofKind.Kind = kind
			return u.config.Settings.Resolve(ofKind).QueueTimeout
		},
		LongShare: v.LongFraction,
		Disabled:  u.config.Baseline,
	})
}

// change applies update, which is called with mu held, and notifies the listeners if the
// state changed.
func (u *Upstream) change(update func(*State)) {
	u.notifyMu.Lock()
	defer u.notifyMu.Unlock()
	u.mu.Lock()
	before := u.state
	update(&u.state)
	u.setReadySince()
	after := u.state
	listeners := u.listeners
	u.mu.Unlock()
	if before == after {
		return
	}
	u.config.Logger.Info().Str("service", after.Service).Bool("available", after.Available()).
		Bool("draining", after.Draining).Int("slots", after.Slots).Msg("upstream changed")
	for _, changed := range listeners {
		changed(after)
	}
}

// setReadySince updates State.ReadySince after a change. It is called with mu held.
func (u *Upstream) setReadySince() {
	switch {
	case !u.state.Available():
		u.state.ReadySince = time.Time{}
	case u.state.ReadySince.IsZero():
		u.state.ReadySince = u.config.Now()
	}
}

// replacePool closes the pool and creates one for an announcement. It is called with mu
// held.
func (u *Upstream) replacePool(a Announcement) {
	u.closePool()
	u.pool = newConnPool(a, u.markUnreachable)
}

// closePool closes the pool if there is one. It is called with mu held.
func (u *Upstream) closePool() {
	if u.pool != nil {
		u.pool.close()
		u.pool = nil
	}
}

func (u *Upstream) currentPool() (*connPool, State) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.pool, u.state
}
