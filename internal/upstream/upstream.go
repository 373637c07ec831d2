package upstream

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// Settings resolves the settings in force.
type Settings interface {
	Resolve(settings.Path) settings.Values
}

// Config holds what an Upstream needs.
type Config struct {
	// Region of this node, for the settings of the announced service.
	Region   string
	Settings Settings
	// Baseline turns admission control off.
	Baseline bool
	Logger   zerolog.Logger
	// Scope may be nil.
	Scope tally.Scope
	// Now may be nil.
	Now func() time.Time
}

// Upstream is the upstream instance beside this node. It is safe for
// concurrent use.
type Upstream struct {
	config    Config
	admission *admission.Controller
	lost      tally.Counter
	replays   tally.Counter

	mu        sync.Mutex
	state     State
	link      *link
	listeners []func(State)
	// notify serialises the listeners, so that they see changes in order.
	notify sync.Mutex
}

// New returns an upstream that nothing is announced for.
func New(config Config) *Upstream {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Scope == nil {
		config.Scope = tally.NoopScope
	}
	return &Upstream{
		config:    config,
		admission: admission.New(admission.Config{Disabled: config.Baseline}),
		lost:      config.Scope.Counter("upstream_unreachable"),
		replays:   config.Scope.Counter("upstream_replays_blocked"),
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

// OnChange adds a callback for every change of the state. It is called at once
// with the current state and must not call back into Announce or Withdraw.
func (u *Upstream) OnChange(changed func(State)) {
	u.notify.Lock()
	defer u.notify.Unlock()
	u.mu.Lock()
	u.listeners = append(u.listeners, changed)
	state := u.state
	u.mu.Unlock()
	changed(state)
}

// Announce validates and applies an announcement.
func (u *Upstream) Announce(a Announcement) error {
	if err := a.validate(); err != nil {
		return err
	}
	u.change(func(s *State) {
		moved := !s.Announced || s.Address != a.Address || s.MaxConnections != a.MaxConnections || s.Slots != a.Slots
		if moved {
			u.replaceLink(a)
		}
		if a.Ready {
			u.link.startWarming()
		}
		s.Reachable = s.Reachable || moved
		s.Announced = true
		s.Announcement = a
	})
	u.Reconfigure()
	return nil
}

// Withdraw removes the announcement. Running calls keep their connections.
func (u *Upstream) Withdraw() {
	u.change(func(s *State) {
		u.closeLink()
		*s = State{}
	})
}

// Close ends background work and idle connections.
func (u *Upstream) Close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closeLink()
}

// Reconfigure applies the settings in force to the admission controller. It is
// called after a change of the settings.
func (u *Upstream) Reconfigure() {
	state := u.State()
	if !state.Announced {
		return
	}
	v := u.config.Settings.Resolve(settings.Path{Region: u.config.Region, Service: state.Service})
	u.admission.Configure(admission.Config{
		Slots:        state.Slots,
		QueuePerSlot: v.QueuePerSlot,
		QueueTimeout: v.QueueTimeout,
		LongShare:    v.LongShare,
		Disabled:     u.config.Baseline,
	})
}

// change applies an update and reports the result when the state differs.
func (u *Upstream) change(update func(*State)) {
	u.notify.Lock()
	defer u.notify.Unlock()
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

func (u *Upstream) setReadySince() {
	switch {
	case !u.state.Available():
		u.state.ReadySince = time.Time{}
	case u.state.ReadySince.IsZero():
		u.state.ReadySince = u.config.Now()
	}
}

// replaceLink is called with mu held.
func (u *Upstream) replaceLink(a Announcement) {
	u.closeLink()
	u.link = newLink(a, u.unreachable)
}

// closeLink is called with mu held.
func (u *Upstream) closeLink() {
	if u.link != nil {
		u.link.close()
		u.link = nil
	}
}

func (u *Upstream) currentLink() (*link, State) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.link, u.state
}
