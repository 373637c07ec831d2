package mesh

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/settings"
)

const (
	// firstSuspicion is how long an instance that could not be reached is avoided;
	// it doubles with each further failure up to maxSuspicion.
	firstSuspicion = 500 * time.Millisecond
	maxSuspicion   = 4 * time.Second
	// localCost is the load in calls per slot up to which an instance of the own
	// failure domain is preferred. Beyond it upstreams slow down.
	localCost = 0.6
)

// Instances chooses among the upstream instances that the directory lists. It is
// safe for concurrent use.
type Instances struct {
	region    string
	domain    string
	directory *directory.Directory
	values    func(service string) settings.Values

	mu        sync.Mutex
	balancers map[string]*balancer.Balancer
	suspects  map[string]suspicion
}

// suspicion is set for an instance that could not be reached lately.
type suspicion struct {
	until    time.Time
	failures int
}

// NewInstances returns an empty choice; Update fills it.
func NewInstances(region, failureDomain string, d *directory.Directory, values func(string) settings.Values) *Instances {
	return &Instances{
		region: region, domain: failureDomain, directory: d, values: values,
		balancers: make(map[string]*balancer.Balancer), suspects: make(map[string]suspicion),
	}
}

// Update takes in the directory.
func (s *Instances) Update(now time.Time) {
	services := make(map[string][]balancer.Instance)
	for _, e := range s.directory.All() {
		if e.Upstream == nil {
			continue
		}
		name := e.Upstream.Service
		if _, ok := services[name]; !ok {
			// A service stays known while all its instances are leaving.
			services[name] = nil
		}
		if !e.Serves() {
			continue
		}
		services[name] = append(services[name], balancer.Instance{
			ID: e.Upstream.ID, Region: e.Region, FailureDomain: e.FailureDomain,
			PeerAddress: e.Address, Slots: e.Upstream.Slots, ReadySince: e.Learned,
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, all := range services {
		s.balancerFor(name).SetInstances(now, all)
	}
	for name, b := range s.balancers {
		if _, ok := services[name]; !ok {
			b.SetInstances(now, nil)
		}
	}
	for id, suspect := range s.suspects {
		if now.Sub(suspect.until) > 2*maxSuspicion {
			delete(s.suspects, id)
		}
	}
}

// balancerFor returns the balancer of a service. The caller holds the lock.
func (s *Instances) balancerFor(service string) *balancer.Balancer {
	b, ok := s.balancers[service]
	if !ok {
		b = balancer.New(s.config(service), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
		s.balancers[service] = b
	}
	return b
}

func (s *Instances) config(service string) balancer.Config {
	v := s.values(service)
	return balancer.Config{Region: s.region, FailureDomain: s.domain, LocalCostLimit: localCost, StragglerFraction: v.StragglerShare}
}

// HasReady reports whether the directory lists an instance of a service that takes
// calls.
func (s *Instances) HasReady(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.balancers[service]
	return ok && b.ReadyCount(nil) > 0
}

// Reconfigure applies the settings in force.
func (s *Instances) Reconfigure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, b := range s.balancers {
		b.Configure(s.config(service))
	}
}

// find returns the balancer of a service and the instances to avoid now.
func (s *Instances) find(now time.Time, service string) (*balancer.Balancer, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var avoid []string
	for id, suspect := range s.suspects {
		if now.Before(suspect.until) {
			avoid = append(avoid, id)
		}
	}
	return s.balancers[service], avoid
}

// suspect avoids an instance for a while.
func (s *Instances) suspect(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.suspects[id]
	entry.failures++
	entry.until = now.Add(min(maxSuspicion, firstSuspicion<<min(entry.failures-1, 8)))
	s.suspects[id] = entry
}

// trust ends the suspicion of an instance that responded.
func (s *Instances) trust(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.suspects, id)
}
