package idempotency

import "github.com/mustardwing/mustardwing/internal/peerv1"

// KeyState is what an owner answers to an acquisition.
type KeyState uint8

// Answers to an acquisition.
const (
	// NotOwner means that the process is not the owner or cannot prove it now.
	NotOwner KeyState = iota
	// Granted means that the asking attempt may run.
	Granted
	// Running means that another attempt holds the key, or that the asking
	// attempt already reported its end.
	Running
	Completed
	// Unknown means that an earlier attempt ended without a known outcome.
	Unknown
	// TooOld means that the key is older than what the owner remembers.
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

// stateFromProto takes a state it does not know as NotOwner, which grants
// nothing.
func stateFromProto(s peerv1.KeyState) KeyState {
	for state, message := range statesToProto {
		if message == s {
			return state
		}
	}
	return NotOwner
}
