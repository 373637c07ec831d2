package membership

import (
	"time"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// probe is the state of the membership probe in progress.
type probe struct {
	// id and incarnation identify the probed process.
	id          string
	incarnation uint64
	// sequence is the sequence number of the ping and the ping requests that the local
	// node sends for the probe. An ack with this number ends the probe.
	sequence uint64
	// indirectAt is when indirect probes start, failAt when the member is suspected.
	indirectAt time.Time
	failAt     time.Time
	// indirect is set once the indirect probes have started.
	indirect bool
}

// nextStepAt returns when the indirect probes start or, once they have, when the probe
// fails.
func (p *probe) nextStepAt() time.Time {
	if p.indirect {
		return p.failAt
	}
	return p.indirectAt
}

// relay is an indirect probe on behalf of another member.
type relay struct {
	// requester is the gossip address of the member that asked for the probe.
	requester string
	// sequence is the sequence number of the requester's probe.
	sequence  uint64
	expiresAt time.Time
}

// tickProbe advances the probe in progress and, once per probe interval, removes expired
// relays and starts the next probe unless one is in progress.
func (c *core) tickProbe(now time.Time) {
	if c.probe != nil {
		c.advanceProbe(now)
	}
	if now.Before(c.nextProbe) {
		return
	}
	c.nextProbe = now.Add(c.jittered(c.cfg.ProbeInterval))
	c.expireRelays(now)
	if c.probe == nil {
		c.startProbe(now)
	}
}

// advanceProbe starts the indirect probes or suspects the probed member when either is
// due. It drops the probe when the probed process is no longer a live member.
func (c *core) advanceProbe(now time.Time) {
	p := c.probe
	r := c.table.get(p.id)
	if r == nil || r.State.ended() || r.Incarnation != p.incarnation {
		c.probe = nil
		return
	}
	if !now.Before(p.failAt) {
		c.probe = nil
		c.suspect(now, r)
		return
	}
	if !p.indirect && !now.Before(p.indirectAt) {
		p.indirect = true
		c.probeIndirectly(now, r)
	}
}

func (c *core) startProbe(now time.Time) {
	r := c.nextTarget()
	if r == nil {
		return
	}
	c.sequence++
	c.probe = &probe{
		id:          r.ID,
		incarnation: r.Incarnation,
		sequence:    c.sequence,
		indirectAt:  now.Add(c.cfg.ProbeTimeout),
		failAt:      now.Add(c.cfg.ProbeInterval),
	}
	c.ping(now, r, c.sequence)
}

// nextTarget returns the next member to probe, or nil when there is no live one. It goes
// through all live members in an order that is shuffled for each pass, which bounds the
// time until a given member is probed.
func (c *core) nextTarget() *record {
	for range 2 {
		for len(c.probeOrder) > 0 {
			id := c.probeOrder[len(c.probeOrder)-1]
			c.probeOrder = c.probeOrder[:len(c.probeOrder)-1]
			if r := c.table.get(id); r != nil && !r.State.ended() {
				return r
			}
		}
		for _, r := range c.table.live {
			c.probeOrder = append(c.probeOrder, r.ID)
		}
		c.rng.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
	}
	return nil
}

func (c *core) ping(now time.Time, r *record, sequence uint64) {
	p := c.packet(sequence)
	p.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{TargetId: r.ID, TargetIncarnation: r.Incarnation}}
	c.transmit(now, r.Addresses.Gossip, p, r)
}

// probeIndirectly asks random members in state Alive to ping the target.
func (c *core) probeIndirectly(now time.Time, target *record) {
	helpers := c.table.sampleLive(c.rng, c.cfg.IndirectProbes, func(r *record) bool {
		return r == target || r.State != Alive
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

// suspect changes the state of a member from Alive to Suspect after a failed probe. It
// sends the member its changed record, so that the member can refute without waiting for
// the update by gossip. A member in another state stays as it is.
func (c *core) suspect(now time.Time, r *record) {
	if r.State != Alive {
		return
	}
	c.stats.Suspicions++
	m := r.Member
	m.State = Suspect
	c.putRecord(now, m, 0)
	c.queue.push(m.ID)
	c.transmit(now, m.Addresses.Gossip, c.packet(0), c.table.get(m.ID))
}

// receive handles one packet; from is the gossip address that sent it.
func (c *core) receive(now time.Time, from string, p *peerv1.Packet) {
	c.detectPause(now)
	if c.left || p.FromId == "" || p.FromId == c.self.ID {
		return
	}
	trusted := c.trustsSender(now, p)
	for _, update := range p.Updates {
		if m, ok := fromProto(update); ok && (trusted || c.acceptsUntrusted(now, p, m.ID)) {
			c.apply(now, m, time.Duration(update.EndedSecondsAgo)*time.Second, true)
		}
	}
	c.noteSettingsRevision(p)
	switch body := p.Body.(type) {
	case *peerv1.Packet_Ping:
		c.receivePing(now, from, p, body.Ping)
	case *peerv1.Packet_Ack:
		c.receiveAck(now, p)
	case *peerv1.Packet_PingRequest:
		c.receivePingRequest(now, from, p, body.PingRequest)
	}
}

// trustsSender reports whether a packet may add members to the table: it comes from a
// process that is a live member, and no quarantine is in progress. Any other sender may
// have been paused between building and sending the packet for longer than the
// tombstone TTL, so that the packet may name members whose tombstones have expired.
func (c *core) trustsSender(now time.Time, p *peerv1.Packet) bool {
	r := c.table.get(p.FromId)
	return !now.Before(c.quarantineEnd) && r != nil && !r.State.ended() && r.Incarnation == p.FromIncarnation
}

// acceptsUntrusted reports whether the record of id is accepted from a packet whose
// sender is not trusted. Records of the local node and of known members always are.
// Otherwise the packet may add only its sender. During the quarantine after a long pause
// the table is empty and outdated records cannot be recognised, so only an ack of a ping
// sent since the pause may add its sender; the other members are learned in the first
// full sync.
func (c *core) acceptsUntrusted(now time.Time, p *peerv1.Packet, id string) bool {
	if id == c.self.ID || c.table.get(id) != nil {
		return true
	}
	if !now.Before(c.quarantineEnd) {
		return id == p.FromId
	}
	acknowledged := p.GetAck() != nil && p.Sequence > c.resumeSequence && p.Sequence <= c.sequence
	return acknowledged && id == p.FromId
}

// noteSettingsRevision handles the settings revision in a packet header. It stores the
// revision in the sender's record if it is higher than the one there, and passes it to
// the subscribers if it is higher than the local node's. A sender that is
// unknown, or in the table with another incarnation, is ignored.
func (c *core) noteSettingsRevision(p *peerv1.Packet) {
	r := c.table.get(p.FromId)
	if r == nil || r.Incarnation != p.FromIncarnation {
		return
	}
	if p.SettingsRevision > r.SettingsRevision {
		r.SettingsRevision = p.SettingsRevision
	}
	if p.SettingsRevision > c.self.SettingsRevision {
		c.out.revisions = append(c.out.revisions, peerRevision{peer: r.Member, revision: p.SettingsRevision})
	}
}

// receivePing acknowledges a ping to the local process, and one without a target, which a
// joining or reconnecting node sends (see pingSeed).
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
	// The sender probes a process that used this address before. Without an ack the
	// probe fails, as it should. From the local node's record the sender learns which
	// process uses the address now.
	response := c.packet(0)
	response.Updates = append(response.Updates, toProto(&c.self, 0))
	c.transmit(now, from, response, sender)
}

// ack acknowledges a ping. The ack carries the local node's record if withSelf is set or
// the sender is unknown (nil).
func (c *core) ack(now time.Time, to string, sequence uint64, sender *record, withSelf bool) {
	response := c.packet(sequence)
	response.Body = &peerv1.Packet_Ack{Ack: &peerv1.Ack{}}
	if withSelf || sender == nil {
		response.Updates = append(response.Updates, toProto(&c.self, 0))
	}
	c.transmit(now, to, response, sender)
}

// receiveAck handles the ack of a relayed probe, of the probe in progress or of a join
// ping.
func (c *core) receiveAck(now time.Time, p *peerv1.Packet) {
	if r, ok := c.relays[p.Sequence]; ok {
		delete(c.relays, p.Sequence)
		response := c.packet(r.sequence)
		response.Body = &peerv1.Packet_Ack{Ack: &peerv1.Ack{}}
		c.transmit(now, r.requester, response, nil)
		return
	}
	if c.probe != nil && c.probe.sequence == p.Sequence {
		c.probe = nil
		return
	}
	c.receiveJoinAck(now, p)
}

// receivePingRequest pings the target on behalf of the member at from. Above maxRelays
// concurrent requests it does nothing.
func (c *core) receivePingRequest(now time.Time, from string, p *peerv1.Packet, r *peerv1.PingRequest) {
	if len(c.relays) >= maxRelays {
		return
	}
	c.sequence++
	c.relays[c.sequence] = relay{requester: from, sequence: p.Sequence, expiresAt: now.Add(c.cfg.ProbeInterval)}
	ping := c.packet(c.sequence)
	ping.Body = &peerv1.Packet_Ping{Ping: &peerv1.Ping{TargetId: r.TargetId, TargetIncarnation: r.TargetIncarnation}}
	c.transmit(now, r.TargetAddress, ping, c.table.get(r.TargetId))
}

// maxRelays bounds the concurrent probes on behalf of other members.
const maxRelays = 1024

func (c *core) expireRelays(now time.Time) {
	for sequence, r := range c.relays {
		if now.After(r.expiresAt) {
			delete(c.relays, sequence)
		}
	}
}
