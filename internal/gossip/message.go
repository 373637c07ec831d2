package gossip

import (
	"encoding/json"

	"github.com/mustardwing/mustardwing/internal/directory"
)

// Path is where a node takes gossip from other nodes.
const Path = "/mustardwing/v1/gossip"

// message is one side of an exchange between two nodes.
type message struct {
	// ConfigVersion and Digest say what the sender knows.
	ConfigVersion uint64 `json:"config_version"`
	Digest        uint64 `json:"digest"`
	// News is set when the message only tells of changes: the receiver does not
	// compare digests, since while changes spread no two are equal.
	News bool `json:"news,omitempty"`
	// Entries is set when the sender's directory may hold news for the receiver.
	Entries []directory.Entry `json:"entries,omitempty"`
	// Config is set when the sender's configuration is newer than the receiver's.
	Config json.RawMessage `json:"config,omitempty"`
}
