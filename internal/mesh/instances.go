package mesh

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/settings"
)

const (
	// initialSuspicion is how long an instance is avoided after its first failure since its
	// node last responded. The duration doubles with each further failure, up to
	// maxSuspicion.
	initialSuspicion = 500 * time.Millisecond
	maxSuspicion     = 4 * time.Second
	// localCostLimit is the cost, in calls per slot, below which an instance of the
	// local failure domain is preferred. Upstreams slow down when they are nearly full.
	localCostLimit = 0.9
	// rateLimitRetention is how long the rate limit of an instance is kept after its last
	// report. It covers a restart of the instance's node, which learns the limit from it.
	rateLimitRetention = 30 * time.Second
	// leavingRetention is how long an instance that leaves is remembered. It has ended by
	// then.
	leavingRetention = 10 * time.Minute
)

// Instances chooses among the upstream instances that the directory lists. It
// is safe for concurrent use.
type Instances struct {
	region    string
	domain    string
	directory *directory.Directory
	// values returns the settings in force for a service.
	values func(service string) settings.Values

	mu sync.Mutex
	// services holds the instances of each service, serviceOf the service of each node.
	services  map[string]*serviceInstances
	serviceOf map[string]string
	// balancers holds the balancer of each service to which a call was made.
	balancers map[string]*balancer.Balancer
	// suspects holds the suspicion of each suspected instance, by its id.
	suspects map[string]suspicion
	// rateLimits holds the rate limits that instances reported, by the id of the instance.
	rateLimits map[string]reportedRateLimit
	// leaving holds when an instance was last known to leave, from a response to this node or from
	// an entry. It gets no more calls of this node, whatever a later entry says.
	leaving map[incarnation]time.Time
}

// incarnation identifies one start of an upstream.
type incarnation struct {
	id      string
	started uint64
}

// reportedRateLimit is a rate limit in calls per second with the time of its last report.
type reportedRateLimit struct {
	perSecond *float64
	at        time.Time
}

// suspicion is the state of an instance that recently was unreachable or accepted no
// calls.
type suspicion struct {
	// until is when the instance is no longer avoided.
	until time.Time
	// failures counts the failures passed to suspect since the node of the instance last
	// responded, or since an old suspicion was deleted.
	failures int
}

// NewInstances returns an Instances without any service; Update adds those of
// the directory.
func NewInstances(region, failureDomain string, d *directory.Directory, values func(string) settings.Values) *Instances {
	return &Instances{
		region: region, domain: failureDomain, directory: d, values: values,
		services: make(map[string]*serviceInstances), serviceOf: make(map[string]string),
		balancers: make(map[string]*balancer.Balancer), suspects: make(map[string]suspicion),
		rateLimits: make(map[string]reportedRateLimit), leaving: make(map[incarnation]time.Time),
	}
}

// Update applies all entries of the directory.
func (s *Instances) Update(now time.Time) {
	entries := s.directory.All()
	s.Apply(now, entries)
}

// Apply applies the current entries of the nodes whose entries have changed, and deletes old
// suspicions, rate limits and incarnations that leave. The work grows with the changes and not
// with the fleet: choices of a service are rebuilt when the next call to it is made. A service
// that the directory no longer lists stays known, without instances.
func (s *Instances) Apply(now time.Time, changed []directory.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range changed {
		s.applyNode(now, e.Node)
	}
	s.expire(now)
}

// applyNode applies the current entry of a node, which may be newer than the change that led to
// this call. The caller holds the lock.
func (s *Instances) applyNode(now time.Time, node string) {
	name := ""
	e, ok := s.directory.Get(node)
	if ok && !e.Removed && e.Upstream != nil {
		name = e.Upstream.Service
	}
	if previous, known := s.serviceOf[node]; known && previous != name {
		s.services[previous].remove(node)
		delete(s.serviceOf, node)
	}
	if name == "" {
		return
	}
	if s.services[name] == nil {
		s.services[name] = newServiceInstances()
	}
	s.serviceOf[node] = name
	s.services[name].put(e)
	if started := startOf(e.Upstream); e.Upstream.State == directory.Draining && started != 0 {
		s.leaving[incarnation{e.Upstream.ID, started}] = now
	}
}

// expire deletes old suspicions, rate limits and incarnations that leave. The caller holds the
// lock.
func (s *Instances) expire(now time.Time) {
	for id, suspected := range s.suspects {
		if now.Sub(suspected.until) > 2*maxSuspicion {
			delete(s.suspects, id)
		}
	}
	for id, reported := range s.rateLimits {
		if now.Sub(reported.at) > rateLimitRetention {
			delete(s.rateLimits, id)
		}
	}
	for key, since := range s.leaving {
		if now.Sub(since) > leavingRetention {
			delete(s.leaving, key)
		}
	}
}

// current returns the balancer of a service with its present instances, or nil if the service is
// not known. The caller holds the lock.
func (s *Instances) current(now time.Time, name string) *balancer.Balancer {
	service, ok := s.services[name]
	if !ok {
		return nil
	}
	b := s.balancerFor(name)
	if service.changed {
		service.changed = false
		b.SetInstances(now, service.list(func(u *directory.Upstream) bool {
			_, leaves := s.leaving[incarnation{u.ID, startOf(u)}]
			return leaves
		}))
	}
	return b
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
	return balancer.Config{Region: s.region, FailureDomain: s.domain, LocalCostLimit: localCostLimit, StragglerFraction: v.StragglerFraction, LearnedCapacity: v.LearnedCapacity}
}

// HasReady reports whether the directory lists a ready instance of a service, suspected
// or not.
func (s *Instances) HasReady(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.current(time.Now(), service)
	return b != nil && b.ReadyCount(nil) > 0
}

// Reconfigure applies the settings in force.
func (s *Instances) Reconfigure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, b := range s.balancers {
		b.Configure(s.config(service))
	}
}

// lookup returns the balancer of a service, nil when the service is unknown, and the ids
// of the instances of all services that are suspected now.
func (s *Instances) lookup(now time.Time, service string) (*balancer.Balancer, []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var avoid []string
	for id, suspected := range s.suspects {
		if now.Before(suspected.until) {
			avoid = append(avoid, id)
		}
	}
	return s.current(now, service), avoid
}

// suspect records a failure of an instance, so that lookup returns it as suspected for
// initialSuspicion, or for a duration that doubles with each further failure since the node
// of the instance last responded, up to maxSuspicion.
func (s *Instances) suspect(now time.Time, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	suspected := s.suspects[id]
	suspected.failures++
	suspected.until = now.Add(min(maxSuspicion, initialSuspicion<<min(suspected.failures-1, 8)))
	s.suspects[id] = suspected
}

// clearSuspicion ends the suspicion of an instance whose node responded.
func (s *Instances) clearSuspicion(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.suspects, id)
}

// noteLoad records the rate limit in the load that an instance reported.
func (s *Instances) noteLoad(now time.Time, id string, load *admission.Load) {
	if load == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if load.RateLimit == nil {
		delete(s.rateLimits, id)
		return
	}
	s.rateLimits[id] = reportedRateLimit{perSecond: load.RateLimit, at: now}
}

// rateLimit returns the rate limit that an instance reported last, nil when it reported none
// within rateLimitRetention.
func (s *Instances) rateLimit(now time.Time, id string) *float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	reported := s.rateLimits[id]
	if now.Sub(reported.at) > rateLimitRetention {
		return nil
	}
	return reported.perSecond
}

// noteLeaving records that an instance states that it leaves, and chooses it no more.
func (s *Instances) noteLeaving(now time.Time, i balancer.Instance) {
	key := incarnation{i.ID, i.Incarnation}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, known := s.leaving[key]
	s.leaving[key] = now
	if known {
		return
	}
	for _, service := range s.services {
		service.changed = true
	}
}
