package mesh

import "github.com/mustardwing/mustardwing/internal/h1"

// Prefaces of the connections between nodes. No byte of a call decides what its connection carries, so
// that a caller cannot send a message in the name of a node; see docs/design/peer-connections.md.
const (
	// CallsPreface begins a connection that carries calls.
	CallsPreface h1.Preface = "\x00MWcall1"
	// MessagesPreface begins a connection that carries the nodes' own messages.
	MessagesPreface h1.Preface = "\x00MWmsgs1"
)
