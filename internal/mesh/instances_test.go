package mesh

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mustardwing/mustardwing/internal/balancer"
	"github.com/mustardwing/mustardwing/internal/directory"
	"github.com/mustardwing/mustardwing/internal/settings"
)

func newInstances(d *directory.Directory) *Instances {
	return NewInstances("r", "a", d, func(string) settings.Values { return settings.Defaults() })
}

func instanceEntry(i int, version uint64, service string, state directory.UpstreamState) directory.Entry {
	return directory.Entry{
		Node: fmt.Sprint("node-", i), Version: version, Address: fmt.Sprint("node-", i, ":1"), Region: "r", FailureDomain: "a",
		Upstream: &directory.Upstream{ID: fmt.Sprint("i-", i), Service: service, Slots: 4, State: state},
	}
}

// readyIn returns the number of instances of a service that may be chosen.
func readyIn(s *Instances, service string) int {
	b, _ := s.lookup(time.Now(), service)
	if b == nil {
		return -1
	}
	return b.ReadyCount(nil)
}

// Guards against choices that differ from the directory after some sequence of changes, such as
// an instance that is chosen after it has left or moved to another service.
func TestChangesLeadToTheSameChoicesAsTheDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := directory.New(directory.Entry{Node: "self", Address: "self:1"}, time.Now)
		s := newInstances(d)
		d.OnChange(func(changed []directory.Entry) { s.Apply(time.Now(), changed) })
		services := []string{"s", "t"}
		for version := range uint64(rapid.IntRange(1, 40).Draw(t, "changes")) {
			i := rapid.IntRange(0, 4).Draw(t, "node")
			e := instanceEntry(i, version+1, rapid.SampledFrom(services).Draw(t, "service"),
				rapid.SampledFrom([]directory.UpstreamState{directory.Ready, directory.Draining, directory.Unreachable}).Draw(t, "state"))
			e.Leaving = rapid.Bool().Draw(t, "leaving")
			if rapid.IntRange(0, 5).Draw(t, "dead") == 0 {
				known, _ := d.Get(e.Node)
				d.Remove(e.Node, known.Version)
			} else {
				d.Merge([]directory.Entry{e})
			}
			for _, service := range services {
				want := 0
				for _, e := range d.All() {
					if e.Serves() && e.Upstream.Service == service {
						want++
					}
				}
				if got := readyIn(s, service); max(0, got) != want {
					t.Fatalf("service %s: %d instances, want %d", service, got, want)
				}
			}
		}
	})
}

// Guards against calls for an instance that go to the address in an odd entry with the same
// instance id.
func TestInstanceHasOneAddress(t *testing.T) {
	d := directory.New(directory.Entry{Node: "self", Address: "self:1"}, time.Now)
	s := newInstances(d)
	d.OnChange(func(changed []directory.Entry) { s.Apply(time.Now(), changed) })
	d.Merge([]directory.Entry{instanceEntry(1, 1, "s", directory.Ready)})
	odd := instanceEntry(2, 1, "s", directory.Ready)
	odd.Upstream.ID = "i-1"
	time.Sleep(time.Millisecond)
	d.Merge([]directory.Entry{odd})
	assert.Equal(t, readyIn(s, "s"), 1)
	b, _ := s.lookup(time.Now(), "s")
	choice, err := b.Pick(time.Now(), balancer.PickRequest{Kind: "k"})
	assert.NilError(t, err)
	assert.Equal(t, choice.Instance.PeerAddress, "node-1:1")
}

// BenchmarkOneChange is the work for one changed entry, with and without a call to its service
// after it, and for all entries, in fleets of 300 to 16,000 nodes with 35 or 6 instances each
// service.
func BenchmarkOneChange(b *testing.B) {
	for _, n := range []int{300, 1000, 16_000} {
		d := directory.New(directory.Entry{Node: "self", Address: "self:1"}, time.Now)
		for i := range n {
			d.Merge([]directory.Entry{instanceEntry(i, 1, fmt.Sprint("s-", i%(1+n/6)), directory.Ready)})
		}
		s := newInstances(d)
		now := time.Now()
		s.Update(now)
		changed := []directory.Entry{instanceEntry(7, 1, "s-7", directory.Ready)}
		b.Run(fmt.Sprint("all/nodes=", n), func(b *testing.B) {
			for range b.N {
				s.Update(now)
			}
		})
		b.Run(fmt.Sprint("one/nodes=", n), func(b *testing.B) {
			for range b.N {
				s.Apply(now, changed)
			}
		})
		b.Run(fmt.Sprint("one-and-a-call/nodes=", n), func(b *testing.B) {
			for range b.N {
				s.Apply(now, changed)
				s.lookup(now, "s-7")
			}
		})
	}
}

// Guards against calls of a node to an upstream of which it knows that it leaves, because the
// upstream's node has restarted and says that it is ready.
func TestLeaveOutlivesALaterEntry(t *testing.T) {
	d := directory.New(directory.Entry{Node: "self", Address: "self:1"}, time.Now)
	s := newInstances(d)
	d.OnChange(func(changed []directory.Entry) { s.Apply(time.Now(), changed) })
	merge := func(version uint64, incarnation int64, state directory.UpstreamState) int {
		e := instanceEntry(1, version, "s", state)
		e.Upstream.Incarnation = incarnation
		d.Merge([]directory.Entry{e})
		return readyIn(s, "s")
	}
	assert.Equal(t, merge(1, 7, directory.Ready), 1)
	assert.Equal(t, merge(2, 7, directory.Draining), 0)
	assert.Equal(t, merge(3, 7, directory.Ready), 0)
	assert.Equal(t, merge(4, 8, directory.Ready), 1, "a new incarnation with the same id")
}
