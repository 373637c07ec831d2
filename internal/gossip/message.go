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
	Digest        uint64 `json:"digest,omitempty"`
	// News is set when the message only tells of changes: the receiver does not
	// compare digests, since while changes spread no two are equal.
	News bool `json:"news,omitempty"`
	// Buckets holds digests of parts of the sender's directory, when the whole differs
	// from the receiver's.
	Buckets []uint64 `json:"buckets,omitempty"`
	// Compare asks for the entries of the parts that differ.
	Compare *comparison `json:"compare,omitempty"`
	// Entries may be news for the receiver.
	Entries []directory.Entry `json:"entries,omitempty"`
	// Wanted lists the entries that the sender has in older versions only.
	Wanted []string `json:"wanted,omitempty"`
	// More is set when there are further differences than the message holds.
	More bool `json:"more,omitempty"`
	// Config is set when the sender's configuration is newer than the receiver's.
	Config json.RawMessage `json:"config,omitempty"`
}

// comparison lists what the sender knows of the parts in which two directories
// differ.
type comparison struct {
	// Buckets is the number of parts.
	Buckets   int   `json:"buckets"`
	Differing []int `json:"differing"`
	// Versions holds the version of each entry by node.
	Versions map[string]uint64 `json:"versions"`
}
