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

// cluster is the nodes of one run.
type cluster struct {
	scenario Scenario
	start    time.Time
	nodes    [][]*node
	byID     map[string]*node
	results  *Results
}

// Run carries out a scenario. It has to be called inside a synctest bubble.
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
			n.connect(instance)
		}
	}
	c.arrivals()
	return c.results
}

func (c *cluster) instances(service int) []balancer.Instance {
	var all []balancer.Instance
	for _, n := range c.nodes[service] {
		all = append(all, balancer.Instance{
			ID: n.id, Region: "ro", Slots: c.scenario.Services[service].Slots, ReadySince: c.start.Add(-time.Hour),
		})
	}
	return all
}

// arrivals starts the requests as a Poisson process and waits for all of them.
func (c *cluster) arrivals() {
	random := rand.New(rand.NewPCG(c.scenario.Seed, 1))
	var clients sync.WaitGroup
	for {
		at := time.Since(c.start)
		if at >= c.scenario.Length {
			break
		}
		time.Sleep(time.Duration(random.ExpFloat64() / c.scenario.Rate(at) * float64(time.Second)))
		class := c.pickClass(random)
		own := rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
		clients.Go(func() { c.client(class, own) })
	}
	clients.Wait()
}

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

// client sends one request and retries hard until it succeeds, its time is over
// or it has used all retries.
func (c *cluster) client(class *Class, random *rand.Rand) {
	arrived := time.Since(c.start)
	ctx, cancel := context.WithTimeout(context.Background(), c.scenario.timeout())
	defer cancel()
	for range 1 + clientRetries {
		r := c.request(ctx, class, random)
		if r.good() && ctx.Err() == nil {
			c.results.succeeded(class, arrived, time.Since(c.start), r.executions)
			return
		}
		backoff := clientBackoff/2 + time.Duration(random.Int64N(int64(clientBackoff)))
		if sleep(ctx, backoff) != nil {
			break
		}
	}
	c.results.lost(class, arrived)
}

func (c *cluster) request(ctx context.Context, class *Class, random *rand.Rand) reply {
	if sleep(ctx, clientDelay) != nil {
		return gaveUp(ctx)
	}
	deadline, _ := ctx.Deadline()
	ingress := c.nodes[0][random.IntN(len(c.nodes[0]))]
	w := work{class: class, random: random, meta: call.Metadata{
		RequestID: uuid.UUID(newAttempt(random)), Kind: class.Kind, Priority: class.Priority, Deadline: deadline,
		Allowance: call.Allowance{Retries: 3, Moves: 6}, Idempotent: class.Idempotent,
	}}
	r, _ := ingress.call(ctx, 0, w)
	if sleep(ctx, clientDelay) != nil {
		return gaveUp(ctx)
	}
	return r
}
