package membership

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// syncOnly serves SyncMembers; the other methods return CodeUnimplemented.
type syncOnly struct {
	peerv1.UnimplementedPeerServiceHandler
	list *Memberlist
}

func (s *syncOnly) SyncMembers(ctx context.Context, r *connect.Request[peerv1.SyncMembersRequest]) (*connect.Response[peerv1.SyncMembersResponse], error) {
	return s.list.SyncMembers(ctx, r)
}

func startUDP(t *testing.T, id string, seeds ...string) *Memberlist {
	t.Helper()
	transport, err := ListenUDP("127.0.0.1:0")
	assert.NilError(t, err)
	handler := &syncOnly{}
	mux := http.NewServeMux()
	mux.Handle(peerv1.NewPeerServiceHandler(handler))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	list, err := New(Config{
		ID: id, Region: "ro", FailureDomain: "ro-a", Seeds: seeds,
		Addresses: Addresses{Peer: server.Listener.Addr().String(), Gossip: transport.Address()},
		Client: func(address string) peerv1.PeerServiceClient {
			return peerv1.NewPeerServiceClient(http.DefaultClient, "http://"+address)
		},
	}, transport)
	assert.NilError(t, err)
	handler.list = list
	list.Start()
	t.Cleanup(func() { _ = list.Close() })
	return list
}

// eventually polls check until it returns true, and fails the test after limit. what names
// the condition in the message.
func eventually(t *testing.T, limit time.Duration, what string, check func() bool) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %s", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestUDPNodesFindEachOther guards against a protocol that works only over the in-memory
// network: over UDP, five nodes join through one seed address, all learn of a drain, and
// all learn that a node has left.
func TestUDPNodesFindEachOther(t *testing.T) {
	first := startUDP(t, "n0")
	nodes := []*Memberlist{first}
	for i := 1; i < 5; i++ {
		nodes = append(nodes, startUDP(t, fmt.Sprintf("n%d", i), first.Self().Addresses.Gossip))
	}
	for _, node := range nodes {
		eventually(t, 20*time.Second, "five members", func() bool { return len(node.Members()) == 5 && node.Fresh() })
	}
	nodes[4].UpdateLocal(func(m *Metadata) { m.Draining = true })
	for _, node := range nodes {
		eventually(t, 20*time.Second, "drain", func() bool {
			m, ok := node.Member("n4")
			return ok && m.Draining
		})
	}
	assert.NilError(t, nodes[4].Leave(context.Background()))
	assert.NilError(t, nodes[4].Close())
	for _, node := range nodes[:4] {
		eventually(t, 20*time.Second, "leave", func() bool {
			m, ok := node.Member("n4")
			return ok && m.State == Left
		})
	}
}
