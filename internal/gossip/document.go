package gossip

import (
	"bytes"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/mustardwing/mustardwing/internal/routing"
)

// maxConfigAge bounds the age that a peer may state.
const maxConfigAge = 24 * time.Hour

// Document holds the operators' configuration that is in force on this node. Its
// version only increases. It is safe for concurrent use.
type Document struct {
	decode func(raw []byte) (*routing.Table, error)
	log    zerolog.Logger

	mu sync.RWMutex
	// raw is the configuration as the operators wrote it and table its decoded form; both
	// are nil before the first configuration.
	raw   []byte
	table *routing.Table
	// confirmed is when the configuration in force was last known to be what the store holds, zero if
	// that is not known.
	confirmed time.Time
	// refused is the configuration that was refused last.
	refused  []byte
	onChange []func(*routing.Table)
}

// NewDocument returns a document without a version. Decode parses and validates the
// configuration that the operators wrote.
func NewDocument(decode func([]byte) (*routing.Table, error), log zerolog.Logger) *Document {
	return &Document{decode: decode, log: log}
}

// OnChange registers a function that receives each new table. It must be called before
// the first Apply.
func (d *Document) OnChange(f func(*routing.Table)) {
	d.onChange = append(d.onChange, f)
}

// Apply puts a configuration in force if it is valid and newer than the current one,
// and reports whether it did. Source names where it came from in log lines.
func (d *Document) Apply(raw []byte, source string) bool {
	if d.decided(raw) {
		return false
	}
	table, err := d.decode(raw)
	if err != nil {
		d.log.Warn().Err(err).Str("source", source).Int("bytes", len(raw)).Uint64("in_force", d.Version()).Msg("configuration refused")
		d.mu.Lock()
		d.refused = raw
		d.mu.Unlock()
		return false
	}
	d.mu.Lock()
	if d.table != nil && d.table.Version >= table.Version {
		d.mu.Unlock()
		return false
	}
	d.raw, d.table, d.confirmed = raw, table, time.Time{}
	d.mu.Unlock()
	d.log.Info().Uint64("version", table.Version).Str("source", source).Int("routes", table.RouteCount()).Msg("configuration in force")
	for _, f := range d.onChange {
		f(table)
	}
	return true
}

// Confirm records that the store held a version at a time. It concerns only the version in force.
func (d *Document) Confirm(version uint64, at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table != nil && d.table.Version == version && at.After(d.confirmed) {
		d.confirmed = at
	}
}

// ApplyStored applies a configuration that the store held at a time.
func (d *Document) ApplyStored(raw []byte, at time.Time) {
	d.Apply(raw, "store")
	d.mu.Lock()
	defer d.mu.Unlock()
	if bytes.Equal(raw, d.raw) && at.After(d.confirmed) {
		d.confirmed = at
	}
}

// ConfirmedAge returns the time since the configuration in force was last known to be what the store
// holds, and false if that is not known.
func (d *Document) ConfirmedAge(now time.Time) (time.Duration, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.confirmed.IsZero() {
		return 0, false
	}
	return max(0, now.Sub(d.confirmed)), true
}

// confirmation returns the version in force and its age in the form of message.ConfigAge.
func (d *Document) confirmation(now time.Time) (version uint64, ageMs int64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.table == nil {
		return 0, 0
	}
	if !d.confirmed.IsZero() {
		ageMs = max(1, now.Sub(d.confirmed).Milliseconds())
	}
	return d.table.Version, ageMs
}

// decided reports whether a configuration is the one in force or the one that was refused last, as
// most that the store and peers send are.
func (d *Document) decided(raw []byte) bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return (d.table != nil && bytes.Equal(raw, d.raw)) || (d.refused != nil && bytes.Equal(raw, d.refused))
}

// Table returns the routing table in force, or nil before the first configuration.
func (d *Document) Table() *routing.Table {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.table
}

// Version returns the version in force, or zero before the first configuration.
func (d *Document) Version() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.table == nil {
		return 0
	}
	return d.table.Version
}

// Raw returns the configuration in force as the operators wrote it, or nil before the
// first configuration.
func (d *Document) Raw() []byte {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.raw
}
