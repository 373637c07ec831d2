package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// core is the protocol's state machine. It does no I/O, reads no clock and is
// not safe for concurrent use; every input carries the time.
type core struct {
	cfg   Config
	rng   *rand.Rand
	self  Member
	table *table
	queue *queue
	// suspected holds the ids that may be in state Suspect.
	suspected map[string]struct{}
	out       effects
	stats     Stats

	// lastInput is the time of the newest packet or tick. Ticks come at least
	// once per probe interval, so a longer gap means that the process was paused.
	lastInput time.Time
	// fresh is set once the table was compared with a peer since the start or
	// the last pause, or the node knows that it is alone.
	fresh bool
	// needFull is set until the whole table was fetched from a peer.
	needFull bool
	left     bool
	// quarantine is the end of the time after a long pause in which packets may
	// still be ones that waited in the socket; wakeSequence is the sequence at
	// its start.
	quarantine   time.Time
	wakeSequence uint64
	// replaced is set once another process uses this ID.
	replaced bool

	sequence  uint64
	probe     *probe
	nextProbe time.Time
	order     []string
	relays    map[uint64]relay

	nextGossip time.Time
	credit     float64
	creditAt   time.Time
	// revisionRounds is how many gossip rounds still announce the revision.
	revisionRounds int

	seeds         []string
	joinAttempts  int
	nextJoin      time.Time
	nextReconnect time.Time
	nextSync      time.Time
	syncing       bool
	nextExpiry    time.Time
}

func newCore(cfg Config, now time.Time, rng *rand.Rand) *core {
	c := &core{
		cfg:       cfg,
		rng:       rng,
		table:     newTable(),
		queue:     newQueue(),
		relays:    map[uint64]relay{},
		suspected: map[string]struct{}{},
		needFull:  true,
		seeds:     append([]string(nil), cfg.Seeds...),
		self: Member{
			ID:            cfg.ID,
			Incarnation:   cfg.Incarnation,
			Version:       1,
			State:         Alive,
			Addresses:     cfg.Addresses,
			Region:        cfg.Region,
			FailureDomain: cfg.FailureDomain,
		},
		lastInput: now,
		creditAt:  now,
		credit:    float64(cfg.GossipBytesPerSecond),
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

// expiryInterval is the time between two searches for expired tombstones.
const expiryInterval = 30 * time.Second

// jitter returns a random duration below d.
func (c *core) jitter(d time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(d)))
}

// around returns d changed by up to a tenth, so that nodes do not act in step.
func (c *core) around(d time.Duration) time.Duration {
	return d - d/10 + c.jitter(d/5+1)
}

// take returns the collected effects and starts a new collection.
func (c *core) take() effects {
	out := c.out
	c.out = effects{}
	return out
}

// size is the number of live members, this node included.
func (c *core) size() int {
	return len(c.table.live) + 1
}

// tick does everything that is due and returns when to call it next.
func (c *core) tick(now time.Time) time.Time {
	c.notePause(now)
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
		next = earlier(next, c.probe.deadline())
	}
	for id := range c.suspected {
		if e := c.table.get(id); e != nil {
			next = earlier(next, e.suspectUntil)
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

// notePause handles the first input after a pause. What the node was waiting for
// may have arrived meanwhile, so it accuses nobody and compares its view first.
func (c *core) notePause(now time.Time) {
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
	for _, e := range c.table.live {
		if e.State == Suspect {
			e.suspectUntil = now.Add(c.cfg.suspicion(c.size()))
		}
	}
	if gap > c.cfg.TombstoneTTL/2 {
		c.forgetAll(now)
	}
}

// isFresh reports whether the view may be acted on.
func (c *core) isFresh(now time.Time) bool {
	return c.fresh && !c.replaced && now.Sub(c.lastInput) < c.cfg.PauseThreshold
}

// forgetAll turns the known members into seeds and drops the table. After half
// the tombstone time others may have forgotten members that this node still
// takes for alive.
func (c *core) forgetAll(now time.Time) {
	for _, e := range c.table.pick(c.rng, maxLearnedSeeds, nil) {
		c.addSeed(e.Addresses.Gossip)
	}
	for _, e := range c.table.byID {
		previous := e.Member
		if e.State.ended() {
			continue
		}
		current := previous
		current.State = Dead
		c.out.events = append(c.out.events, Event{Previous: &previous, Current: current})
	}
	c.table = newTable()
	clear(c.suspected)
	c.needFull = true
	c.order = nil
	c.joinAttempts = 0
	c.nextJoin = now
	c.quarantine = now.Add(quarantineTime)
	c.wakeSequence = c.sequence
}

// quarantineTime is ample for processing a full socket buffer.
const quarantineTime = 2 * time.Second

// apply takes one record from a peer. endedAgo is the age of a tombstone. Records
// from packets are passed on in packets; anti-entropy spreads by itself.
func (c *core) apply(now time.Time, m Member, endedAgo time.Duration, spread bool) {
	if m.ID == c.self.ID {
		c.applySelf(now, m)
		return
	}
	e := c.table.get(m.ID)
	if e != nil && !supersedes(&m, &e.Member) {
		return
	}
	if m.State.ended() && endedAgo >= c.cfg.TombstoneTTL {
		return
	}
	c.store(now, m, endedAgo)
	if spread {
		c.queue.push(m.ID)
	}
}

// store puts a newer record into the table and reports it.
func (c *core) store(now time.Time, m Member, endedAgo time.Duration) {
	var previous *Member
	if e := c.table.get(m.ID); e != nil {
		kept := e.Member
		previous = &kept
	}
	if c.needFull && c.alone() {
		c.nextSync = earlier(c.nextSync, now.Add(c.jitter(c.cfg.JoinInterval)))
	}
	e := c.table.put(m)
	switch {
	case m.State.ended():
		e.ended = now.Add(-endedAgo)
	case m.State == Suspect:
		e.suspectUntil = now.Add(c.cfg.suspicion(c.size()))
		c.suspected[m.ID] = struct{}{}
	}
	c.out.events = append(c.out.events, Event{Previous: previous, Current: e.Member})
}

// applySelf handles what others say about this node.
func (c *core) applySelf(now time.Time, m Member) {
	if m.Incarnation > c.self.Incarnation {
		c.outrank(now, m)
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
		c.raise()
	case m.State == Alive || m.State == c.self.State:
	case m.Version == c.self.Version:
		c.stats.Refutations++
		c.raise()
	default:
		// The observer missed an earlier refutation.
		c.queue.push(c.self.ID)
	}
}

// outrank handles a record of this ID with a higher incarnation. Before the
// first comparison with a peer it is a predecessor whose clock was ahead; later
// it is a process that took over.
func (c *core) outrank(now time.Time, m Member) {
	if !c.fresh && !c.replaced && c.stats.Pauses == 0 {
		c.self.Incarnation = m.Incarnation + 1
		c.raise()
		return
	}
	if !c.replaced {
		c.replaced = true
		c.stats.Conflicts++
		c.out.replaced = &m
	}
}

// raise makes the node's own record newer than all known ones and sends it.
func (c *core) raise() {
	c.self.Version++
	c.queue.push(c.self.ID)
}

// updateLocal changes what the node announces. A settings revision on its own
// rides on packets only: as a record it would be one update per node and change.
func (c *core) updateLocal(now time.Time, change func(*Metadata)) {
	before := c.self.Metadata
	change(&c.self.Metadata)
	if c.self.SettingsRevision > before.SettingsRevision {
		c.revisionRounds = revisionRounds
		c.nextGossip = now
	}
	before.SettingsRevision = c.self.SettingsRevision
	if before == c.self.Metadata || c.left {
		return
	}
	c.raise()
	c.nextGossip = now
}

// revisionRounds of gossip follow a rise of the settings revision, which with
// the fanout of 3 misses a share of e^-6 of the nodes; probes reach these.
const revisionRounds = 2

// expireSuspects declares the suspects dead that did not refute in time.
func (c *core) expireSuspects(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(c.suspected)) {
		e := c.table.get(id)
		if e == nil || e.State != Suspect {
			delete(c.suspected, id)
			continue
		}
		if now.Before(e.suspectUntil) {
			continue
		}
		dead := e.Member
		dead.State = Dead
		c.stats.DeclaredDead++
		c.store(now, dead, 0)
		c.queue.push(id)
	}
}

func (c *core) expireTombstones(now time.Time) {
	if now.Before(c.nextExpiry) {
		return
	}
	c.nextExpiry = now.Add(expiryInterval)
	for _, e := range c.table.byID {
		if e.State.ended() && now.Sub(e.ended) >= c.cfg.TombstoneTTL {
			c.table.remove(e)
		}
	}
}

// message returns the record of a member for the wire.
func (c *core) message(now time.Time, e *entry) *peerv1.Member {
	if e.State.ended() {
		return toProto(&e.Member, now.Sub(e.ended))
	}
	return toProto(&e.Member, 0)
}
