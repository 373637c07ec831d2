package gossip

import (
	"sync"

	"github.com/rs/zerolog"

	"github.com/mustardwing/mustardwing/internal/routing"
)

// Document is the operators' configuration as this node knows it. Its version
// only rises. It is safe for concurrent use.
type Document struct {
	decode func(raw []byte) (*routing.Table, error)
	log    zerolog.Logger

	mu      sync.RWMutex
	raw     []byte
	table   *routing.Table
	changed []func(*routing.Table)
}

// NewDocument returns a document without a version. Decode translates what the
// operators wrote.
func NewDocument(decode func([]byte) (*routing.Table, error), log zerolog.Logger) *Document {
	return &Document{decode: decode, log: log}
}

// OnChange registers a function that receives each new table.
func (d *Document) OnChange(f func(*routing.Table)) {
	d.changed = append(d.changed, f)
}

// Apply takes in a configuration if it is valid and newer than the known one.
func (d *Document) Apply(raw []byte, source string) bool {
	table, err := d.decode(raw)
	if err != nil {
		d.log.Warn().Err(err).Str("source", source).Int("bytes", len(raw)).Uint64("in_force", d.Version()).Msg("configuration refused")
		return false
	}
	d.mu.Lock()
	if d.table != nil && d.table.Version >= table.Version {
		d.mu.Unlock()
		return false
	}
	d.raw, d.table = raw, table
	d.mu.Unlock()
	d.log.Info().Uint64("version", table.Version).Str("source", source).Int("routes", table.RouteCount()).Msg("configuration in force")
	for _, f := range d.changed {
		f(table)
	}
	return true
}

// Table returns the routes in force, nil before any is known.
func (d *Document) Table() *routing.Table {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.table
}

// Version returns the version in force, zero before any is known.
func (d *Document) Version() uint64 {
	d.mu.RLock()
	defer d.mu.RUnlock()
	if d.table == nil {
		return 0
	}
	return d.table.Version
}

// Raw returns the configuration as the operators wrote it.
func (d *Document) Raw() []byte {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.raw
}
