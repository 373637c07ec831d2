package upstream

import "time"

// State is what others are told about the upstream.
type State struct {
	// Announced is false before the first announcement and after a withdrawal.
	Announced bool
	Announcement
	// Reachable is false from a failed connection attempt until a probe of the
	// port succeeds.
	Reachable bool
	// ReadySince is when the upstream became ready; zero when it is not.
	ReadySince time.Time
}

// Available reports whether the upstream takes calls now.
func (s State) Available() bool {
	return s.Announced && s.Announcement.Ready && s.Reachable
}
