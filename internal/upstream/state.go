package upstream

import "time"

// State is the state of the upstream that is reported to callbacks of OnChange.
type State struct {
	// Announced is false before the first announcement and after a withdrawal.
	Announced bool
	Announcement
	// Reachable is false from a failed connection attempt until a probe of the
	// port succeeds.
	Reachable bool
	// ReadySince is when the upstream became available; zero while it is not.
	ReadySince time.Time
}

// Available reports whether the upstream accepts calls now.
func (s State) Available() bool {
	return s.Announced && s.Announcement.Ready && s.Reachable
}
