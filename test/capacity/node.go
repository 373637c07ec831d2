package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"connectrpc.com/connect"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/peerv1"
	"github.com/mustardwing/mustardwing/internal/settingsync"
	"github.com/mustardwing/mustardwing/internal/status"
)

// node handles the peer RPCs of one member. One that startNode has started also gossips
// over loopback UDP and has a peer listener on loopback TCP. Fields that a measurement
// does not use are nil.
type node struct {
	peerv1.UnimplementedPeerServiceHandler
	memberlist *membership.Memberlist
	syncer     *settingsync.Syncer
	reporter   *status.Reporter
	server     *httptest.Server
}

// SyncMembers implements peerv1.PeerServiceHandler.
func (n *node) SyncMembers(ctx context.Context, r *connect.Request[peerv1.SyncMembersRequest]) (*connect.Response[peerv1.SyncMembersResponse], error) {
	return n.memberlist.SyncMembers(ctx, r)
}

// GetSettings implements peerv1.PeerServiceHandler.
func (n *node) GetSettings(ctx context.Context, r *connect.Request[peerv1.GetSettingsRequest]) (*connect.Response[peerv1.GetSettingsResponse], error) {
	return n.syncer.GetSettings(ctx, r)
}

// PushStatus implements peerv1.PeerServiceHandler.
func (n *node) PushStatus(ctx context.Context, r *connect.Request[peerv1.PushStatusRequest]) (*connect.Response[peerv1.PushStatusResponse], error) {
	return n.reporter.PushStatus(ctx, r)
}

// startNode starts a member that joins through the seeds.
func startNode(id string, seeds ...string) (*node, error) {
	transport, err := membership.ListenUDP("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &node{}
	n.server = httptest.NewServer(n.handler())
	n.memberlist, err = membership.New(membership.Config{
		ID: id, Region: "ro", FailureDomain: "ro-a", Seeds: seeds, Client: client,
		Addresses: membership.Addresses{Peer: n.server.Listener.Addr().String(), Gossip: transport.Address()},
	}, transport)
	if err != nil {
		return nil, err
	}
	n.memberlist.Start()
	return n, nil
}

func (n *node) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1.NewPeerServiceHandler(n))
	return mux
}

// client returns a client of the peer listener at an address.
func client(address string) peerv1.PeerServiceClient {
	return peerv1.NewPeerServiceClient(http.DefaultClient, "http://"+address)
}

func (n *node) close() {
	_ = n.memberlist.Close()
	n.server.Close()
}

// record returns the record of member i as peer nodes send it.
func record(i, version int) *peerv1.Member {
	return &peerv1.Member{
		Id: fmt.Sprintf("service-%04d-%02d", i/6, i%6), Incarnation: 1764838364000000000 + uint64(i), Version: uint64(version),
		State: peerv1.MemberState_MEMBER_STATE_ALIVE, PeerAddress: fmt.Sprintf("10.%d.%d.%d:8082", i>>16, i>>8&255, i&255),
		GossipAddress: fmt.Sprintf("10.%d.%d.%d:8083", i>>16, i>>8&255, i&255), Region: fmt.Sprintf("region-%d", i%6),
		FailureDomain: fmt.Sprintf("domain-%02d", i%14), Service: fmt.Sprintf("service-%04d", i/6), Slots: 35,
		UpstreamReady: true, ReadyUnixMs: 1764838364000, SettingsRevision: 123456,
	}
}

// records returns the records of n members, all with the given version.
func records(n, version int) []*peerv1.Member {
	list := make([]*peerv1.Member, 0, n)
	for i := range n {
		list = append(list, record(i, version))
	}
	return list
}
