package main

import (
	"context"
	"net/http/httptest"
	"runtime"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/mustardwing/mustardwing/internal/membership"
	"github.com/mustardwing/mustardwing/internal/peerv1"
)

// tableSizes are the numbers of members in the member tables that are filled without
// running a fleet.
var tableSizes = []float64{1000, 2000, 4000, 8000, 16000}

// discardTransport is a transport that drops all packets and receives none.
type discardTransport struct{ packets chan membership.Datagram }

func (d discardTransport) Send(string, []byte) error           { return nil }
func (d discardTransport) Packets() <-chan membership.Datagram { return d.packets }
func (d discardTransport) Close() error                        { return nil }

// newFilledNode returns a member whose table holds size other members.
func newFilledNode(size int) (*node, error) {
	list, err := membership.New(membership.Config{
		ID: "measured", Region: "region-0", FailureDomain: "domain-00", Client: client,
		Addresses: membership.Addresses{Peer: "127.0.0.1:1", Gossip: "127.0.0.1:2"},
	}, discardTransport{packets: make(chan membership.Datagram)})
	if err != nil {
		return nil, err
	}
	list.Start()
	filled := &node{memberlist: list}
	// A sender that is not yet a member may add only itself to the table, so the sender
	// of the records joins first.
	first := record(0, 1)
	if err := filled.merge(first.Id, []*peerv1.Member{first}); err != nil {
		return nil, err
	}
	return filled, filled.merge(first.Id, records(size, 1))
}

// merge merges records into the member table. It encodes and decodes them first, so
// that the table shares no memory with the source.
func (n *node) merge(from string, members []*peerv1.Member) error {
	wire, err := proto.Marshal(&peerv1.SyncMembersRequest{FromId: from, Members: members, WantedBuckets: []uint32{0}})
	if err != nil {
		return err
	}
	request := &peerv1.SyncMembersRequest{}
	if err := proto.Unmarshal(wire, request); err != nil {
		return err
	}
	_, err = n.memberlist.SyncMembers(context.Background(), connect.NewRequest(request))
	return err
}

// subscriberDelay is enough time for the subscribers' goroutine to process the events,
// which must not count as memory of the table.
const subscriberDelay = 100 * time.Millisecond

// measureMemory measures the heap that a member table uses.
func measureMemory(time.Duration) error {
	var tableKiB []float64
	for _, size := range tableSizes {
		before := heapBytes()
		filled, err := newFilledNode(int(size))
		if err != nil {
			return err
		}
		time.Sleep(subscriberDelay)
		tableKiB = append(tableKiB, (heapBytes()-before)/1024)
		runtime.KeepAlive(filled)
		_ = filled.memberlist.Close()
	}
	printTable("Memory of the members table", "members", tableSizes,
		map[string][]float64{"KiB": tableKiB}, []string{"KiB"})
	return nil
}

// measureAntiEntropy measures the comparison of two member tables over RPC: of equal
// tables, of tables that differ in one bucket, and the transfer of a whole table. A bucket
// is a part of the table with its own digest.
func measureAntiEntropy(time.Duration) error {
	const rounds = 200
	var equalTime, equalBytes, oneTime, oneBytes, fullTime, fullBytes []float64
	for _, size := range tableSizes {
		filled, err := newFilledNode(int(size))
		if err != nil {
			return err
		}
		server := httptest.NewServer(filled.handler())
		peer := client(server.Listener.Addr().String())
		exchange := func(r *peerv1.SyncMembersRequest) (float64, error) {
			response, err := peer.SyncMembers(context.Background(), connect.NewRequest(r))
			if err != nil {
				return 0, err
			}
			return float64(proto.Size(r) + proto.Size(response.Msg)), nil
		}
		digests := filled.memberlist.Digests()
		equal := &peerv1.SyncMembersRequest{FromId: "x", BucketDigests: digests}
		changed := append([]uint64(nil), digests...)
		changed[7]++
		one := &peerv1.SyncMembersRequest{FromId: "x", BucketDigests: changed}
		for _, m := range []struct {
			request     *peerv1.SyncMembersRequest
			times       *[]float64
			bytes       *[]float64
			repetitions int
		}{
			{equal, &equalTime, &equalBytes, rounds},
			{one, &oneTime, &oneBytes, rounds},
			{&peerv1.SyncMembersRequest{FromId: "x"}, &fullTime, &fullBytes, 5},
		} {
			var bytes float64
			var lastErr error
			spent := processorTimePerOperation(m.repetitions, func(int) { bytes, lastErr = exchange(m.request) })
			if lastErr != nil {
				return lastErr
			}
			*m.times = append(*m.times, float64(spent.Microseconds()))
			*m.bytes = append(*m.bytes, bytes)
		}
		server.Close()
		_ = filled.memberlist.Close()
	}
	printTable("Anti-entropy, processor time of both sides (us) and message bytes of one exchange", "members", tableSizes,
		map[string][]float64{
			"equal us": equalTime, "equal bytes": equalBytes, "one bucket us": oneTime, "one bucket bytes": oneBytes,
			"whole table us": fullTime, "whole table bytes": fullBytes,
		}, []string{"equal us", "equal bytes", "one bucket us", "one bucket bytes", "whole table us", "whole table bytes"})
	return nil
}
