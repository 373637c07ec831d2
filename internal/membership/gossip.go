package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// maxPacketBytes keeps a packet within one Ethernet frame of the usual size: when a
// packet is fragmented, the loss of one IP fragment loses the whole packet.
const maxPacketBytes = 1400

// updateOverhead is the size in bytes of the field tag and length that precede each
// record in an encoded packet.
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

// transmit fills a packet with updates and queues it for sending. A receiver that is
// suspect, dead or left in the local table is sent its own record, so that it can
// refute. receiver is nil when the receiver is unknown or its record is not needed.
func (c *core) transmit(now time.Time, to string, p *peerv1.Packet, receiver *record) {
	if receiver != nil && receiver.State != Alive {
		p.Updates = append(p.Updates, c.recordMessage(now, receiver))
	}
	c.piggyback(now, p)
	c.out.sends = append(c.out.sends, outboundPacket{to: to, packet: p})
}

// piggyback adds queued updates to the packet, within the packet size and the byte
// rate. It returns the number of updates added.
func (c *core) piggyback(now time.Time, p *peerv1.Packet) int {
	if c.queue.empty() {
		return 0
	}
	c.refillTokens(now)
	available := maxPacketBytes - proto.Size(p)
	added := 0
	c.queue.take(c.cfg.retransmits(c.fleetSize()), func(id string) bool {
		m := c.messageByID(now, id)
		if m == nil {
			return true
		}
		size := proto.Size(m) + updateOverhead
		if size > available || float64(size) > c.gossipTokens {
			return false
		}
		available -= size
		c.gossipTokens -= float64(size)
		p.Updates = append(p.Updates, m)
		added++
		return true
	})
	return added
}

// messageByID returns the wire form of the record of id, or nil when the record was
// removed.
func (c *core) messageByID(now time.Time, id string) *peerv1.Member {
	if id == c.self.ID {
		return toProto(&c.self, 0)
	}
	if r := c.table.get(id); r != nil {
		return c.recordMessage(now, r)
	}
	return nil
}

// refillTokens adds the bytes that the rate limit of updates grants for the time since
// the last call. The unused bytes never exceed those of one second.
func (c *core) refillTokens(now time.Time) {
	rate := float64(c.cfg.GossipBytesPerSecond)
	if elapsed := now.Sub(c.gossipTokensAt).Seconds(); elapsed > 0 {
		c.gossipTokens = min(rate, c.gossipTokens+elapsed*rate)
		c.gossipTokensAt = now
	}
}

// gossiping reports whether there are updates or a new settings revision to
// disseminate.
func (c *core) gossiping() bool {
	return !c.queue.empty() || c.revisionRoundsLeft > 0
}

// tickGossip sends one gossip round, a packet to each of GossipFanout random live members,
// when one is due and there are updates or a new settings revision to disseminate.
func (c *core) tickGossip(now time.Time) {
	if !c.gossiping() || now.Before(c.nextGossip) {
		return
	}
	c.nextGossip = now.Add(c.jittered(c.cfg.GossipInterval))
	sendRevision := c.revisionRoundsLeft > 0
	if sendRevision {
		c.revisionRoundsLeft--
	}
	for _, r := range c.table.sampleLive(c.rng, c.cfg.GossipFanout, nil) {
		p := c.packet(0)
		if c.piggyback(now, p) == 0 && !sendRevision {
			return
		}
		c.out.sends = append(c.out.sends, outboundPacket{to: r.Addresses.Gossip, packet: p})
	}
}

// leave queues the leave notice, which is the local node's record in state Left. It is sent
// as often as any update, unless markDeparted is called before.
func (c *core) leave(now time.Time) {
	if c.self.State == Left {
		return
	}
	c.self.State = Left
	c.raiseVersion()
	c.nextGossip = now
}

// leaveNoticeSent reports whether the leave notice was sent as often as any update, or
// there is no live member to send it to.
func (c *core) leaveNoticeSent() bool {
	return len(c.table.live) == 0 || !c.queue.has(c.self.ID)
}

// markDeparted stops all activity of the local node.
func (c *core) markDeparted() {
	c.left = true
}
