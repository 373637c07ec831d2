package policy

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Rulaj's shape: four instances with 35 slots each.
const (
	instances = 4
	slots     = 35
)

const (
	surgeStart = 3 * time.Second
	surgeEnd   = 6 * time.Second
)

// Capacities in requests per second: the slots of the tightest service divided by
// the time that a request holds them without any queueing.
const (
	// DeepCapacity is bounded by the last service: six calls of 20 ms per request.
	DeepCapacity = instances * slots / (6 * 0.020)
	// FrontCapacity is bounded by the first service, which holds its slot for its
	// own 25 ms and for all below: 4 services and 3 hops there and back.
	FrontCapacity = instances * slots / (4*0.025 + 3*0.0015)
	// SingleCapacity is that of one service with 40 ms of work.
	SingleCapacity = instances * slots / 0.040
)

func mixed() []Class {
	return []Class{
		{Kind: "search", Priority: call.Normal, Share: 0.6, WorkFactor: 1, Idempotent: true},
		{Kind: "history", Priority: call.High, Share: 0.1, WorkFactor: 1, Idempotent: true},
		{Kind: "preview", Priority: call.Background, Share: 0.2, WorkFactor: 1, Idempotent: true},
		{Kind: "payment", Priority: call.Critical, Share: 0.1, WorkFactor: 1},
	}
}

func service(work time.Duration, fanOut int) Service {
	return Service{Instances: instances, Slots: slots, Work: work, FanOut: fanOut}
}

// DeepChain is a chain of four whose last service is the tightest.
func DeepChain(rate func(time.Duration) float64) Scenario {
	ms := time.Millisecond
	return Scenario{
		Services: []Service{service(ms, 1), service(ms, 1), service(ms, 6), service(20*ms, 0)},
		Classes:  mixed(), Rate: rate, Warmup: 2 * time.Second, Length: 6 * time.Second,
	}
}

// FrontChain is a chain of four whose first service is the tightest.
func FrontChain(rate func(time.Duration) float64) Scenario {
	w := 25 * time.Millisecond
	return Scenario{
		Services: []Service{service(w, 1), service(w, 1), service(w, 1), service(w, 0)},
		Classes:  mixed(), Rate: rate, Warmup: 2 * time.Second, Length: 6 * time.Second,
	}
}

// Surge slows the last service of the deep chain five times for three seconds at
// 80 % load.
func Surge() Scenario {
	s := DeepChain(constant(0.8 * DeepCapacity))
	s.Length = surgeEnd + 6*time.Second
	s.Slow = func(service, _ int, at time.Duration) float64 {
		if service == 3 && at >= surgeStart && at < surgeEnd {
			return 5
		}
		return 1
	}
	return s
}

// Swing triples the demand within a second, from half of the capacity.
func Swing() Scenario {
	s := DeepChain(func(at time.Duration) float64 {
		ramp := min(max(0, (at-surgeStart).Seconds()), 1)
		return DeepCapacity * (0.5 + ramp)
	})
	s.Length = surgeStart + 7*time.Second
	return s
}

// LongJobs fills a single service with jobs ten times as long as the short calls,
// which take 35 % of the capacity.
func LongJobs(with bool) Scenario {
	short := 0.35 * SingleCapacity
	long := 0.0
	if with {
		long = 2 * SingleCapacity / 10
	}
	return Scenario{
		Services: []Service{service(40*time.Millisecond, 0)},
		Classes: []Class{
			{Kind: "short", Priority: call.Normal, Share: short / (short + long), WorkFactor: 1, Idempotent: true},
			{Kind: "long", Priority: call.Normal, Share: long / (short + long), WorkFactor: 10, Idempotent: true},
		},
		Rate: constant(short + long), Warmup: 3 * time.Second, Length: 9 * time.Second, Timeout: 10 * time.Second,
	}
}

// Straggler makes one of four instances ten times slower at half load.
func Straggler(with bool) Scenario {
	return Scenario{
		Services: []Service{service(40*time.Millisecond, 0)},
		Classes: []Class{
			{Kind: "search", Priority: call.Normal, Share: 0.9, WorkFactor: 1, Idempotent: true},
			{Kind: "payment", Priority: call.Critical, Share: 0.1, WorkFactor: 1},
		},
		Rate: constant(0.5 * SingleCapacity), Warmup: 2 * time.Second, Length: 10 * time.Second, Timeout: 10 * time.Second,
		Slow: func(_, instance int, at time.Duration) float64 {
			if with && instance == 1 && at > time.Second {
				return 10
			}
			return 1
		},
	}
}
