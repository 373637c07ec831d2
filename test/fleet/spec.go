package fleet

import "time"

// ServiceSpec describes one service of a deployment.
type ServiceSpec struct {
	Name      string
	Instances int
	// Slots is the number of slots of each upstream, Connections the largest number of
	// connections that each accepts.
	Slots       int
	Connections int
	// ServiceTime is the mean service time.
	ServiceTime time.Duration
	// Kinds maps call kinds to their mean service time, where it differs from
	// ServiceTime.
	Kinds map[string]time.Duration
	// Distribution of the service times: "fixed" (the default) or "exponential".
	Distribution string
	// NestedCalls lists the services, as service or service/kind, that each call
	// calls one after the other.
	NestedCalls []string
	// ColdStart is the time over which a new upstream speeds up to ServiceTime.
	ColdStart time.Duration
	// RefusesBeforeWork makes the upstream reject calls while it has no free slot,
	// with the declaration that they did not run.
	RefusesBeforeWork bool
	// Fails makes the upstream respond to every call with status 503 after its work.
	Fails bool
	// Proxied puts one fault proxy in front of the node's peer listener and another
	// one between the node and its upstream.
	Proxied bool
	// Advertise is the address that the upstream announces; empty means the address
	// of its listener.
	Advertise string
}

// Deployment describes a whole fleet.
type Deployment struct {
	Region         string
	FailureDomains []string
	Services       []ServiceSpec
	// Policy is the nodes' policy: "full", or "none" for the baseline without
	// overload control.
	Policy string
	// LogLevel is the log level of the nodes; empty means "info".
	LogLevel string
	// OTLPEndpoint receives the nodes' spans when set.
	OTLPEndpoint string
	// Settings are the scope objects stored before the nodes start, by object key; see
	// ScopeObject.
	Settings map[string]string
	// Seed is the seed of the service times; each instance adds its index.
	Seed uint64
}

// RulajDeployment returns a deployment in the shape of that of Rulaj, a
// marketplace: a chain of four services in four failure domains. The last service has
// the fewest slots.
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

// ZadrugaDeployment returns a deployment in the shape of that of Zadruga, a
// co-operative: a chain of four services in three failure domains.
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
