package fleet

import "time"

// ServiceSpec describes one service of a deployment.
type ServiceSpec struct {
	Name        string
	Instances   int
	Slots       int
	Connections int
	ServiceTime time.Duration
	// Kinds gives call kinds their own mean service time.
	Kinds        map[string]time.Duration
	Distribution string
	NestedCalls  []string
	ColdStart    time.Duration
	// RefusesBeforeWork makes the upstream refuse, declared, when its slots are
	// taken.
	RefusesBeforeWork bool
	// Fails makes the upstream answer every call with 503.
	Fails bool
	// Proxied puts a fault proxy in front of the node's peer listener and another
	// one between the node and its upstream.
	Proxied bool
	// Advertise is the address that the upstream announces; empty means its own.
	Advertise string
}

// Deployment describes a whole fleet.
type Deployment struct {
	Region         string
	FailureDomains []string
	Services       []ServiceSpec
	// Policy is full or none.
	Policy string
	// LogLevel of the nodes; empty is info.
	LogLevel string
	// OTLPEndpoint receives the nodes' spans when set.
	OTLPEndpoint string
	// Settings are scope objects stored before the nodes start, by key.
	Settings map[string]string
	Seed     uint64
}

// RulajDeployment has the shape of the marketplace's deployment: a chain of four services
// in four failure domains, with the service of few slots at its end.
func RulajDeployment(serviceTime time.Duration) Deployment {
	return Deployment{
		Region:         "ro",
		FailureDomains: []string{"ro-a", "ro-b", "ro-c", "ro-d"},
		Services: []ServiceSpec{
			{Name: "search", Instances: 4, Slots: 35, Connections: 300, ServiceTime: serviceTime, NestedCalls: []string{"payments"}},
			{Name: "payments", Instances: 4, Slots: 35, Connections: 300, ServiceTime: serviceTime, NestedCalls: []string{"photos"}},
			{Name: "photos", Instances: 4, Slots: 35, Connections: 300, ServiceTime: serviceTime, NestedCalls: []string{"history"}},
			{Name: "history", Instances: 4, Slots: 10, Connections: 170, ServiceTime: serviceTime},
		},
		Policy: "full",
	}
}

// ZadrugaDeployment has the shape of the co-operative's deployment: four services in three
// failure domains.
func ZadrugaDeployment(serviceTime time.Duration) Deployment {
	return Deployment{
		Region:         "hr",
		FailureDomains: []string{"hr-a", "hr-b", "hr-c"},
		Services: []ServiceSpec{
			{Name: "certificates", Instances: 3, Slots: 100, Connections: 700, ServiceTime: serviceTime, NestedCalls: []string{"ledger"}},
			{Name: "ledger", Instances: 3, Slots: 100, Connections: 700, ServiceTime: serviceTime, NestedCalls: []string{"documents"}},
			{Name: "documents", Instances: 3, Slots: 100, Connections: 700, ServiceTime: serviceTime, NestedCalls: []string{"cylinders"}},
			{Name: "cylinders", Instances: 3, Slots: 25, Connections: 250, ServiceTime: serviceTime},
		},
		Policy: "full",
	}
}
