package idempotency

// Stats holds the counters of a Manager since its start, and its current state.
type Stats struct {
	// Granted, Running, Completed, Unknown, TooOld and NotOwner count this process's
	// decisions on acquisitions, by the KeyState that it returned.
	Granted, Running, Completed, Unknown, TooOld, NotOwner int64
	// ReportsDropped counts the reports of attempts' outcomes that were dropped because no
	// owner acknowledged them within the key window, the duration for which a key is
	// remembered after its issue time, or because the report queue was full.
	ReportsDropped int64
	// ReportsWaiting is the number of reports that no owner has acknowledged yet.
	ReportsWaiting int
	// Keys is the number of keys that this process remembers as their owner.
	Keys int
	// Epoch is the number of the newest known epoch, or zero while this process knows no
	// ownership record. Member is set when this process is a member of that epoch.
	Epoch  uint64
	Member bool
	// Violations counts violations of the protocol's invariants. It must stay zero.
	Violations int64
	// PlatformReads and PlatformWrites count the reads of the ownership record and the
	// attempts to write it. The read that follows a write without a response belongs to
	// that attempt to write and is not counted in PlatformReads.
	PlatformReads, PlatformWrites int64
}

// Stats returns the counters and the current state.
func (m *Manager) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	s.ReportsWaiting = m.reports.len()
	s.ReportsDropped = m.reports.dropped
	s.Keys = len(m.core.keys.remembered)
	s.Member = m.core.isMember()
	if m.core.record != nil {
		s.Epoch = m.core.record.Newest().Number
	}
	return s
}

// count counts a decision of this process on an acquisition.
func (s *Stats) count(state KeyState) {
	switch state {
	case Granted:
		s.Granted++
	case Running:
		s.Running++
	case Completed:
		s.Completed++
	case Unknown:
		s.Unknown++
	case TooOld:
		s.TooOld++
	default:
		s.NotOwner++
	}
}
