package main

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/membership"
)

// fleetSizes are the sizes of the fleets that run here over loopback.
var fleetSizes = []int{16, 32, 64, 128}

// joinLimit bounds the start of a measured fleet.
const joinLimit = time.Minute

func startFleet(size int) ([]*node, error) {
	first, err := startNode("n000")
	if err != nil {
		return nil, err
	}
	nodes := []*node{first}
	seed := first.list.Self().Addresses.Gossip
	for i := 1; i < size; i++ {
		n, err := startNode(fmt.Sprintf("n%03d", i), seed)
		if err != nil {
			return nodes, err
		}
		nodes = append(nodes, n)
	}
	deadline := time.Now().Add(joinLimit)
	for !complete(nodes) {
		if time.Now().After(deadline) {
			return nodes, errors.Errorf("%d nodes did not meet within %s", size, joinLimit)
		}
		time.Sleep(50 * time.Millisecond)
	}
	// The updates of the start have to run out before anything is measured.
	time.Sleep(5 * time.Second)
	return nodes, nil
}

func complete(nodes []*node) bool {
	for _, n := range nodes {
		if len(n.list.Members()) != len(nodes) || !n.list.Fresh() {
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

// traffic returns the datagram bytes sent by all nodes.
func traffic(nodes []*node) float64 {
	var bytes uint64
	for _, n := range nodes {
		bytes += n.list.Stats().BytesSent
	}
	return float64(bytes)
}

// measureFleet measures idle fleets, and the time a drain takes to reach all.
func measureFleet(phase time.Duration) error {
	var x, cpu, bytes, drain []float64
	for _, size := range fleetSizes {
		nodes, err := startFleet(size)
		if err != nil {
			closeFleet(nodes)
			return err
		}
		sent, begin := traffic(nodes), processorTime()
		time.Sleep(phase)
		perNode := phase.Seconds() * float64(size)
		x = append(x, float64(size))
		cpu = append(cpu, float64((processorTime()-begin).Microseconds())/perNode)
		bytes = append(bytes, (traffic(nodes)-sent)/perNode)
		drain = append(drain, slowestDrain(nodes))
		closeFleet(nodes)
	}
	printTable("Idle fleet over loopback UDP, per node and second; slowest of 5 drains", "nodes", x,
		map[string][]float64{"processor us": cpu, "bytes sent": bytes, "drain ms": drain},
		[]string{"processor us", "bytes sent", "drain ms"})
	return nil
}

// slowestDrain returns the milliseconds until the slowest of five changes was
// known to all nodes.
func slowestDrain(nodes []*node) float64 {
	worst := time.Duration(0)
	for i := range 5 {
		drained := nodes[i]
		begin := time.Now()
		drained.list.UpdateLocal(func(a *membership.Metadata) { a.Draining = true })
		for !allKnow(nodes, drained) {
			time.Sleep(5 * time.Millisecond)
		}
		worst = max(worst, time.Since(begin))
	}
	return float64(worst.Milliseconds())
}

func allKnow(nodes []*node, drained *node) bool {
	id := drained.list.Self().ID
	for _, n := range nodes {
		if m, ok := n.list.Member(id); !ok || !m.Draining {
			return false
		}
	}
	return true
}

// measureChanges measures what changes of members cost, from fleets of one size
// with different rates of change, and the same for settings revisions.
func measureChanges(phase time.Duration) error {
	const size = 32
	nodes, err := startFleet(size)
	defer func() { closeFleet(nodes) }()
	if err != nil {
		return err
	}
	revision := int64(0)
	member := func(i int) {
		nodes[i%size].list.UpdateLocal(func(a *membership.Metadata) { a.Slots++ })
	}
	settings := func(int) {
		revision++
		for _, n := range nodes {
			n.list.UpdateLocal(func(a *membership.Metadata) { a.SettingsRevision = revision })
		}
	}
	measureRates(phase, nodes, "Member changes in a fleet of 32, per node and second", member)
	measureRates(phase, nodes, "Settings revisions in a fleet of 32, per node and second, packets only", settings)
	return nil
}

func measureRates(phase time.Duration, nodes []*node, title string, change func(i int)) {
	rates := []float64{0, 1, 2, 4}
	var cpu, bytes []float64
	for _, rate := range rates {
		sent, begin := traffic(nodes), processorTime()
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
		bytes = append(bytes, (traffic(nodes)-sent)/perNode)
		// What is still being passed on belongs to this rate, not to the next.
		time.Sleep(3 * time.Second)
	}
	printTable(title, "changes/s", rates, map[string][]float64{"processor us": cpu, "bytes sent": bytes}, []string{"processor us", "bytes sent"})
}
