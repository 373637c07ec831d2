package gossip

import "encoding/json"

// Path is the request path of the gossip endpoint.
const Path = "/mustardwing/v1/gossip"

// message is a request or a response of the gossip protocol.
type message struct {
	// ConfigVersion and Digest describe the sender's configuration and directory.
	ConfigVersion uint64 `json:"config_version"`
	Digest        uint64 `json:"digest,omitempty"`
	// StoreEra is the highest era of the store that the sender knows; see platform.EraStore.
	StoreEra uint64 `json:"store_era,omitempty"`
	// StoreTrouble is the time in milliseconds since calls of a node to the store last failed, zero if
	// none has lately; see StoreTrouble.
	StoreTrouble int64 `json:"store_trouble,omitempty"`
	// ConfigAge is the time in milliseconds since the sender's configuration was last known to be what
	// the store holds, at least one; zero if that is not known.
	ConfigAge int64 `json:"config_age,omitempty"`
	// UpdateOnly is set when the message only carries changes. The receiver then does not
	// compare its digest with the sender's, since the digests differ while changes are
	// disseminated.
	UpdateOnly bool `json:"news,omitempty"`
	// Buckets holds the bucket digests of the sender's directory. It is set when the
	// directory differs from the receiver's.
	Buckets []uint64 `json:"buckets,omitempty"`
	// Compare requests a comparison of the entries in the buckets that differ. The response
	// has Entries, Wanted and More.
	Compare *comparison `json:"compare,omitempty"`
	// Entries holds entries that may be newer than the receiver's.
	Entries entryList `json:"entries,omitempty"`
	// Spoiled is set when the store holds something else in the place of the receiver's entry.
	Spoiled bool `json:"spoiled,omitempty"`
	// Wanted lists the nodes whose entries the sender lacks or has in older versions only.
	Wanted []string `json:"wanted,omitempty"`
	// More is set when there are more differences than the message holds.
	More bool `json:"more,omitempty"`
	// Config is the sender's configuration, set when it is newer than the receiver's.
	Config json.RawMessage `json:"config,omitempty"`
}

// comparison lists the sender's versions of the entries in the buckets in which two
// directories differ.
type comparison struct {
	// Buckets is the number of buckets, Differing the indexes of those that differ.
	Buckets   int   `json:"buckets"`
	Differing []int `json:"differing"`
	// Versions holds the version of each entry in these buckets, by node.
	Versions map[string]uint64 `json:"versions"`
}
