package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/mustardwing/mustardwing/internal/directory"
)

// typicalEntry returns an entry whose names have the length usual in a fleet.
func typicalEntry(i int, version uint64) directory.Entry {
	address := fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255)
	return directory.Entry{
		Node: address, Version: version, Address: address + ":8702", Region: "ro-central", FailureDomain: "ro-central-" + string(rune('a'+i%14)),
		Upstream: &directory.Upstream{ID: fmt.Sprintf("i-%010x", i), Service: fmt.Sprint("service-", i%2900), Slots: 35, State: directory.Ready},
	}
}

// benchmarkPair returns two gossipers whose directories hold the same n entries, and the
// meter that counts the bytes of their messages.
func benchmarkPair(n int) (*Gossiper, *Gossiper, *meter) {
	net := &network{nodes: map[string]*Gossiper{}, partitioned: map[string]bool{}}
	sender := &meter{endpoint: endpoint{net, "one"}, perPeer: map[string]int{}}
	var pair [2]*Gossiper
	for i, name := range []string{"one", "two"} {
		d := directory.New(directory.Entry{Node: name, Address: name + ":1"}, time.Now)
		var all []directory.Entry
		for j := range n {
			all = append(all, typicalEntry(j, 1))
		}
		d.Merge(all)
		pair[i] = New(Config{
			Directory: d, Document: NewDocument(decodeVersion, zerolog.Nop()), StoreEra: NewStoreEra(zerolog.Nop()), StoreTrouble: NewStoreTrouble(), Sender: sender,
			OnRemoved: func(string) {}, Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
		net.nodes[name] = pair[i]
	}
	pair[0].exchange(context.Background(), "two")
	return pair[0], pair[1], sender
}

// BenchmarkExchange synchronizes two directories that differ in one entry. It reports
// the bytes of the message bodies in both directions.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{300, 1000, 4000, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			one, two, sender := benchmarkPair(n)
			before := sender.counts()["two"]
			version := uint64(1)
			for b.Loop() {
				version++
				two.config.Directory.Merge([]directory.Entry{typicalEntry(7, version)})
				one.exchange(context.Background(), "two")
			}
			b.ReportMetric(float64(sender.counts()["two"]-before)/float64(b.N), "bytes/op")
		})
	}
}

// BenchmarkEqualExchange compares two equal directories, as in a fleet without changes.
func BenchmarkEqualExchange(b *testing.B) {
	for _, n := range []int{300, 1000, 4000, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			one, _, sender := benchmarkPair(n)
			before := sender.counts()["two"]
			for b.Loop() {
				one.exchange(context.Background(), "two")
			}
			b.ReportMetric(float64(sender.counts()["two"]-before)/float64(b.N), "bytes/op")
		})
	}
}

// BenchmarkPeers measures the selection of peers after a change of the directory,
// which runs once a second at most.
func BenchmarkPeers(b *testing.B) {
	for _, n := range []int{300, 1000, 4000, 16000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			one, _, _ := benchmarkPair(n)
			now := time.Now()
			version := uint64(1)
			for b.Loop() {
				version++
				e := typicalEntry(7, version)
				e.Removed = version%2 == 0
				one.config.Directory.Merge([]directory.Entry{e})
				now = now.Add(2 * refreshInterval)
				one.peers.forUpdate(now, minFanout)
			}
		})
	}
}

// BenchmarkUpdate encodes and serves an update message with one entry.
func BenchmarkUpdate(b *testing.B) {
	one, _, sender := benchmarkPair(1000)
	before := sender.counts()["two"]
	version := uint64(1)
	for b.Loop() {
		version++
		if _, err := one.send(context.Background(), "two", message{UpdateOnly: true, Entries: []directory.Entry{typicalEntry(7, version)}}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(sender.counts()["two"]-before)/float64(b.N), "bytes/op")
}
