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

// tableSizes are the fleet sizes of the tables that are filled without a fleet.
var tableSizes = []float64{1000, 2000, 4000, 8000, 16000}

// discard is a transport that sends nothing.
type discard struct{ packets chan membership.Datagram }

func (d discard) Send(string, []byte) error           { return nil }
func (d discard) Packets() <-chan membership.Datagram { return d.packets }
func (d discard) Close() error                        { return nil }

// filled returns a member that knows n others.
func filled(n int) (*node, error) {
	list, err := membership.New(membership.Config{
		ID: "measured", Region: "region-0", FailureDomain: "domain-00", Client: client,
		Addresses: membership.Addresses{Peer: "127.0.0.1:1", Gossip: "127.0.0.1:2"},
	}, discard{packets: make(chan membership.Datagram)})
	if err != nil {
		return nil, err
	}
	list.Start()
	f := &node{list: list}
	first := record(0, 1)
	if err := f.offer(first.Id, []*peerv1.Member{first}); err != nil {
		return nil, err
	}
	return f, f.offer(first.Id, records(n, 1))
}

// offer gives records to the member over the wire format, so that no memory is
// shared with the source.
func (n *node) offer(from string, members []*peerv1.Member) error {
	wire, err := proto.Marshal(&peerv1.SyncMembersRequest{FromId: from, Members: members, WantedBuckets: []uint32{0}})
	if err != nil {
		return err
	}
	request := &peerv1.SyncMembersRequest{}
	if err := proto.Unmarshal(wire, request); err != nil {
		return err
	}
	_, err = n.list.SyncMembers(context.Background(), connect.NewRequest(request))
	return err
}

// settleTime lets the subscribers' goroutine take the events.
const settleTime = 100 * time.Millisecond

func measureMemory(time.Duration) error {
	var perTable []float64
	for _, size := range tableSizes {
		before := heapBytes()
		f, err := filled(int(size))
		if err != nil {
			return err
		}
		time.Sleep(settleTime)
		perTable = append(perTable, (heapBytes()-before)/1024)
		runtime.KeepAlive(f)
		_ = f.list.Close()
	}
	printTable("Memory of the members table", "members", tableSizes,
		map[string][]float64{"KiB": perTable}, []string{"KiB"})
	return nil
}

// measureAntiEntropy compares two tables over RPC, equal ones and ones that
// differ in one member.
func measureAntiEntropy(time.Duration) error {
	const rounds = 200
	var equalTime, equalBytes, oneTime, oneBytes, fullTime, fullBytes []float64
	for _, size := range tableSizes {
		f, err := filled(int(size))
		if err != nil {
			return err
		}
		server := httptest.NewServer(f.handler())
		peer := client(server.Listener.Addr().String())
		ask := func(r *peerv1.SyncMembersRequest) (float64, error) {
			response, err := peer.SyncMembers(context.Background(), connect.NewRequest(r))
			if err != nil {
				return 0, err
			}
			return float64(proto.Size(r) + proto.Size(response.Msg)), nil
		}
		digests := f.list.Digests()
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
			var failed error
			spent := perOperation(m.repetitions, func(int) { bytes, failed = ask(m.request) })
			if failed != nil {
				return failed
			}
			*m.times = append(*m.times, float64(spent.Microseconds()))
			*m.bytes = append(*m.bytes, bytes)
		}
		server.Close()
		_ = f.list.Close()
	}
	printTable("Anti-entropy, processor time of both sides (us) and message bytes of one exchange", "members", tableSizes,
		map[string][]float64{
			"equal us": equalTime, "equal bytes": equalBytes, "one bucket us": oneTime, "one bucket bytes": oneBytes,
			"whole table us": fullTime, "whole table bytes": fullBytes,
		}, []string{"equal us", "equal bytes", "one bucket us", "one bucket bytes", "whole table us", "whole table bytes"})
	return nil
}
