package idempotency

// Identity names one process. A restarted node has a newer incarnation and is
// another member.
type Identity struct {
	ID string
	// Incarnation is the start time of the process in unix nanoseconds.
	Incarnation uint64
}

// Member is an identity and the address of its peer listener.
type Member struct {
	Identity
	Address string
}
