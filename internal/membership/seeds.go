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

// seedPrefix is where the seed entries are kept, one object per failure domain.
const seedPrefix = "seeds/"

// seedsPerDomain is the number of addresses in a seed entry.
const seedsPerDomain = 5

// seedEntry is the value of one seed object.
type seedEntry struct {
	// Addresses are gossip addresses of live members.
	Addresses []string `json:"addresses"`
}

// seedKeeper reads the seed entries while the node knows nobody, and keeps the
// entry of its failure domain up to date while it has that role.
type seedKeeper struct {
	list *Memberlist
	rng  *rand.Rand
	// wait is the current backoff of a node that knows nobody.
	wait time.Duration
}

func (k *seedKeeper) run(ctx context.Context) {
	timer := time.NewTimer(k.pause())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			k.round(ctx)
			timer.Reset(k.pause())
		}
	}
}

// pause returns the time to the next round. Full jitter keeps nodes that start
// together from reading the store together.
func (k *seedKeeper) pause() time.Duration {
	cfg := k.list.cfg
	if !k.list.knowsNobody() {
		k.wait = 0
		return cfg.SeedInterval + time.Duration(k.rng.Int64N(int64(cfg.SeedInterval/2)))
	}
	k.wait = min(max(2*k.wait, cfg.SeedBackoff), cfg.SeedInterval)
	return k.wait/2 + time.Duration(k.rng.Int64N(int64(k.wait)))
}

func (k *seedKeeper) round(ctx context.Context) {
	alone := k.list.knowsNobody()
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
	// While all nodes start at once there is no entry, and none is known to be a
	// keeper: whoever comes first writes itself, so that the others find it.
	first := alone && !k.hasEntry(listing)
	if !keeper && !first {
		return
	}
	if conflict := k.write(ctx, listing); conflict && alone {
		_, _ = k.read(ctx)
	}
}

// hasEntry reports whether the own failure domain has a seed entry.
func (k *seedKeeper) hasEntry(listing platform.Listing) bool {
	for _, object := range listing.Objects {
		if object.Key == seedPrefix+k.list.cfg.FailureDomain {
			return len(decodeSeeds(object.Value)) > 0
		}
	}
	return false
}

// read lists all entries. A keeper uses them too: after a long partition they
// are how two sides that forgot each other meet.
func (k *seedKeeper) read(ctx context.Context) (platform.Listing, error) {
	k.list.countStore(1, 0)
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

// write replaces the entry of the own failure domain when it differs. Both
// keepers compute the same entry, so normally only one of them writes. It reports
// whether another node wrote first.
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
	value, err := json.Marshal(seedEntry{Addresses: wanted})
	if err != nil {
		return false
	}
	k.list.countStore(0, 1)
	_, err = k.list.cfg.Store.Update(ctx, key, version, value)
	if err != nil && resultcode.From(err).Code == resultcode.SettingsConflict {
		return true
	}
	if err != nil {
		k.list.cfg.Logger.Debug().Err(err).Str("key", key).Msg("seed entry not written")
	}
	return false
}

func decodeSeeds(value []byte) []string {
	var entry seedEntry
	if json.Unmarshal(value, &entry) != nil {
		return nil
	}
	return entry.Addresses
}

func (m *Memberlist) knowsNobody() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.core.alone()
}

func (m *Memberlist) learnSeeds(addresses []string) {
	m.mu.Lock()
	m.core.addSeeds(time.Now(), addresses)
	m.mu.Unlock()
	m.poke()
}

// seedAddresses returns the entry for the own failure domain.
func (m *Memberlist) seedAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var addresses []string
	for _, member := range m.core.ranked("seed", m.cfg.FailureDomain, seedsPerDomain) {
		addresses = append(addresses, member.Addresses.Gossip)
	}
	slices.Sort(addresses)
	return addresses
}

func (m *Memberlist) countStore(reads, writes uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.StoreReads += reads
	m.stats.StoreWrites += writes
}
