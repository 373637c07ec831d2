package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/membership"
)

// fleetSizes are the numbers of nodes in the fleets that are run over loopback.
var fleetSizes = []int{16, 32, 64, 128}

// joinTimeout bounds the time until all nodes of a fleet know each other.
const joinTimeout = time.Minute

// startFleet starts a fleet and waits until it has converged and its traffic is that
// of an idle fleet.
func startFleet(size int) ([]*node, error) {
	first, err := startNode("n000")
	if err != nil {
		return nil, err
	}
	nodes := []*node{first}
	seed := first.memberlist.Self().Addresses.Gossip
	for i := 1; i < size; i++ {
		n, err := startNode(fmt.Sprintf("n%03d", i), seed)
		if err != nil {
			return nodes, err
		}
		nodes = append(nodes, n)
	}
	deadline := time.Now().Add(joinTimeout)
	for !converged(nodes) {
		if time.Now().After(deadline) {
			return nodes, errors.Errorf("%d nodes did not learn of each other within %s", size, joinTimeout)
		}
		time.Sleep(50 * time.Millisecond)
	}
	// Waits until the updates from the start are disseminated, so that they are not
	// measured.
	time.Sleep(5 * time.Second)
	return nodes, nil
}

// converged reports whether every node knows all members and has a fresh member table:
// one that was compared with that of a peer node.
func converged(nodes []*node) bool {
	for _, n := range nodes {
		if len(n.memberlist.Members()) != len(nodes) || !n.memberlist.Fresh() {
			return false
		}
	}
	return true
}

func closeFleet(nodes []*node) {
	for _, n := range nodes {
		n.close()
	}
}

// bytesSent returns the total size of all datagrams that the nodes have sent.
func bytesSent(nodes []*node) float64 {
	var bytes uint64
	for _, n := range nodes {
		bytes += n.memberlist.Stats().BytesSent
	}
	return float64(bytes)
}

// measureIdleFleet measures idle fleets of several sizes, each for the length of phase,
// and the time until all nodes have learned of a drain.
func measureIdleFleet(phase time.Duration) error {
	var x, cpu, bytes, drain []float64
	for _, size := range fleetSizes {
		nodes, err := startFleet(size)
		if err != nil {
			closeFleet(nodes)
			return err
		}
		sent, begin := bytesSent(nodes), processorTime()
		time.Sleep(phase)
		perNode := phase.Seconds() * float64(size)
		x = append(x, float64(size))
		cpu = append(cpu, float64((processorTime()-begin).Microseconds())/perNode)
		bytes = append(bytes, (bytesSent(nodes)-sent)/perNode)
		drain = append(drain, slowestDrainMs(nodes))
		closeFleet(nodes)
	}
	printTable("Idle fleet over loopback UDP, per node and second; slowest of 5 drains", "nodes", x,
		map[string][]float64{"processor us": cpu, "bytes sent": bytes, "drain ms": drain},
		[]string{"processor us", "bytes sent", "drain ms"})
	return nil
}

// slowestDrainMs drains five nodes one after the other and returns the longest time in
// milliseconds until all nodes had learned of a drain.
func slowestDrainMs(nodes []*node) float64 {
	slowest := time.Duration(0)
	for i := range 5 {
		drained := nodes[i]
		begin := time.Now()
		drained.memberlist.UpdateLocal(func(m *membership.Metadata) { m.Draining = true })
		for !allLearned(nodes, drained) {
			time.Sleep(5 * time.Millisecond)
		}
		slowest = max(slowest, time.Since(begin))
	}
	return float64(slowest.Milliseconds())
}

// allLearned reports whether all nodes have learned of the drain.
func allLearned(nodes []*node, drained *node) bool {
	id := drained.memberlist.Self().ID
	for _, n := range nodes {
		if m, ok := n.memberlist.Member(id); !ok || !m.Draining {
			return false
		}
	}
	return true
}

// measureChanges measures the cost of member changes and of settings revisions in one
// fleet, each at several rates of change.
func measureChanges(phase time.Duration) error {
	const size = 32
	nodes, err := startFleet(size)
	defer func() { closeFleet(nodes) }()
	if err != nil {
		return err
	}
	revision := int64(0)
	changeMember := func(i int) {
		nodes[i%size].memberlist.UpdateLocal(func(m *membership.Metadata) { m.Slots++ })
	}
	changeSettings := func(int) {
		revision++
		for _, n := range nodes {
			n.memberlist.UpdateLocal(func(m *membership.Metadata) { m.SettingsRevision = revision })
		}
	}
	measureRates(phase, nodes, "Member changes in a fleet of 32, per node and second", changeMember)
	measureRates(phase, nodes, "Settings revisions in a fleet of 32, per node and second, packets only", changeSettings)
	return nil
}

// measureRates measures a fleet while change is called at each of several rates, each for
// the length of phase. change receives the number of calls before it at this rate.
func measureRates(phase time.Duration, nodes []*node, title string, change func(i int)) {
	rates := []float64{0, 1, 2, 4}
	var cpu, bytes []float64
	for _, rate := range rates {
		sent, begin := bytesSent(nodes), processorTime()
		count := int(rate * phase.Seconds())
		for i := range count {
			change(i)
			time.Sleep(phase / time.Duration(count))
		}
		if count == 0 {
			time.Sleep(phase)
		}
		perNode := phase.Seconds() * float64(len(nodes))
		cpu = append(cpu, float64((processorTime()-begin).Microseconds())/perNode)
		bytes = append(bytes, (bytesSent(nodes)-sent)/perNode)
		// Waits until the remaining updates are disseminated: they belong to this rate
		// and must not be measured with the next.
		time.Sleep(3 * time.Second)
	}
	printTable(title, "changes/s", rates, map[string][]float64{"processor us": cpu, "bytes sent": bytes}, []string{"processor us", "bytes sent"})
}
