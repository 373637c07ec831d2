package policy

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/call"
)

// cluster holds the nodes and the results of one run of a scenario.
type cluster struct {
	scenario Scenario
	// start is the virtual time at which the run started.
	start time.Time
	// nodes is indexed by service and instance, byID by the id of the node.
	nodes   [][]*node
	byID    map[string]*node
	results *Results
}

// Run runs a scenario and returns its results. It must be called inside a synctest
// bubble.
func Run(s Scenario) *Results {
	c := &cluster{scenario: s, start: time.Now(), byID: make(map[string]*node), results: newResults(s)}
	for service, spec := range s.Services {
		var nodes []*node
		for instance := range spec.Instances {
			n := newNode(c, service, instance)
			nodes = append(nodes, n)
			c.byID[n.id] = n
		}
		c.nodes = append(c.nodes, nodes)
	}
	for _, nodes := range c.nodes {
		for instance, n := range nodes {
			n.createBalancers(instance)
		}
	}
	c.generateLoad()
	return c.results
}

// instances returns the instances of a service as a balancer sees them. All have
// been ready for longer than the ramp-up.
func (c *cluster) instances(service int) []balancer.Instance {
	var all []balancer.Instance
	for _, n := range c.nodes[service] {
		all = append(all, balancer.Instance{
			ID: n.id, Region: "ro", Slots: c.scenario.Services[service].Slots, ReadySince: c.start.Add(-time.Hour),
		})
	}
	return all
}

// generateLoad sends requests as a Poisson process and waits until all have finished.
func (c *cluster) generateLoad() {
	random := rand.New(rand.NewPCG(c.scenario.Seed, 1))
	var clients sync.WaitGroup
	for {
		at := time.Since(c.start)
		if at >= c.scenario.Length {
			break
		}
		time.Sleep(time.Duration(random.ExpFloat64() / c.scenario.Rate(at) * float64(time.Second)))
		class := c.pickClass(random)
		clientRandom := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		clients.Go(func() { c.runClient(class, clientRandom) })
	}
	clients.Wait()
}

// pickClass draws a class with a probability equal to its share.
func (c *cluster) pickClass(random *rand.Rand) *Class {
	x := random.Float64()
	for i := range c.scenario.Classes {
		x -= c.scenario.Classes[i].Share
		if x < 0 {
			return &c.scenario.Classes[i]
		}
	}
	return &c.scenario.Classes[0]
}

// runClient sends one request and retries it aggressively until it succeeds, its
// timeout expires or all retries are used.
func (c *cluster) runClient(class *Class, random *rand.Rand) {
	arrived := time.Since(c.start)
	ctx, cancel := context.WithTimeout(context.Background(), c.scenario.timeout())
	defer cancel()
	for range 1 + clientRetries {
		result := c.sendRequest(ctx, class, random)
		if result.succeeded() && ctx.Err() == nil {
			c.results.addSuccess(class, arrived, time.Since(c.start), result.executions)
			return
		}
		backoff := clientBackoff/2 + time.Duration(random.Int64N(int64(clientBackoff)))
		if sleep(ctx, backoff) != nil {
			break
		}
	}
	c.results.addFailure(class, arrived)
}

// sendRequest makes one attempt at a request through a random node of the first service,
// including the delay between client and node in both directions.
func (c *cluster) sendRequest(ctx context.Context, class *Class, random *rand.Rand) callResult {
	if sleep(ctx, clientDelay) != nil {
		return contextResult(ctx)
	}
	deadline, _ := ctx.Deadline()
	ingress := c.nodes[0][random.IntN(len(c.nodes[0]))]
	req := request{class: class, random: random, meta: call.Metadata{
		RequestID: uuid.UUID(newUUID(random)), Kind: class.Kind, Priority: class.Priority, Deadline: deadline,
		Allowance: call.Allowance{Retries: 3, Moves: 6}, Idempotent: class.Idempotent,
	}}
	result, _ := ingress.call(ctx, 0, req)
	if sleep(ctx, clientDelay) != nil {
		return contextResult(ctx)
	}
	return result
}
