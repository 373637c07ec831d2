package idempotency

// Stats counts what a Manager did since its start.
type Stats struct {
	// Answers counts this owner's answers by state.
	Granted, Running, Completed, Unknown, TooOld, NotOwner int64
	// ReportsDropped counts reports that no owner took in time.
	ReportsDropped int64
	// ReportsWaiting is the number of reports that wait now.
	ReportsWaiting int
	// Keys is the number of keys remembered now.
	Keys int
	// Epoch is the newest epoch known, and Member whether this node is in it.
	Epoch  uint64
	Member bool
	// Violations counts invariants found broken; it must stay zero.
	Violations int64
	// PlatformReads and PlatformWrites count calls to the store.
	PlatformReads, PlatformWrites int64
}

// Stats returns the counters.
func (m *Manager) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	s.ReportsWaiting = m.reports.len()
	s.ReportsDropped = m.reports.dropped
	s.Keys = len(m.core.keys.entries)
	s.Member = m.core.isMember()
	if m.core.record != nil {
		s.Epoch = m.core.record.Newest().Number
	}
	return s
}

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
