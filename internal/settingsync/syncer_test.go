package settingsync_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/membership/membershiptest"
	"github.com/mustardwing/mustardwing/internal/settingsync"
)

// inForceTimeout is the time within which the design guarantees that a change is in
// force at every node.
const inForceTimeout = 7 * time.Second

// newSyncedFleet returns a fleet in which one settings object is in force everywhere.
func newSyncedFleet(t *testing.T, seed uint64, size int) *fleet {
	f := newFleet(t, seed, size)
	f.put("default", "one")
	time.Sleep(30 * time.Second)
	f.waitForStoreState(inForceTimeout)
	return f
}

// TestChangeReachesAll guards against a change that some nodes apply late: with 5 %
// packet loss it must be in force at all 28 nodes within inForceTimeout.
func TestChangeReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncedFleet(t, 1, 28)
		defer f.stopAll()
		f.net.SetFaults(membershiptest.Faults{Loss: 0.05, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond})
		worst := time.Duration(0)
		for i := range 50 {
			f.put(fmt.Sprintf("service/s%d", i%5), strconv.Itoa(i))
			worst = max(worst, f.waitForStoreState(inForceTimeout))
		}
		t.Logf("slowest change %s", worst)
		f.checkViolations()
	})
}

// TestStoreCallsDoNotGrow guards against a fleet that overloads the platform: with 48
// nodes instead of 16, the peak number of watches must stay at 8, two in each of the four
// failure domains, and the nodes may make at most 16 more Watch and List calls to the
// store in total.
func TestStoreCallsDoNotGrow(t *testing.T) {
	count := func(size int) (watches, calls int) {
		synctest.Test(t, func(t *testing.T) {
			f := newSyncedFleet(t, 2, size)
			defer f.stopAll()
			f.store.ResetCalls()
			for i := range 10 {
				f.put("default", strconv.Itoa(i))
				time.Sleep(10 * time.Second)
			}
			watches = f.store.PeakWatches()
			calls = f.store.Calls("Watch") + f.store.Calls("List")
			f.waitForStoreState(inForceTimeout)
		})
		return watches, calls
	}
	smallWatches, smallCalls := count(16)
	largeWatches, largeCalls := count(48)
	t.Logf("16 nodes: %d watches, %d calls; 48 nodes: %d watches, %d calls", smallWatches, smallCalls, largeWatches, largeCalls)
	assert.Equal(t, smallWatches, 8)
	assert.Equal(t, largeWatches, 8)
	assert.Assert(t, largeCalls <= smallCalls+16)
}

// TestRefusedRevision guards against a node that loses its last valid settings when it
// refuses a revision, against a refusal that no node reports, and against a node that
// does not apply the corrected revision.
func TestRefusedRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncedFleet(t, 3, 8)
		defer f.stopAll()
		before, _ := f.nodes[0].state()
		bad := f.put("service/pay", refusedValue)
		time.Sleep(time.Minute)
		refusals := 0
		for _, n := range f.nodes {
			revision, _ := n.state()
			assert.Equal(t, revision, before)
			if report := n.syncer.Report(); report.Refused == bad && report.Err != nil {
				refusals++
			}
		}
		assert.Assert(t, refusals > 0, "no node reports the refusal")
		f.put("service/pay", "good")
		f.waitForStoreState(inForceTimeout)
		for _, n := range f.nodes {
			assert.NilError(t, n.syncer.Report().Err)
		}
	})
}

// TestStartDuringOutage guards against nodes that start while the platform is
// unavailable and use the built-in defaults although a peer has the settings.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncedFleet(t, 4, 8)
		defer f.stopAll()
		f.store.SetOutage(true)
		n := f.add()
		time.Sleep(10 * time.Second)
		want, _ := f.nodes[0].state()
		got, _ := n.state()
		assert.Equal(t, got, want)
		assert.Equal(t, n.syncer.Report().Source, settingsync.SourcePeer)
	})
}

// TestStartBeforeStoreIsAvailable guards against nodes that start while the store is
// unavailable and, an hour later, hide that they still use the built-in defaults, and
// against nodes that do not apply the store's settings once it is available again.
func TestStartBeforeStoreIsAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, 0)
		f.put("default", "one")
		f.store.SetOutage(true)
		for range 8 {
			f.add()
		}
		defer f.stopAll()
		time.Sleep(time.Hour)
		assert.Equal(t, f.nodes[3].syncer.Report().Source, settingsync.SourceNone)
		f.store.SetOutage(false)
		t.Logf("in force %s after the store was available again", f.waitForStoreState(time.Minute))
	})
}

// TestStoreVersionRegression guards against a fleet that reverts to older settings
// when the store is restored to an earlier version, that does not report this, or that
// does not apply the store's settings once its version has passed the one in force.
func TestStoreVersionRegression(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSyncedFleet(t, 6, 8)
		defer f.stopAll()
		for i := range 20 {
			f.put("default", strconv.Itoa(i))
		}
		f.waitForStoreState(inForceTimeout)
		before, tree := f.nodes[0].state()
		f.store.Restore(0)
		f.put("default", "old")
		time.Sleep(2 * time.Minute)
		reported := 0
		for _, n := range f.nodes {
			revision, now := n.state()
			assert.Equal(t, revision, before)
			assert.Equal(t, now, tree)
			if n.syncer.Report().Err != nil {
				reported++
			}
		}
		assert.Assert(t, reported > 0, "no node reports that the store's version went backwards")
		for i := range 40 {
			f.put("default", "new"+strconv.Itoa(i))
		}
		t.Logf("new settings in force after %s", f.waitForStoreState(2*time.Minute))
		f.checkViolations()
	})
}

// TestRandomChanges guards against revisions in force that decrease, and against
// trees that still differ from the store's after faults of network, store and nodes.
func TestRandomChanges(t *testing.T) {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	steps, err := strconv.Atoi(os.Getenv("STEPS"))
	if err != nil {
		steps = 40
	}
	synctest.Test(t, func(t *testing.T) {
		f := newSyncedFleet(t, seed+7, 12)
		defer f.stopAll()
		rng := rand.New(rand.NewPCG(seed, 9))
		for range steps {
			f.injectFaults(rng)
			f.net.SetPartition(nil)
			f.net.SetFaults(membershiptest.Faults{MinDelay: time.Millisecond, MaxDelay: 3 * time.Millisecond})
			f.store.SetOutage(false)
			for _, n := range f.nodes {
				f.net.Resume(n.name)
			}
			f.waitForStoreState(90 * time.Second)
			f.checkViolations()
		}
	})
}

// injectFaults makes one to six random changes and faults of network, store and nodes.
func (f *fleet) injectFaults(rng *rand.Rand) {
	for range 1 + rng.IntN(6) {
		n := f.nodes[rng.IntN(len(f.nodes))]
		switch rng.IntN(8) {
		case 0:
			f.net.SetPartition(func(a, b string) bool { return a == n.name })
		case 1:
			f.net.SetFaults(membershiptest.Faults{Loss: 0.3, Duplication: 0.3, MinDelay: time.Millisecond, MaxDelay: 100 * time.Millisecond})
		case 2:
			f.net.Pause(n.name)
		case 3:
			f.store.SetOutage(true)
			time.Sleep(time.Duration(rng.IntN(60)) * time.Second)
			f.store.SetOutage(false)
		case 4:
			f.store.Compact()
		case 5:
			key := settingsync.KeyPrefix + "service/s" + strconv.Itoa(rng.IntN(4))
			if object, err := f.store.Get(context.Background(), key); err == nil {
				assert.NilError(f.t, f.store.Delete(context.Background(), key, object.Version))
			}
		default:
			f.put("service/s"+strconv.Itoa(rng.IntN(4)), strconv.Itoa(rng.IntN(1000)))
		}
		time.Sleep(time.Duration(rng.IntN(10000)) * time.Millisecond)
	}
}
