package membership

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mustardwing/mustardwing/internal/platform"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// seedPrefix is the key prefix of the seed objects, one for each failure domain.
const seedPrefix = "seeds/"

// seedsPerDomain is the number of addresses in a seed object.
const seedsPerDomain = 5

// seedObject is the value of a seed object in the store.
type seedObject struct {
	// Addresses are gossip addresses of live members.
	Addresses []string `json:"addresses"`
}

// seedKeeper runs on each node. It reads the seed objects while the node knows no other
// live member or holds RoleSeedKeeper. It updates the object of the node's failure domain
// while the node holds the role, and replaces a missing or invalid one while the node
// knows no other live member.
type seedKeeper struct {
	list *Memberlist
	rng  *rand.Rand
	// backoff is the current read backoff of a node that knows no other live member.
	backoff time.Duration
}

func (k *seedKeeper) run(ctx context.Context) {
	timer := time.NewTimer(k.nextInterval())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			k.round(ctx)
			timer.Reset(k.nextInterval())
		}
	}
}

// nextInterval returns the time until the next round. The jitter keeps nodes that start
// at the same time from reading the store at the same time.
func (k *seedKeeper) nextInterval() time.Duration {
	cfg := k.list.cfg
	if !k.list.alone() {
		k.backoff = 0
		return cfg.SeedInterval + time.Duration(k.rng.Int64N(int64(cfg.SeedInterval/2)))
	}
	k.backoff = min(max(2*k.backoff, cfg.SeedBackoff), cfg.SeedInterval)
	return k.backoff/2 + time.Duration(k.rng.Int64N(int64(k.backoff)))
}

// round reads the seed objects and writes that of the local failure domain, if the node
// needs to do either. The next round retries after a failure.
func (k *seedKeeper) round(ctx context.Context) {
	alone := k.list.alone()
	keeper := k.list.Holds(RoleSeedKeeper)
	if !alone && !keeper {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, k.list.cfg.StoreTimeout)
	defer cancel()
	listing, err := k.read(ctx)
	if err != nil {
		return
	}
	// When all nodes start at the same time there is no seed object and no known holder of
	// RoleSeedKeeper: the first node writes its own address, so that the others find it.
	first := alone && !k.hasSeedObject(listing)
	if !keeper && !first {
		return
	}
	if conflict := k.write(ctx, listing); conflict && alone {
		_, _ = k.read(ctx)
	}
}

// hasSeedObject reports whether the listing has a valid seed object for the failure
// domain of the local node.
func (k *seedKeeper) hasSeedObject(listing platform.Listing) bool {
	for _, object := range listing.Objects {
		if object.Key == seedPrefix+k.list.cfg.FailureDomain {
			return len(decodeSeeds(object.Value)) > 0
		}
	}
	return false
}

// read lists all seed objects and adds their addresses to the local node's seeds. A
// holder of RoleSeedKeeper adds them too: after a long partition, two sides that removed
// each other from their tables find each other through these addresses.
func (k *seedKeeper) read(ctx context.Context) (platform.Listing, error) {
	k.list.countStoreCalls(1, 0)
	listing, err := k.list.cfg.Store.List(ctx, seedPrefix)
	if err != nil {
		return listing, err
	}
	var addresses []string
	for _, object := range listing.Objects {
		addresses = append(addresses, decodeSeeds(object.Value)...)
	}
	k.list.learnSeeds(addresses)
	return listing, nil
}

// write replaces the seed object of the local failure domain when it differs from the
// wanted one. Both holders of RoleSeedKeeper compute the same value, so normally only one
// of them writes. write reports whether another node wrote first.
func (k *seedKeeper) write(ctx context.Context, listing platform.Listing) (conflict bool) {
	key := seedPrefix + k.list.cfg.FailureDomain
	wanted := k.list.seedAddresses()
	var version int64
	for _, object := range listing.Objects {
		if object.Key != key {
			continue
		}
		version = object.Version
		if slices.Equal(decodeSeeds(object.Value), wanted) {
			return false
		}
	}
	value, err := json.Marshal(seedObject{Addresses: wanted})
	if err != nil {
		return false
	}
	k.list.countStoreCalls(0, 1)
	_, err = k.list.cfg.Store.Update(ctx, key, version, value)
	if err != nil && resultcode.From(err).Code == resultcode.SettingsConflict {
		return true
	}
	if err != nil {
		k.list.cfg.Logger.Debug().Err(err).Str("key", key).Msg("failed to write the seed object")
	}
	return false
}

// decodeSeeds returns the addresses in a seed object, or nil when the object is
// malformed.
func decodeSeeds(value []byte) []string {
	var object seedObject
	if json.Unmarshal(value, &object) != nil {
		return nil
	}
	return object.Addresses
}

func (m *Memberlist) alone() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.alone()
}

func (m *Memberlist) learnSeeds(addresses []string) {
	m.mu.Lock()
	m.core.addSeeds(time.Now(), addresses)
	m.mu.Unlock()
	m.wakeUp()
}

// seedAddresses returns the sorted gossip addresses to store in the seed object of the
// local failure domain.
func (m *Memberlist) seedAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, member := range m.core.topByHash("seed", m.cfg.FailureDomain, seedsPerDomain) {
		addresses = append(addresses, member.Addresses.Gossip)
	}
	slices.Sort(addresses)
	return addresses
}

func (m *Memberlist) countStoreCalls(reads, writes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.StoreReads += reads
	m.stats.StoreWrites += writes
}
