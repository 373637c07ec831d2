package membership

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// probe is the check of one member that is under way.
type probe struct {
	id          string
	incarnation uint64
	sequence    uint64
	indirectAt  time.Time
	failAt      time.Time
	indirect    bool
}

func (p *probe) deadline() time.Time {
	if p.indirect {
		return p.failAt
	}
	return p.indirectAt
}

// relay is a probe made on behalf of another member.
type relay struct {
	requester string
	sequence  uint64
	until     time.Time
}

// tickProbe advances the running probe and starts the next one.
func (c *core) tickProbe(now time.Time) {
	if c.probe != nil {
		c.advanceProbe(now)
	}
	if now.Before(c.nextProbe) {
		return
	}
	c.nextProbe = now.Add(c.around(c.cfg.ProbeInterval))
	c.dropRelays(now)
	if c.probe == nil {
		c.startProbe(now)
	}
}

func (c *core) advanceProbe(now time.Time) {
	p := c.probe
	e := c.table.get(p.id)
	if e == nil || e.State.ended() || e.Incarnation != p.incarnation {
		c.probe = nil
		return
	}
	if !now.Before(p.failAt) {
		c.probe = nil
		c.suspect(now, e)
		return
	}
	if !p.indirect && !now.Before(p.indirectAt) {
		p.indirect = true
		c.probeIndirectly(now, e)
	}
}

func (c *core) startProbe(now time.Time) {
	e := c.nextTarget()
	if e == nil {
		return
	}
	c.sequence++
	c.probe = &probe{
		id:          e.ID,
		incarnation: e.Incarnation,
		sequence:    c.sequence,
		indirectAt:  now.Add(c.cfg.ProbeTimeout),
		failAt:      now.Add(c.cfg.ProbeInterval),
	}
	c.ping(now, e, c.sequence)
}

// nextTarget goes through all live members in an order shuffled for each pass,
// which bounds the time until a given member is probed.
func (c *core) nextTarget() *entry {
	for range 2 {
		for len(c.order) > 0 {
			id := c.order[len(c.order)-1]
			c.order = c.order[:len(c.order)-1]
			if e := c.table.get(id); e != nil && !e.State.ended() {
				return e
			}
		}
		for _, e := range c.table.live {
			c.order = append(c.order, e.ID)
		}
		c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	}
	return nil
}

func (c *core) ping(now time.Time, e *entry, sequence uint64) {
	p := c.packet(sequence)
	p.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{TargetId: e.ID, TargetIncarnation: e.Incarnation}}
	c.transmit(now, e.Addresses.Gossip, p, e)
}

func (c *core) probeIndirectly(now time.Time, target *entry) {
	helpers := c.table.pick(c.rng, c.cfg.IndirectProbes, func(e *entry) bool {
		return e == target || e.State != Alive
	})
	for _, helper := range helpers {
		p := c.packet(c.probe.sequence)
		p.Body = &peerv1.Packet_PingRequest{PingRequest: &peerv1.PingRequest{
			TargetId:          target.ID,
			TargetIncarnation: target.Incarnation,
			TargetAddress:     target.Addresses.Gossip,
		}}
		c.transmit(now, helper.Addresses.Gossip, p, helper)
	}
}

// suspect marks a member that did not answer and tells it, so that it can
// refute without waiting for the update to come round.
func (c *core) suspect(now time.Time, e *entry) {
	if e.State != Alive {
		return
	}
	c.stats.Suspicions++
	m := e.Member
	m.State = Suspect
	c.store(now, m, 0)
	c.queue.push(m.ID)
	c.transmit(now, m.Addresses.Gossip, c.packet(0), c.table.get(m.ID))
}

// receive handles one packet from a gossip address.
func (c *core) receive(now time.Time, from string, p *peerv1.Packet) {
	c.notePause(now)
	if c.left || p.FromId == "" || p.FromId == c.self.ID {
		return
	}
	trusted := c.trusts(now, p)
	for _, update := range p.Updates {
		if m, ok := fromProto(update); ok && (trusted || c.admits(now, p, m.ID)) {
			c.apply(now, m, time.Duration(update.EndedSecondsAgo)*time.Second, true)
		}
	}
	c.noteSender(p)
	switch body := p.Body.(type) {
	case *peerv1.Packet_Ping:
		c.receivePing(now, from, p, body.Ping)
	case *peerv1.Packet_Ack:
		c.receiveAck(now, p)
	case *peerv1.Packet_PingRequest:
		c.receivePingRequest(now, from, p, body.PingRequest)
	}
}

// trusts reports whether a packet may add members. A sender that is not known as
// live may have been paused between building a packet and sending it, for longer
// than tombstones last.
func (c *core) trusts(now time.Time, p *peerv1.Packet) bool {
	e := c.table.get(p.FromId)
	return !now.Before(c.quarantine) && e != nil && !e.State.ended() && e.Incarnation == p.FromIncarnation
}

// admits reports whether a packet that is not trusted may bring the record of
// id. After a long pause the table is empty and cannot tell old news, so only
// answers to seeds asked since then may add their sender; the rest comes with
// the first full exchange.
func (c *core) admits(now time.Time, p *peerv1.Packet, id string) bool {
	if id == c.self.ID || c.table.get(id) != nil {
		return true
	}
	if !now.Before(c.quarantine) {
		return id == p.FromId
	}
	answered := p.GetAck() != nil && p.Sequence > c.wakeSequence && p.Sequence <= c.sequence
	return answered && id == p.FromId
}

// noteSender reports a higher settings revision of the sender.
func (c *core) noteSender(p *peerv1.Packet) {
	e := c.table.get(p.FromId)
	if e == nil || e.Incarnation != p.FromIncarnation {
		return
	}
	if p.SettingsRevision > e.SettingsRevision {
		e.SettingsRevision = p.SettingsRevision
	}
	if p.SettingsRevision > c.self.SettingsRevision {
		c.out.revisions = append(c.out.revisions, revisionSeen{peer: e.Member, revision: p.SettingsRevision})
	}
}

func (c *core) receivePing(now time.Time, from string, p *peerv1.Packet, ping *peerv1.Ping) {
	sender := c.table.get(p.FromId)
	if ping.TargetId == "" {
		c.ack(now, from, p.Sequence, sender, true)
		return
	}
	if ping.TargetId == c.self.ID && ping.TargetIncarnation == c.self.Incarnation {
		c.ack(now, from, p.Sequence, sender, false)
		return
	}
	// The sender looks for a process that used this address before; its probe
	// has to fail. With this node's own record it learns why.
	reply := c.packet(0)
	reply.Updates = append(reply.Updates, toProto(&c.self, 0))
	c.transmit(now, from, reply, sender)
}

func (c *core) ack(now time.Time, to string, sequence uint64, sender *entry, withSelf bool) {
	reply := c.packet(sequence)
	reply.Body = &peerv1.Packet_Ack{Ack: &peerv1.Ack{}}
	if withSelf || sender == nil {
		reply.Updates = append(reply.Updates, toProto(&c.self, 0))
	}
	c.transmit(now, to, reply, sender)
}

func (c *core) receiveAck(now time.Time, p *peerv1.Packet) {
	if r, ok := c.relays[p.Sequence]; ok {
		delete(c.relays, p.Sequence)
		reply := c.packet(r.sequence)
		reply.Body = &peerv1.Packet_Ack{Ack: &peerv1.Ack{}}
		c.transmit(now, r.requester, reply, nil)
		return
	}
	if c.probe != nil && c.probe.sequence == p.Sequence {
		c.probe = nil
		return
	}
	c.receiveJoinAck(now, p)
}

func (c *core) receivePingRequest(now time.Time, from string, p *peerv1.Packet, r *peerv1.PingRequest) {
	if len(c.relays) >= maxRelays {
		return
	}
	c.sequence++
	c.relays[c.sequence] = relay{requester: from, sequence: p.Sequence, until: now.Add(c.cfg.ProbeInterval)}
	ping := c.packet(c.sequence)
	ping.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{TargetId: r.TargetId, TargetIncarnation: r.TargetIncarnation}}
	c.transmit(now, r.TargetAddress, ping, c.table.get(r.TargetId))
}

// maxRelays bounds the probes made for others at one time.
const maxRelays = 1024

func (c *core) dropRelays(now time.Time) {
	for sequence, r := range c.relays {
		if now.After(r.until) {
			delete(c.relays, sequence)
		}
	}
}
