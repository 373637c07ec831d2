package idempotency

import "github.com/mustardwing/mustardwing/internal/peerv1"

// KeyState is an owner's decision on an acquisition.
type KeyState uint8

// Decisions on an acquisition.
const (
	// NotOwner means that the process is not the owner or cannot prove it now, or that
	// the key's issue time is too far ahead of its clock.
	NotOwner KeyState = iota
	// Granted means that the requesting attempt may run.
	Granted
	// Running means that another attempt holds the key, or that the requesting
	// attempt was already reported as not run.
	Running
	// Completed means that an attempt with the key was run.
	Completed
	// Unknown means that an earlier attempt ended without a known outcome, or that
	// maxNotRunAttempts attempts were reported as not run.
	Unknown
	// TooOld means that the key is older than the keys that the owner remembers or than
	// the oldest epoch in its record.
	TooOld
)

// AcquireResult is an owner's response to an acquisition: a key state and, for
// Completed, the HTTP status of the execution.
type AcquireResult struct {
	State  KeyState
	Status int
}

var statesToProto = map[KeyState]peerv1.KeyState{
	NotOwner:  peerv1.KeyState_KEY_STATE_NOT_OWNER,
	Granted:   peerv1.KeyState_KEY_STATE_GRANTED,
	Running:   peerv1.KeyState_KEY_STATE_RUNNING,
	Completed: peerv1.KeyState_KEY_STATE_COMPLETED,
	Unknown:   peerv1.KeyState_KEY_STATE_UNKNOWN,
	TooOld:    peerv1.KeyState_KEY_STATE_TOO_OLD,
}

// stateFromProto maps an unrecognized state to NotOwner, which grants nothing.
func stateFromProto(s peerv1.KeyState) KeyState {
	for state, message := range statesToProto {
		if message == s {
			return state
		}
	}
	return NotOwner
}
