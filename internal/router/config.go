// Package router sends calls to instances of their service. It chooses the
// instance, sends the attempts and decides on retries, moves and hedges.
package router

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/peer"
	"github.com/mustardwing/mustardwing/internal/relay"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// Settings resolves the settings in force.
type Settings interface {
	Resolve(settings.Path) settings.Values
}

// Forwarder sends one attempt to the node at an address; see peer.Client, which
// implements it.
type Forwarder interface {
	Forward(ctx context.Context, address string, m call.Metadata, r *peer.Request, accepted func()) (*peer.Response, error)
}

// Config holds what a Router needs.
type Config struct {
	// Region is the region of this node.
	Region    string
	Settings  Settings
	Forwarder Forwarder
	// Baseline selects the policy without overload control that measurements compare
	// with: it makes up to three retries and moves at each hop regardless of the
	// allowance, chooses instances in turn and never hedges.
	Baseline bool
	// HedgeDelay, if set, replaces the hedge delay of the balancers; false means that
	// calls of the kind are not hedged. The balancers' limit on hedges then does not
	// apply.
	HedgeDelay func(kind string) (time.Duration, bool)
	// Random returns the random source of a balancer or of one retry decision; nil
	// uses sources seeded by the runtime.
	Random func() *rand.Rand
	Logger zerolog.Logger
	// Scope, Tracer and Now may be nil: then no metrics and no spans are recorded, and
	// time.Now is the clock.
	Scope  tally.Scope
	Tracer trace.Tracer
	Now    func() time.Time
}

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Tracer == nil {
		c.Tracer = relay.NoTracer()
	}
	if c.Random == nil {
		c.Random = func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	}
	return c
}
