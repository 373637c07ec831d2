package idempotency

// proposal is a write of the record whose outcome is not known yet.
type proposal struct {
	// record is the value to write. Its Version is the condition of the write.
	record *Record
	// start is the issue time at which the proposal limits leases and grants: the start
	// of the added epoch, or unlimited for an extension of valid_until and for a
	// service's first record.
	start int64
	// maybeSent is set once an attempt may have reached the platform. From then on
	// only a newer version of the record resolves the proposal, even when a later
	// attempt is known to have had no effect.
	maybeSent bool
}

// memberChange is a change of the newest epoch's members.
type memberChange struct {
	add    []Member
	remove []Identity
}

func (ch memberChange) empty() bool {
	return len(ch.add) == 0 && len(ch.remove) == 0
}

// apply returns the members after the change.
func (ch memberChange) apply(members []Member) []Member {
	var result []Member
	for _, m := range members {
		if !ch.removes(m.Identity) {
			result = append(result, m)
		}
	}
	present := Epoch{Members: result}
	for _, m := range ch.add {
		if !present.Has(m.Identity) {
			result = append(result, m)
			present.Members = result
		}
	}
	return result
}

func (ch memberChange) removes(id Identity) bool {
	for _, r := range ch.remove {
		if r == id {
			return true
		}
	}
	return false
}

// propose starts a change of members by this process. The change limits leases and grants
// until its outcome is known. propose returns nil when the process must not write now.
func (c *core) propose(now int64, ch memberChange, writeID string) *proposal {
	if !c.mayWrite() {
		return nil
	}
	newest := c.record.Newest()
	members := ch.apply(newest.Members)
	losing := newest.membersLosingKeys(members)
	start := max(newest.Start+1, c.highestGranted+1, c.leases.highestGiven(losing))
	if stayingMemberLosesKeys(losing, ch) || ch.removes(c.config.self.Identity) {
		start = max(start, now+StartLead.Milliseconds())
	}
	record := c.record.next(start, members, now-c.config.window.Milliseconds())
	return c.setProposal(now, record, start, writeID)
}

// stayingMemberLosesKeys reports whether a member that stays may lose keys. If so, or if
// the writer removes itself, the new epoch starts ahead of the clock. Otherwise an earlier
// start is better: the keys issued since the removed member's lease ended then have an
// owner.
func stayingMemberLosesKeys(losing []Member, ch memberChange) bool {
	for _, m := range losing {
		if !ch.removes(m.Identity) {
			return true
		}
	}
	return false
}

// proposeValidity starts an extension of valid_until. The extension limits neither
// leases nor grants: the previous value applies until the outcome is known.
// proposeValidity returns nil when the process must not write now.
func (c *core) proposeValidity(now int64, writeID string) *proposal {
	if !c.mayWrite() {
		return nil
	}
	record := *c.record
	return c.setProposal(now, &record, unlimited, writeID)
}

// mayWrite returns false for a process that is not a member, has left, or has a
// pending change of members. A pending extension of valid_until may be abandoned: the
// extension and a later write are conditional on the same version, so only one of them
// takes effect.
func (c *core) mayWrite() bool {
	return c.isMember() && !c.left && c.proposalStart() == unlimited
}

// takeOver starts a write of the next epoch by a process that is not a member. start is
// the result of takeoverStart, with which the caller has established that this process
// may write.
func (c *core) takeOver(now, start int64, members []Member, writeID string) *proposal {
	start = max(start, c.record.Newest().Start+1)
	record := c.record.next(start, members, now-c.config.window.Milliseconds())
	return c.setProposal(now, record, start, writeID)
}

// create starts the write of a service's first record.
func (c *core) create(now int64, service string, members []Member, writeID string) *proposal {
	record := &Record{Service: service, Epochs: []Epoch{{Number: 1, Start: now, Members: members}}}
	return c.setProposal(now, record, unlimited, writeID)
}

// setProposal makes the record the pending proposal. Every write extends
// valid_until, which never decreases.
func (c *core) setProposal(now int64, r *Record, start int64, writeID string) *proposal {
	r.ValidUntil = max(r.ValidUntil, now+c.config.isolationLimit.Milliseconds())
	r.WriteID = writeID
	if c.record != nil {
		r.Version = c.record.Version
	}
	c.proposal = &proposal{record: r, start: start}
	return c.proposal
}

// discardUnsent discards a proposal if no attempt can have reached the platform.
func (c *core) discardUnsent(p *proposal) {
	if c.proposal == p && !p.maybeSent {
		c.proposal = nil
	}
}

// takeoverStart returns the start of an epoch that a process that is not a member
// writes; ok is false while it must not write. For each member that is proved to
// have ended, proofs holds the start of the process that replaced it, in unix
// milliseconds.
func takeoverStart(now int64, r *Record, proofs map[Identity]int64) (start int64, ok bool) {
	newest := r.Newest()
	if len(newest.Members) == 0 {
		return now, true
	}
	start = now
	for _, m := range newest.Members {
		replacedAt, dead := proofs[m.Identity]
		if !dead {
			return max(now, r.ValidUntil), now >= r.ValidUntil
		}
		start = max(start, replacedAt)
	}
	return start + (MaxIssueTimeAhead + ClockTolerance).Milliseconds(), true
}
