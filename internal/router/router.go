package router

import (
	"slices"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/settings"
)

// Router sends calls to the instances of all services. It is safe for
// concurrent use.
type Router struct {
	config  Config
	retries tally.Counter
	moves   tally.Counter
	hedges  tally.Counter

	mu       sync.RWMutex
	services map[string]*balancer.Balancer
}

// New returns a router that knows no service.
func New(config Config) *Router {
	config = config.withDefaults()
	return &Router{
		config:   config,
		retries:  config.Scope.Counter("router_retries"),
		moves:    config.Scope.Counter("router_moves"),
		hedges:   config.Scope.Counter("router_hedges"),
		services: make(map[string]*balancer.Balancer),
	}
}

// SetInstances replaces the instances of a service and adds the service if
// needed. A service with an empty list stays known.
func (r *Router) SetInstances(service string, all []balancer.Instance) {
	r.balancerFor(service).SetInstances(r.config.Now(), slices.Clone(all))
}

// RemoveService removes a service that no member has announced for a long time. Later
// calls to the service fail with UnknownService.
func (r *Router) RemoveService(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.services, service)
}

// Reconfigure applies the settings in force to all balancers. It is called after
// the settings have changed.
func (r *Router) Reconfigure() {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for service, b := range r.services {
		b.Configure(r.balancerConfig(service))
	}
}

func (r *Router) balancerConfig(service string) balancer.Config {
	v := r.config.Settings.Resolve(settings.Path{Region: r.config.Region, Service: service})
	return balancer.Config{
		Region:            r.config.Region,
		StragglerFraction: v.StragglerFraction,
		RampUp:            v.RampUp,
		RoundRobin:        r.config.Baseline,
	}
}

// balancerFor returns the balancer of a service and creates it if needed.
func (r *Router) balancerFor(service string) *balancer.Balancer {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.services[service]
	if !ok {
		b = balancer.New(r.balancerConfig(service), r.config.Random())
		r.services[service] = b
	}
	return b
}

// find returns the balancer of a service, or an UnknownService error if the service is
// not known.
func (r *Router) find(service string) (*balancer.Balancer, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	b, ok := r.services[service]
	if !ok {
		return nil, resultcode.New(resultcode.UnknownService, "service %q: want a service that an upstream has announced", service)
	}
	return b, nil
}
