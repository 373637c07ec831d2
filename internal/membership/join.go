package membership

import (
	"slices"
	"time"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

const (
	// joinFanout is the number of seeds pinged in one join attempt.
	joinFanout = 3
	// maxLearnedSeeds bounds the seeds kept in addition to the configured ones.
	maxLearnedSeeds = 64
	// maxJoinBackoff bounds the factor by which the join interval grows while the
	// node knows no other live member.
	maxJoinBackoff = 10
)

// alone reports whether the node knows no other member in state Alive or Suspect.
func (c *core) alone() bool {
	return len(c.table.live) == 0
}

// addSeed adds a gossip address to the learned seeds. When there are maxLearnedSeeds of
// them, it replaces the oldest.
func (c *core) addSeed(address string) {
	if address == "" || address == c.self.Addresses.Gossip || slices.Contains(c.seeds, address) {
		return
	}
	if len(c.seeds) >= len(c.cfg.Seeds)+maxLearnedSeeds {
		c.seeds = slices.Delete(c.seeds, len(c.cfg.Seeds), len(c.cfg.Seeds)+1)
	}
	c.seeds = append(c.seeds, address)
}

// addSeeds adds the addresses of the seed objects read from the store. A node that
// knows no other live member then makes a join attempt without delay.
func (c *core) addSeeds(now time.Time, addresses []string) {
	for _, address := range addresses {
		c.addSeed(address)
	}
	if c.alone() && len(addresses) > 0 {
		c.nextJoin = now
	}
}

// tickJoin pings random seeds while the node knows no other live member. After
// JoinAttempts attempts without a response the node treats itself as the only member, so
// that its view counts as fresh.
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

// pingSeed pings an address without naming a target, so that any process there
// acknowledges it. The ping carries the record of the local node.
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

// receiveJoinAck handles an ack that belongs to no probe in progress, normally that of a
// pinged seed: it starts a full sync with the sender if that is a live member, the whole
// table is still needed and no sync is in progress.
func (c *core) receiveJoinAck(now time.Time, p *peerv1.Packet) {
	if !c.needFullSync {
		return
	}
	r := c.table.get(p.FromId)
	if r == nil || r.State.ended() || c.syncing {
		return
	}
	c.startSync(now, r, true)
}

// tickReconnect pings one dead member or one seed that is not a live member. Without
// these pings, no node on either side of a long partition would contact the other side.
func (c *core) tickReconnect(now time.Time) {
	if now.Before(c.nextReconnect) {
		return
	}
	c.nextReconnect = now.Add(c.jittered(c.cfg.ReconnectInterval))
	if address := c.reconnectAddress(); address != "" {
		c.pingSeed(now, address)
	}
}

// reconnectAddress returns a random gossip address among those of dead members and
// seeds that no live member uses, or "" when there is none.
func (c *core) reconnectAddress() string {
	live := make(map[string]bool, len(c.table.live))
	for _, r := range c.table.live {
		live[r.Addresses.Gossip] = true
	}
	var candidates []string
	for _, r := range c.table.byID {
		if r.State == Dead && !live[r.Addresses.Gossip] {
			candidates = append(candidates, r.Addresses.Gossip)
		}
	}
	// Map iteration order differs from run to run, but the same random seed has to lead
	// to the same choice.
	slices.Sort(candidates)
	for _, address := range c.seeds {
		if !live[address] && address != c.self.Addresses.Gossip {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[c.rng.IntN(len(candidates))]
}
