package gossip

import (
	"context"
	"sync"

	"github.com/rs/zerolog"
)

// maxEraStep bounds the returns of the store that a node may have missed. It learns of more of them
// from the store.
const maxEraStep = 16

// StoreEra holds the highest era of the platform's store that this node knows, from the store
// or from a peer; see platform.EraStore. It is safe for concurrent use.
type StoreEra struct {
	log zerolog.Logger

	mu    sync.Mutex
	known uint64
	// returned is closed and replaced at each return of the store.
	returned chan struct{}
	onReturn []func()
}

// NewStoreEra returns a StoreEra that knows no era.
func NewStoreEra(log zerolog.Logger) *StoreEra {
	return &StoreEra{log: log, returned: make(chan struct{})}
}

// OnReturn registers a function that is called when the store is known to have returned from an
// older copy. It must be called before the first Observe.
func (e *StoreEra) OnReturn(f func()) {
	e.onReturn = append(e.onReturn, f)
}

// Observe records an era. If another, lower one was known, the store has returned from an older
// copy since.
func (e *StoreEra) Observe(era uint64) {
	e.mu.Lock()
	if era <= e.known {
		e.mu.Unlock()
		return
	}
	first := e.known == 0
	e.known = era
	if first {
		e.mu.Unlock()
		return
	}
	close(e.returned)
	e.returned = make(chan struct{})
	e.mu.Unlock()
	e.log.Warn().Uint64("era", era).Msg("store has returned from an older copy")
	for _, f := range e.onReturn {
		f()
	}
}

// ObservePeer records an era that a peer states. A peer's word is no proof of an era: before this node
// has learned one from the store, and beyond maxEraStep above that, it is ignored.
func (e *StoreEra) ObservePeer(era uint64) {
	if known := e.Current(); known > 0 && era-known <= maxEraStep {
		e.Observe(era)
	}
}

// Current returns the highest known era, zero before the first.
func (e *StoreEra) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// Context returns a context that ends with ctx, and when the store is known to have returned
// from an older copy after this call.
func (e *StoreEra) Context(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	e.mu.Lock()
	returned := e.returned
	e.mu.Unlock()
	go func() {
		select {
		case <-returned:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
