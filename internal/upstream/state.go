package upstream

import "time"

// State is the state of the upstream that is reported to callbacks of OnChange.
type State struct {
	// Announced is false before the first announcement and after a withdrawal.
	Announced bool
	Announcement
	// Reachable is false before the first announcement and after a withdrawal, and from a
	// failed dial until a probe of the port succeeds or the upstream announces another
	// address, number of slots or number of connections.
	Reachable bool
	// ReadySince is when the upstream became available; zero while it is not.
	ReadySince time.Time
}

// Available reports whether the upstream is announced, ready and reachable.
func (s State) Available() bool {
	return s.Announced && s.Announcement.Ready && s.Reachable
}
