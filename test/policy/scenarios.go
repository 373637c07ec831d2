package policy

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Each service has the size of one in the Rulaj deployment: four instances with 35
// slots each.
const (
	instancesPerService = 4
	slotsPerInstance    = 35
)

// The last service slows down between these two times, or the demand increases from
// the first of them.
const (
	disturbanceStart = 3 * time.Second
	disturbanceEnd   = 6 * time.Second
)

// Capacities in requests per second: the slots of the bottleneck service divided by
// the time for which a request holds them without any queueing.
const (
	// LastBottleneckCapacity is bounded by the last service: six calls of 20 ms per
	// request.
	LastBottleneckCapacity = instancesPerService * slotsPerInstance / (6 * 0.020)
	// FirstBottleneckCapacity is bounded by the first service, which holds its slot for
	// its own 25 ms and for all nested calls: 4 services and 3 round trips.
	FirstBottleneckCapacity = instancesPerService * slotsPerInstance / (4*0.025 + 3*0.0015)
	// SingleServiceCapacity is that of one service with a service time of 40 ms.
	SingleServiceCapacity = instancesPerService * slotsPerInstance / 0.040
)

// mixedClasses returns idempotent classes of three priorities and a non-idempotent
// critical one.
func mixedClasses() []Class {
	return []Class{
		{Kind: "search", Priority: call.Normal, Share: 0.6, ServiceTimeFactor: 1, Idempotent: true},
		{Kind: "history", Priority: call.High, Share: 0.1, ServiceTimeFactor: 1, Idempotent: true},
		{Kind: "preview", Priority: call.Background, Share: 0.2, ServiceTimeFactor: 1, Idempotent: true},
		{Kind: "payment", Priority: call.Critical, Share: 0.1, ServiceTimeFactor: 1},
	}
}

func service(serviceTime time.Duration, fanOut int) Service {
	return Service{Instances: instancesPerService, Slots: slotsPerInstance, ServiceTime: serviceTime, FanOut: fanOut}
}

// LastServiceBottleneck is a chain of four services with the bottleneck at the last.
func LastServiceBottleneck(rate func(time.Duration) float64) Scenario {
	ms := time.Millisecond
	return Scenario{
		Services: []Service{service(ms, 1), service(ms, 1), service(ms, 6), service(20*ms, 0)},
		Classes:  mixedClasses(), Rate: rate, Warmup: 2 * time.Second, Length: 6 * time.Second,
	}
}

// FirstServiceBottleneck is a chain of four services with the bottleneck at the first.
func FirstServiceBottleneck(rate func(time.Duration) float64) Scenario {
	serviceTime := 25 * time.Millisecond
	return Scenario{
		Services: []Service{service(serviceTime, 1), service(serviceTime, 1), service(serviceTime, 1), service(serviceTime, 0)},
		Classes:  mixedClasses(), Rate: rate, Warmup: 2 * time.Second, Length: 6 * time.Second,
	}
}

// SlowLastService is LastServiceBottleneck at 80 % load with a last service that is
// five times slower for three seconds.
func SlowLastService() Scenario {
	s := LastServiceBottleneck(constant(0.8 * LastBottleneckCapacity))
	s.Length = disturbanceEnd + 6*time.Second
	s.SlowdownFactor = func(service, _ int, at time.Duration) float64 {
		if service == 3 && at >= disturbanceStart && at < disturbanceEnd {
			return 5
		}
		return 1
	}
	return s
}

// DemandIncrease triples the demand within a second, starting at half of the capacity.
func DemandIncrease() Scenario {
	s := LastServiceBottleneck(func(at time.Duration) float64 {
		ramp := min(max(0, (at-disturbanceStart).Seconds()), 1)
		return LastBottleneckCapacity * (0.5 + ramp)
	})
	s.Length = disturbanceStart + 7*time.Second
	return s
}

// LongJobs is a single service at which short calls take 35 % of the capacity. The
// long jobs take ten times as long as a short call and fill the service: they demand
// twice its capacity.
func LongJobs(withLongJobs bool) Scenario {
	short := 0.35 * SingleServiceCapacity
	long := 0.0
	if withLongJobs {
		long = 2 * SingleServiceCapacity / 10
	}
	return Scenario{
		Services: []Service{service(40*time.Millisecond, 0)},
		Classes: []Class{
			{Kind: "short", Priority: call.Normal, Share: short / (short + long), ServiceTimeFactor: 1, Idempotent: true},
			{Kind: "long", Priority: call.Normal, Share: long / (short + long), ServiceTimeFactor: 10, Idempotent: true},
		},
		Rate: constant(short + long), Warmup: 3 * time.Second, Length: 9 * time.Second, Timeout: 10 * time.Second,
	}
}

// Straggler is a single service at half load. With the straggler, one of its four
// instances is ten times slower after the first second.
func Straggler(withStraggler bool) Scenario {
	return Scenario{
		Services: []Service{service(40*time.Millisecond, 0)},
		Classes: []Class{
			{Kind: "search", Priority: call.Normal, Share: 0.9, ServiceTimeFactor: 1, Idempotent: true},
			{Kind: "payment", Priority: call.Critical, Share: 0.1, ServiceTimeFactor: 1},
		},
		Rate: constant(0.5 * SingleServiceCapacity), Warmup: 2 * time.Second, Length: 10 * time.Second, Timeout: 10 * time.Second,
		SlowdownFactor: func(_, instance int, at time.Duration) float64 {
			if withStraggler && instance == 1 && at > time.Second {
				return 10
			}
			return 1
		},
	}
}
