package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// maxPacketBytes keeps a packet within the usual Ethernet frame, because a lost
// IP fragment loses the whole packet.
const maxPacketBytes = 1400

// updateOverhead is the tag and length in front of each record in a packet.
const updateOverhead = 3

// packet returns a packet without a body.
func (c *core) packet(sequence uint64) *peerv1.Packet {
	return &peerv1.Packet{
		FromId:           c.self.ID,
		FromIncarnation:  c.self.Incarnation,
		Sequence:         sequence,
		SettingsRevision: c.self.SettingsRevision,
	}
}

// transmit completes a packet with updates and sends it. A receiver that this
// node takes for suspect or dead is told so, which lets it refute.
func (c *core) transmit(now time.Time, to string, p *peerv1.Packet, receiver *entry) {
	if receiver != nil && receiver.State != Alive {
		p.Updates = append(p.Updates, c.message(now, receiver))
	}
	c.piggyback(now, p)
	c.out.sends = append(c.out.sends, send{to: to, packet: p})
}

// piggyback fills the packet with queued updates within the packet size and the
// byte rate. It returns the number of updates added.
func (c *core) piggyback(now time.Time, p *peerv1.Packet) int {
	if c.queue.empty() {
		return 0
	}
	c.refill(now)
	room := maxPacketBytes - proto.Size(p)
	added := 0
	c.queue.take(c.cfg.retransmits(c.size()), func(id string) bool {
		m := c.current(now, id)
		if m == nil {
			return true
		}
		size := proto.Size(m) + updateOverhead
		if size > room || float64(size) > c.credit {
			return false
		}
		room -= size
		c.credit -= float64(size)
		p.Updates = append(p.Updates, m)
		added++
		return true
	})
	return added
}

// current returns the record of id for the wire, or nil when it is forgotten.
func (c *core) current(now time.Time, id string) *peerv1.Member {
	if id == c.self.ID {
		return toProto(&c.self, 0)
	}
	if e := c.table.get(id); e != nil {
		return c.message(now, e)
	}
	return nil
}

// refill adds the update bytes earned since the last call, up to one second's.
func (c *core) refill(now time.Time) {
	rate := float64(c.cfg.GossipBytesPerSecond)
	if elapsed := now.Sub(c.creditAt).Seconds(); elapsed > 0 {
		c.credit = min(rate, c.credit+elapsed*rate)
		c.creditAt = now
	}
}

func (c *core) gossiping() bool {
	return !c.queue.empty() || c.revisionRounds > 0
}

// tickGossip sends one round of updates while there is something new.
func (c *core) tickGossip(now time.Time) {
	if !c.gossiping() || now.Before(c.nextGossip) {
		return
	}
	c.nextGossip = now.Add(c.around(c.cfg.GossipInterval))
	announce := c.revisionRounds > 0
	if announce {
		c.revisionRounds--
	}
	for _, e := range c.table.pick(c.rng, c.cfg.GossipFanout, nil) {
		p := c.packet(0)
		if c.piggyback(now, p) == 0 && !announce {
			return
		}
		c.out.sends = append(c.out.sends, send{to: e.Addresses.Gossip, packet: p})
	}
}

// leave announces that this node goes away. It repeats the notice through
// ordinary rounds; departed ends them.
func (c *core) leave(now time.Time) {
	if c.self.State == Left {
		return
	}
	c.self.State = Left
	c.raise()
	c.nextGossip = now
}

// leaveSent reports whether the notice was sent as often as updates are.
func (c *core) leaveSent() bool {
	return len(c.table.live) == 0 || !c.queue.has(c.self.ID)
}

// departed stops all activity of this node.
func (c *core) departed() {
	c.left = true
}
