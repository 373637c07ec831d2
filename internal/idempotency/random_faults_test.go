package idempotency

import (
	"context"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/internal/platform/platformtest"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

const (
	defaultSeeds = 6
	shortSeeds   = 2
	defaultSteps = 120
	// keyPeriod is how often a new key is issued.
	keyPeriod = 100 * time.Millisecond
	// recoveryBound is the time after the last fault within which new keys must be granted
	// at every node again: the longest platform backoff (30 s), the removal of dead members
	// by a minority (15 s), and two changes of epoch.
	recoveryBound = 90 * time.Second
)

// Guards against a call that runs twice under any combination of faults, and
// against ownership that does not recover after the faults. SEED selects a single seed
// and STEPS the number of faults, for one long run.
func TestRandomFaults(t *testing.T) {
	steps := envInt("STEPS", defaultSteps)
	if seed := envInt("SEED", 0); seed != 0 {
		runSeed(t, uint64(seed), steps)
		return
	}
	seeds := defaultSeeds
	if testing.Short() {
		seeds = shortSeeds
	}
	for seed := range seeds {
		runSeed(t, uint64(seed+1), steps)
	}
}

// Guards against a call that runs twice because clocks differ or are wrong. A fleet with
// such clocks may refuse keys, so it is not required to recover.
func TestRandomFaultsWithWrongClocks(t *testing.T) {
	seeds := defaultSeeds
	if testing.Short() {
		seeds = shortSeeds
	}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, uint64(seed+100+envInt("SEED", 0)), 3)
			defer f.close()
			f.skewClocks([]time.Duration{3 * time.Second, 20 * time.Second, 10 * time.Minute}[seed%3])
			f.startAll()
			f.runFaults(envInt("STEPS", defaultSteps))
			assert.NilError(t, f.observer.failed())
			t.Logf("executed %d keys; refused %v", f.observer.executed, f.observer.refused)
		})
	}
}

func envInt(name string, otherwise int) int {
	n, err := strconv.Atoi(os.Getenv(name))
	if err != nil {
		return otherwise
	}
	return n
}

func runSeed(t *testing.T, seed uint64, steps int) {
	t.Run("seed="+strconv.FormatUint(seed, 10), func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, seed, 2+int(seed%4))
			defer f.close()
			f.skewClocks(time.Second)
			// Every other seed limits the members to 3, so that in a fleet of 4 one node
			// is not a member.
			f.config = func(c *Config) { c.MaxMembers = 3 + int(seed%2)*5 }
			f.startAll()
			f.runFaults(steps)
			assert.NilError(t, f.observer.failed())
			f.heal()
			f.awaitRecovery(recoveryBound)
			assert.NilError(t, f.observer.failed())
			t.Logf("executed %d keys; refused %v; platform %+v", f.observer.executed, f.observer.refused, f.store.Counts())
		})
	})
}

// runFaults injects one fault after another while keys are issued.
func (f *fleet) runFaults(steps int) {
	ctx, stop := context.WithCancel(f.ctx)
	defer stop()
	go f.issueKeys(ctx)
	time.Sleep(15 * time.Second)
	for step := 0; step < steps && f.observer.failed() == nil; step++ {
		f.injectFault()
		time.Sleep(f.duration(5 * time.Second))
	}
}

// skewClocks sets each node's clock ahead or back by a random duration of up to limit. It
// has to be called before the nodes start.
func (f *fleet) skewClocks(limit time.Duration) {
	for _, n := range f.nodes {
		n.skew = f.duration(2*limit) - limit
	}
}

type faultKind int

const (
	restartLater faultKind = iota
	restartAtOnce
	pausedNode
	isolatedNode
	oneWayPartition
	platformFaulty
	platformPartitioned
	leavesGracefully
	lossyNetwork
	allNodesCrash
	faultKinds
)

// injectFault starts one random fault, which usually ends after a random time.
func (f *fleet) injectFault() {
	n := f.nodes[f.intn(len(f.nodes))]
	switch faultKind(f.intn(int(faultKinds))) {
	case restartLater:
		n.crash()
		go f.afterRandomDelay(20*time.Second, n.restart)
	case restartAtOnce:
		n.crash()
		n.restart()
	case pausedNode:
		n.pause()
		go f.afterRandomDelay(30*time.Second, n.unpause)
	case isolatedNode:
		f.isolate(n, true)
		go f.afterRandomDelay(30*time.Second, func() { f.isolate(n, false) })
	case oneWayPartition:
		other := f.nodes[f.intn(len(f.nodes))]
		f.setPartitioned(n, other, true)
		go f.afterRandomDelay(20*time.Second, func() { f.setPartitioned(n, other, false) })
	case platformFaulty:
		f.store.SetFaults(f.platformFaults())
		go f.afterRandomDelay(40*time.Second, func() { f.store.SetFaults(platformtest.Faults{}) })
	case platformPartitioned:
		f.setPlatformUnreachable(n, true)
		go f.afterRandomDelay(40*time.Second, func() { f.setPlatformUnreachable(n, false) })
	case leavesGracefully:
		go func() {
			if n.running() {
				_ = n.leave(f.duration(5 * time.Second))
				f.afterRandomDelay(10*time.Second, n.restart)
			}
		}()
	case lossyNetwork:
		f.setRates(f.float()*0.3, f.float()*0.3, time.Second)
		go f.afterRandomDelay(20*time.Second, func() { f.setRates(0, 0, 2*time.Millisecond) })
	case allNodesCrash:
		if f.intn(10) == 0 {
			f.crashAll()
		}
	}
}

func (f *fleet) crashAll() {
	for _, n := range f.nodes {
		n.crash()
		go f.afterRandomDelay(5*time.Second, n.restart)
	}
}

func (f *fleet) platformFaults() platformtest.Faults {
	faults := platformtest.Faults{DelayMs: f.intn(500), LostResponseFraction: f.float(), LateWriteFraction: f.float() / 2, LateWriteMs: f.intn(15000)}
	if f.intn(2) == 0 {
		faults.Outage = true
	}
	if f.intn(4) == 0 {
		faults.WritesPerSecond = f.float()
	}
	if f.intn(4) == 0 {
		faults.GarbageFraction = f.float()
	}
	return faults
}

// afterRandomDelay calls fn after a random delay unless the faults have ended by
// then.
func (f *fleet) afterRandomDelay(limit time.Duration, fn func()) {
	time.Sleep(f.duration(limit))
	f.mu.Lock()
	healed := f.healed
	f.mu.Unlock()
	if f.ctx.Err() == nil && !healed {
		fn()
	}
}

// restart starts a new process unless one is running or paused.
func (n *node) restart() {
	n.fleet.mu.Lock()
	idle := n.process == nil || n.dead
	n.fleet.mu.Unlock()
	if idle {
		n.start()
	}
}

// addNode adds a node with a new address and starts its process.
func (f *fleet) addNode() {
	n := &node{fleet: f, id: "added", addr: "added"}
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	n.start()
}

// leaveFirst makes the first node leave; an error is recorded as a violation.
func (f *fleet) leaveFirst() {
	if err := f.nodes[0].leave(10 * time.Second); err != nil {
		f.observer.violation(err)
	}
}

func (f *fleet) setPartitioned(a, b *node, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[[2]string{a.addr, b.addr}] = partitioned
}

func (f *fleet) isolate(n *node, isolated bool) {
	for _, other := range f.nodes {
		if other != n {
			f.setPartitioned(n, other, isolated)
			f.setPartitioned(other, n, isolated)
		}
	}
}

func (f *fleet) setPlatformUnreachable(n *node, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n.process != nil {
		n.platformUnreachable = unreachable
	}
}

func (f *fleet) setRates(loss, duplication float64, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss, f.duplication, f.delay = loss, duplication, delay
}

// heal ends all faults and starts a new process at each node that is down or leaving.
func (f *fleet) heal() {
	f.mu.Lock()
	f.healed = true
	f.mu.Unlock()
	f.store.SetFaults(platformtest.Faults{})
	f.setRates(0, 0, 2*time.Millisecond)
	for _, n := range f.nodes {
		f.isolate(n, false)
		f.setPlatformUnreachable(n, false)
		n.unpause()
		if n.isLeaving() {
			n.crash()
		}
		n.restart()
	}
}

func (n *node) isLeaving() bool {
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	return n.leaving
}

// awaitRecovery fails the test unless new keys are granted at every node within bound.
func (f *fleet) awaitRecovery(bound time.Duration) {
	f.t.Helper()
	start := time.Now()
	for !f.allNodesGrant() {
		if time.Since(start) > bound {
			f.t.Fatalf("new keys are still refused %s after the last fault: %v", bound, f.stats())
		}
		time.Sleep(time.Second)
	}
	f.t.Logf("recovered %s after the last fault", time.Since(start))
}

// allNodesGrant reports whether a few new keys acquired at every node are all granted by
// their owners.
func (f *fleet) allNodesGrant() bool {
	for _, n := range f.nodes {
		for range 10 {
			if f.acquireKey(n, f.newKey(0)) != nil {
				return false
			}
		}
	}
	return true
}

// acquireKey acquires a key at a node for a new attempt.
func (f *fleet) acquireKey(n *node, key uuid.UUID) error {
	ctx, cancel := context.WithTimeout(f.ctx, 2*time.Second)
	defer cancel()
	return n.current().manager.Acquire(ctx, testService, key, uuid.New())
}

func (f *fleet) stats() []Stats {
	var all []Stats
	for _, n := range f.nodes {
		all = append(all, n.current().manager.Stats())
	}
	return all
}

// issueKeys issues new keys and starts a few attempts at random nodes for each.
func (f *fleet) issueKeys(ctx context.Context) {
	for ctx.Err() == nil {
		key := f.newKey(f.duration(4*time.Second) - 2*time.Second)
		if f.intn(10) == 0 {
			key = f.newKey(f.duration(20*time.Second) - 10*time.Second)
		}
		for range 1 + f.intn(4) {
			go f.attemptAfterDelay(ctx, key)
		}
		for _, n := range f.nodes {
			if n.running() {
				f.mutant.alterManager(n.current().manager)
			}
		}
		time.Sleep(keyPeriod)
	}
}

func (f *fleet) attemptAfterDelay(ctx context.Context, key uuid.UUID) {
	wait := f.duration(3 * time.Second)
	if f.intn(4) == 0 {
		wait = f.duration(time.Minute)
	}
	time.Sleep(wait)
	n := f.nodes[f.intn(len(f.nodes))]
	if ctx.Err() == nil && n.running() {
		f.attempt(n, key)
	}
}

// attempt acquires a key at a node, runs the call and reports its outcome.
func (f *fleet) attempt(n *node, key uuid.UUID) {
	p := n.current()
	attempt := uuid.New()
	ctx, cancel := context.WithTimeout(f.ctx, 2*time.Second)
	defer cancel()
	err := p.manager.Acquire(ctx, testService, key, attempt)
	p.waitWhilePaused(f)
	if err != nil {
		f.observer.refuse(resultcode.From(err).Code.String())
		return
	}
	if p.isDead(f) {
		return
	}
	f.observer.permitted(key, p.member.ID+" "+attempt.String())
	time.Sleep(f.duration(2 * time.Second))
	p.waitWhilePaused(f)
	if p.isDead(f) {
		return
	}
	execution := []resultcode.Execution{resultcode.NotRun, resultcode.Run, resultcode.Unknown, resultcode.Run}[f.intn(4)]
	if execution == resultcode.NotRun {
		f.observer.released(key)
	}
	p.manager.Complete(f.ctx, testService, key, attempt, execution, 200)
}
