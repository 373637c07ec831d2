package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// core is the state machine of the protocol. It does no I/O, reads no clock and is
// not safe for concurrent use; the time is passed with every input.
type core struct {
	cfg   Config
	rng   *rand.Rand
	self  Member
	table *table
	queue *queue
	// suspected holds the IDs of all members in state Suspect, and until the next
	// expireSuspects also those that have changed to another state.
	suspected map[string]struct{}
	// out collects the effects of inputs until takeEffects returns them.
	out effects
	// stats holds the counters of the state machine only; those of packets and store
	// calls are in Memberlist.
	stats Stats

	// lastInput is the time of the latest packet or tick. Ticks come at least once per
	// probe interval, so a gap of PauseThreshold means that the process was paused.
	lastInput time.Time
	// fresh is set when the table has been compared with that of a peer since the
	// start or the last pause, or when the node treats itself as the only member.
	fresh bool
	// needFullSync is set at the start and by resetTable, until the whole table has been
	// fetched from a peer.
	needFullSync bool
	// left is set when the node has left the fleet; it then ignores all input.
	left bool
	// quarantineEnd is the end of the period after a long pause in which received
	// packets may be old ones from the socket buffer; resumeSequence is the sequence
	// number at the start of that period.
	quarantineEnd  time.Time
	resumeSequence uint64
	// replaced is set when another process with a higher incarnation uses the ID of
	// the local node.
	replaced bool

	// sequence is the sequence number of the latest ping. It starts at a random number.
	sequence uint64
	// probe is the probe in progress, or nil.
	probe     *probe
	nextProbe time.Time
	// probeOrder holds the IDs that the current pass has not probed yet; the last one
	// is next.
	probeOrder []string
	// relays holds the probes on behalf of other members by the sequence number of
	// the local node's ping.
	relays map[uint64]relay

	nextGossip time.Time
	// gossipTokens is the number of bytes of updates that the rate limit permits until
	// the next refill, gossipTokensAt the time of the latest one.
	gossipTokens   float64
	gossipTokensAt time.Time
	// revisionRoundsLeft is the number of gossip rounds that still send the settings
	// revision.
	revisionRoundsLeft int

	// seeds holds the configured gossip addresses and after them the learned ones.
	seeds []string
	// joinAttempts counts the join attempts since the start, the last successful sync or
	// the last table reset.
	joinAttempts  int
	nextJoin      time.Time
	nextReconnect time.Time
	nextSync      time.Time
	// syncing is set from the start of an anti-entropy round until endSync.
	syncing    bool
	nextExpiry time.Time
}

func newCore(cfg Config, now time.Time, rng *rand.Rand) *core {
	c := &core{
		cfg:          cfg,
		rng:          rng,
		table:        newTable(),
		queue:        newQueue(),
		relays:       map[uint64]relay{},
		suspected:    map[string]struct{}{},
		needFullSync: true,
		seeds:        append([]string(nil), cfg.Seeds...),
		self: Member{
			ID:            cfg.ID,
			Incarnation:   cfg.Incarnation,
			Version:       1,
			State:         Alive,
			Addresses:     cfg.Addresses,
			Region:        cfg.Region,
			FailureDomain: cfg.FailureDomain,
		},
		lastInput:      now,
		gossipTokensAt: now,
		gossipTokens:   float64(cfg.GossipBytesPerSecond),
	}
	c.sequence = rng.Uint64()
	c.nextJoin = now.Add(c.jitter(cfg.JoinJitter))
	c.nextProbe = now.Add(c.jitter(cfg.ProbeInterval))
	c.nextGossip = now.Add(c.jitter(cfg.GossipInterval))
	c.nextSync = now.Add(c.jitter(cfg.SyncInterval))
	c.nextReconnect = now.Add(c.jitter(cfg.ReconnectInterval))
	c.nextExpiry = now.Add(expiryInterval)
	return c
}

// expiryInterval is the time between two scans for expired tombstones.
const expiryInterval = 30 * time.Second

// jitter returns a random duration from 0 to below d, which must be positive.
func (c *core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d)))
}

// jittered returns d changed at random by up to a tenth, so that the periodic actions
// of different nodes do not coincide.
func (c *core) jittered(d time.Duration) time.Duration {
	return d - d/10 + c.jitter(d/5+1)
}

// takeEffects returns the effects collected since the last call.
func (c *core) takeEffects() effects {
	out := c.out
	c.out = effects{}
	return out
}

// fleetSize returns the number of live members, including the local node.
func (c *core) fleetSize() int {
	return len(c.table.live) + 1
}

// tick runs all due actions and returns when to call it next.
func (c *core) tick(now time.Time) time.Time {
	c.detectPause(now)
	if c.left {
		return now.Add(time.Hour)
	}
	c.expireSuspects(now)
	c.expireTombstones(now)
	c.tickJoin(now)
	c.tickProbe(now)
	c.tickReconnect(now)
	c.tickSync(now)
	c.tickGossip(now)
	return c.nextDeadline(now)
}

// nextDeadline returns when the next action is due. It is after now and at most one
// probe interval away.
func (c *core) nextDeadline(now time.Time) time.Time {
	next := now.Add(c.cfg.ProbeInterval)
	for _, t := range []time.Time{c.nextProbe, c.nextReconnect, c.nextExpiry} {
		next = earlier(next, t)
	}
	if c.alone() {
		next = earlier(next, c.nextJoin)
	}
	if !c.syncing {
		next = earlier(next, c.nextSync)
	}
	if c.probe != nil {
		next = earlier(next, c.probe.nextStepAt())
	}
	for id := range c.suspected {
		if r := c.table.get(id); r != nil {
			next = earlier(next, r.suspectUntil)
		}
	}
	if c.gossiping() {
		next = earlier(next, c.nextGossip)
	}
	if !next.After(now) {
		next = now.Add(time.Millisecond)
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// detectPause records the time of an input and handles a pause before it. Acks and
// refutations may have arrived during the pause without being read, so the node drops the
// probe in progress and gives each suspect a new suspicion timeout. It drops the queued
// updates and starts to compare its table with that of a peer before it probes again.
// After a pause of more than half the tombstone TTL it also drops the table.
func (c *core) detectPause(now time.Time) {
	gap := now.Sub(c.lastInput)
	if now.After(c.lastInput) {
		c.lastInput = now
	}
	if gap < c.cfg.PauseThreshold || c.left {
		return
	}
	c.stats.Pauses++
	c.fresh = false
	c.probe = nil
	c.queue.clear()
	c.nextProbe = now.Add(c.cfg.ProbeInterval)
	c.nextSync = now
	for _, r := range c.table.live {
		if r.State == Suspect {
			r.suspectUntil = now.Add(c.cfg.suspicionTimeout(c.fleetSize()))
		}
	}
	if gap > c.cfg.TombstoneTTL/2 {
		c.resetTable(now)
	}
}

// isFresh reports whether the node may act on its view.
func (c *core) isFresh(now time.Time) bool {
	return c.fresh && !c.replaced && now.Sub(c.lastInput) < c.cfg.PauseThreshold
}

// resetTable keeps random live members as seeds, reports all live members as dead and
// drops the table. After a pause of half the tombstone TTL, peers may have removed
// members that the local table still holds as alive.
func (c *core) resetTable(now time.Time) {
	for _, r := range c.table.sampleLive(c.rng, maxLearnedSeeds, nil) {
		c.addSeed(r.Addresses.Gossip)
	}
	for _, r := range c.table.byID {
		previous := r.Member
		if r.State.ended() {
			continue
		}
		current := previous
		current.State = Dead
		c.out.events = append(c.out.events, Event{Previous: &previous, Current: current})
	}
	c.table = newTable()
	clear(c.suspected)
	c.needFullSync = true
	c.probeOrder = nil
	c.joinAttempts = 0
	c.nextJoin = now
	c.quarantineEnd = now.Add(quarantineTime)
	c.resumeSequence = c.sequence
}

// quarantineTime is longer than it takes to process a full socket buffer.
const quarantineTime = 2 * time.Second

// apply merges one record from a peer. A record that does not supersede the stored one
// and a tombstone past its TTL are ignored. endedAgo is the age of a tombstone.
// Records from packets are disseminated in packets (disseminate is true); those from
// anti-entropy reach other nodes by anti-entropy.
func (c *core) apply(now time.Time, m Member, endedAgo time.Duration, disseminate bool) {
	if m.ID == c.self.ID {
		c.applySelf(now, m)
		return
	}
	r := c.table.get(m.ID)
	if r != nil && !supersedes(&m, &r.Member) {
		return
	}
	if m.State.ended() && endedAgo >= c.cfg.TombstoneTTL {
		return
	}
	c.putRecord(now, m, endedAgo)
	if disseminate {
		c.queue.push(m.ID)
	}
}

// putRecord stores a record in place of the stored one, if there is one, and emits an
// event. A record that is stored while no other live member is known makes a needed full
// sync due within JoinInterval.
func (c *core) putRecord(now time.Time, m Member, endedAgo time.Duration) {
	var previous *Member
	if r := c.table.get(m.ID); r != nil {
		kept := r.Member
		previous = &kept
	}
	if c.needFullSync && c.alone() {
		c.nextSync = earlier(c.nextSync, now.Add(c.jitter(c.cfg.JoinInterval)))
	}
	r := c.table.put(m)
	switch {
	case m.State.ended():
		r.endedAt = now.Add(-endedAgo)
	case m.State == Suspect:
		r.suspectUntil = now.Add(c.cfg.suspicionTimeout(c.fleetSize()))
		c.suspected[m.ID] = struct{}{}
	}
	c.out.events = append(c.out.events, Event{Previous: previous, Current: r.Member})
}

// applySelf handles a record of the local node that a peer sent: it refutes Suspect,
// rejoins after Dead, and raises the version above a higher one that the peer holds.
func (c *core) applySelf(now time.Time, m Member) {
	if m.Incarnation > c.self.Incarnation {
		c.handleHigherIncarnation(now, m)
		return
	}
	if m.Incarnation < c.self.Incarnation || c.left {
		return
	}
	switch {
	case m.State == Dead && m.Rejoins() >= c.self.Rejoins():
		c.stats.Refutations++
		c.self.Version = (m.Rejoins() + 1) << rejoinShift
		c.queue.push(c.self.ID)
	case m.Version > c.self.Version:
		c.self.Version = m.Version
		c.raiseVersion()
	case m.State == Alive || m.State == c.self.State:
	case m.Version == c.self.Version:
		c.stats.Refutations++
		c.raiseVersion()
	default:
		// The peer missed an earlier refutation.
		c.queue.push(c.self.ID)
	}
}

// handleHigherIncarnation handles a record of the local node's ID with a higher
// incarnation. While the view has not been fresh yet and the process has not been paused,
// the record is that of an earlier process whose clock was ahead, so the local node
// continues with a higher incarnation. Otherwise the record is that of a process that
// replaced the local node.
func (c *core) handleHigherIncarnation(now time.Time, m Member) {
	if !c.fresh && !c.replaced && c.stats.Pauses == 0 {
		c.self.Incarnation = m.Incarnation + 1
		c.raiseVersion()
		return
	}
	if !c.replaced {
		c.replaced = true
		c.stats.Conflicts++
		c.out.replaced = &m
	}
}

// raiseVersion makes the record of the local node newer than its own earlier ones and
// queues it for dissemination.
func (c *core) raiseVersion() {
	c.self.Version++
	c.queue.push(c.self.ID)
}

// updateLocal changes the metadata of the local node. A change of only the settings
// revision is sent in packet headers: sent as a record, each settings change would
// cause one update per node.
func (c *core) updateLocal(now time.Time, change func(*Metadata)) {
	before := c.self.Metadata
	change(&c.self.Metadata)
	if c.self.SettingsRevision > before.SettingsRevision {
		c.revisionRoundsLeft = revisionRounds
		c.nextGossip = now
	}
	before.SettingsRevision = c.self.SettingsRevision
	if before == c.self.Metadata || c.left {
		return
	}
	c.raiseVersion()
	c.nextGossip = now
}

// revisionRounds is the number of gossip rounds that send a risen settings revision.
// With the fanout of 3, a fraction of e^-6 of the nodes misses these rounds; probes carry
// the revision to those nodes.
const revisionRounds = 2

// expireSuspects declares dead the suspects that did not refute in time.
func (c *core) expireSuspects(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.suspected)) {
		r := c.table.get(id)
		if r == nil || r.State != Suspect {
			delete(c.suspected, id)
			continue
		}
		if now.Before(r.suspectUntil) {
			continue
		}
		dead := r.Member
		dead.State = Dead
		c.stats.DeclaredDead++
		c.putRecord(now, dead, 0)
		c.queue.push(id)
	}
}

// expireTombstones removes the tombstones past their TTL, once per expiryInterval.
func (c *core) expireTombstones(now time.Time) {
	if now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = now.Add(expiryInterval)
	for _, r := range c.table.byID {
		if r.State.ended() && now.Sub(r.endedAt) >= c.cfg.TombstoneTTL {
			c.table.remove(r)
		}
	}
}

// recordMessage returns the wire form of a record in the table.
func (c *core) recordMessage(now time.Time, r *record) *peerv1.Member {
	if r.State.ended() {
		return toProto(&r.Member, now.Sub(r.endedAt))
	}
	return toProto(&r.Member, 0)
}
