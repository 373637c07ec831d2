package membership

import (
	"slices"
	"time"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// Limits of joining.
const (
	// joinFanout is the number of seeds asked in one attempt.
	joinFanout = 3
	// maxLearnedSeeds bounds the seeds kept besides those of the configuration.
	maxLearnedSeeds = 64
	// maxJoinBackoff is how many times the join interval grows while alone.
	maxJoinBackoff = 10
)

// alone reports whether the node knows no other live member.
func (c *core) alone() bool {
	return len(c.table.live) == 0
}

// addSeed remembers a gossip address to try.
func (c *core) addSeed(address string) {
	if address == "" || address == c.self.Addresses.Gossip || slices.Contains(c.seeds, address) {
		return
	}
	if len(c.seeds) >= len(c.cfg.Seeds)+maxLearnedSeeds {
		c.seeds = slices.Delete(c.seeds, len(c.cfg.Seeds), len(c.cfg.Seeds)+1)
	}
	c.seeds = append(c.seeds, address)
}

// addSeeds takes the seed entries read from the store.
func (c *core) addSeeds(now time.Time, addresses []string) {
	for _, address := range addresses {
		c.addSeed(address)
	}
	if c.alone() && len(addresses) > 0 {
		c.nextJoin = now
	}
}

// tickJoin asks seeds for an answer while the node is alone.
func (c *core) tickJoin(now time.Time) {
	if !c.alone() || now.Before(c.nextJoin) {
		return
	}
	c.joinAttempts++
	if c.joinAttempts > c.cfg.JoinAttempts {
		c.fresh = true
	}
	interval := c.cfg.JoinInterval * time.Duration(min(c.joinAttempts, maxJoinBackoff))
	c.nextJoin = now.Add(interval/2 + c.jitter(interval))
	for _, i := range c.rng.Perm(len(c.seeds))[:min(joinFanout, len(c.seeds))] {
		c.pingSeed(now, c.seeds[i])
	}
}

// pingSeed asks whichever process has the address to answer, and introduces
// this node to it.
func (c *core) pingSeed(now time.Time, address string) {
	if address == c.self.Addresses.Gossip {
		return
	}
	c.sequence++
	p := c.packet(c.sequence)
	p.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{}}
	p.Updates = append(p.Updates, toProto(&c.self, 0))
	c.transmit(now, address, p, nil)
}

// receiveJoinAck asks the answering seed for its table.
func (c *core) receiveJoinAck(now time.Time, p *peerv1.Packet) {
	if !c.needFull {
		return
	}
	e := c.table.get(p.FromId)
	if e == nil || e.State.ended() || c.syncing {
		return
	}
	c.startSync(now, e, true)
}

// tickReconnect tries one dead member or one seed that is not a live member.
// After a long partition nobody on either side would start otherwise.
func (c *core) tickReconnect(now time.Time) {
	if now.Before(c.nextReconnect) {
		return
	}
	c.nextReconnect = now.Add(c.around(c.cfg.ReconnectInterval))
	if address := c.lostAddress(); address != "" {
		c.pingSeed(now, address)
	}
}

func (c *core) lostAddress() string {
	known := make(map[string]bool, len(c.table.live))
	for _, e := range c.table.live {
		known[e.Addresses.Gossip] = true
	}
	var lost []string
	for _, e := range c.table.byID {
		if e.State == Dead && !known[e.Addresses.Gossip] {
			lost = append(lost, e.Addresses.Gossip)
		}
	}
	// The order of a map is random; the choice has to be repeatable.
	slices.Sort(lost)
	for _, address := range c.seeds {
		if !known[address] && address != c.self.Addresses.Gossip {
			lost = append(lost, address)
		}
	}
	if len(lost) == 0 {
		return ""
	}
	return lost[c.rng.IntN(len(lost))]
}
