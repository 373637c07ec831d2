package idempotency

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// ownershipHandler serves the RPCs of the peer service that a Manager implements.
type ownershipHandler struct {
	peerv1.UnimplementedPeerServiceHandler
	*Manager
}

func (h *ownershipHandler) AcquireExecution(ctx context.Context, r *connect.Request[peerv1.AcquireExecutionRequest]) (*connect.Response[peerv1.AcquireExecutionResponse], error) {
	return h.Manager.AcquireExecution(ctx, r)
}

func (h *ownershipHandler) CompleteExecution(ctx context.Context, r *connect.Request[peerv1.CompleteExecutionRequest]) (*connect.Response[peerv1.CompleteExecutionResponse], error) {
	return h.Manager.CompleteExecution(ctx, r)
}

func (h *ownershipHandler) RenewLease(ctx context.Context, r *connect.Request[peerv1.RenewLeaseRequest]) (*connect.Response[peerv1.RenewLeaseResponse], error) {
	return h.Manager.RenewLease(ctx, r)
}

func (h *ownershipHandler) JoinOwnership(ctx context.Context, r *connect.Request[peerv1.JoinOwnershipRequest]) (*connect.Response[peerv1.JoinOwnershipResponse], error) {
	return h.Manager.JoinOwnership(ctx, r)
}

// Guards against a message or a stored record that changes when it is encoded and
// decoded: two managers exchange leases, acquisitions and reports over HTTP
// connections and write the record to a store.
func TestOverConnect(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	store := platformtest.New(1)
	var members []*peerv1.OwnerMember
	var managers []*Manager
	done := make(chan struct{}, 2)
	for _, id := range []string{"a", "b"} {
		handler := &ownershipHandler{}
		path, service := peerv1.NewPeerServiceHandler(handler)
		mux := http.NewServeMux()
		mux.Handle(path, service)
		server := httptest.NewServer(mux)
		defer server.Close()
		self := Member{Identity{id, uint64(time.Now().UnixNano())}, server.URL}
		members = append(members, self.toProto())
		handler.Manager = NewManager(Config{
			Service: testService, Self: self, Store: store,
			Live: func() []*peerv1.OwnerMember { return members },
			Peer: func(a string) peerv1.PeerServiceClient {
				return peerv1.NewPeerServiceClient(http.DefaultClient, a)
			},
		})
		managers = append(managers, handler.Manager)
	}
	for _, m := range managers {
		go func() { m.Run(ctx); done <- struct{}{} }()
	}
	waitFor(t, func() bool { return managers[0].Ready() && managers[1].Ready() })
	owners := make(map[string]bool)
	for range 20 {
		key, attempt := uuid.Must(uuid.NewV7()), uuid.New()
		owner, _, err := managers[0].ownerOf(key)
		assert.NilError(t, err)
		owners[owner.ID] = true
		assert.NilError(t, managers[0].Acquire(ctx, testService, key, attempt))
		assert.Equal(t, resultcode.From(managers[1].Acquire(ctx, testService, key, uuid.New())).Code, resultcode.KeyInProgress)
		managers[0].Complete(ctx, testService, key, attempt, resultcode.Run, 402)
		waitFor(t, func() bool { return managers[0].Stats().ReportsWaiting == 0 })
		var completed interface{ OriginalStatus() int }
		assert.Assert(t, errors.As(managers[1].Acquire(ctx, testService, key, uuid.New()), &completed))
		assert.Equal(t, completed.OriginalStatus(), 402)
	}
	assert.Equal(t, len(owners), 2)
	assert.NilError(t, managers[1].Leave(ctx))
	waitFor(t, func() bool { return managers[0].Ready() && !managers[1].Ready() })
	assert.NilError(t, managers[0].Leave(ctx))
	object, err := store.Get(ctx, RecordKey(testService))
	assert.NilError(t, err)
	last, err := decodeRecord(testService, object.Version, object.Value)
	assert.NilError(t, err)
	assert.Equal(t, len(last.Newest().Members), 0)
	cancel()
	<-done
	<-done
}

// waitFor polls until the condition holds. Only the test's timeout bounds it.
func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a release after which a call runs again, because the epoch that the
// release writes starts before the issue time of a key that the former owner granted ahead
// of its clock.
func TestRelease(t *testing.T) {
	ctx := context.Background()
	store := platformtest.New(1)
	c := soleOwner(t, 10)
	value, err := encodeRecord(c.record)
	assert.NilError(t, err)
	_, err = store.Update(ctx, RecordKey("s"), 0, value)
	assert.NilError(t, err)
	now := time.UnixMilli(50_000)
	assert.NilError(t, Release(ctx, store, "s", now))
	object, err := store.Get(ctx, RecordKey("s"))
	assert.NilError(t, err)
	released, err := decodeRecord("s", object.Version, object.Value)
	assert.NilError(t, err)
	assert.NilError(t, released.checkSuccessorOf(c.record))
	assert.Equal(t, released.Newest().Start, int64(60_000))
	assert.Equal(t, c.acquire(50_000, keyAt(55_999), uuid.New()).State, Granted)
	assert.Equal(t, c.acquire(50_000, keyAt(56_000), uuid.New()).State, NotOwner)
	start, ok := takeoverStart(51_000, released, nil)
	assert.Assert(t, ok)
	assert.Equal(t, start, int64(51_000))
}
