package retry

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/invariant"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// TestMain fixes the seed and the number of checks of rapid unless the command line
// sets other ones.
func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "3000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	m.Run()
}

// Guards against a second execution of a non-idempotent call and against a new attempt
// that the allowance does not cover, that follows the start of a response, that sends an
// incomplete body, or whose backoff outlasts the deadline.
func TestDecideNeverRerunsNonIdempotentCalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		code := rapid.SampledFrom([]resultcode.Code{resultcode.OK, resultcode.ConnectionLost, resultcode.Overloaded}).Draw(t, "common code")
		if rapid.Bool().Draw(t, "any code") {
			code = rapid.SampledFrom(resultcode.Entries()).Draw(t, "code").Code
		}
		o := Outcome{
			Code:                 code,
			Execution:            rapid.SampledFrom([]resultcode.Execution{resultcode.Unknown, resultcode.NotRun, resultcode.Run}).Draw(t, "execution"),
			NotSent:              rapid.Bool().Draw(t, "local"),
			Idempotent:           rapid.Bool().Draw(t, "idempotent"),
			Replayable:           rapid.Bool().Draw(t, "replayable"),
			ResponseStarted:      rapid.Bool().Draw(t, "started"),
			UnattemptedInstances: rapid.IntRange(0, 3).Draw(t, "untried"),
			Attempts:             rapid.IntRange(1, 40).Draw(t, "attempts"),
			Remaining:            rapid.SampledFrom([]time.Duration{-time.Second, 15 * time.Millisecond, time.Second}).Draw(t, "remaining"),
			Left: call.Allowance{
				Retries: rapid.Uint16Range(0, 2).Draw(t, "retries"),
				Moves:   rapid.Uint16Range(0, 2).Draw(t, "moves"),
			},
		}
		d := Decide(o, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)))
		if d.Action == Stop {
			return
		}
		assert.Assert(t, o.Execution == resultcode.NotRun || o.Idempotent, "%+v: %+v", o, d)
		assert.Assert(t, !o.ResponseStarted && o.Replayable, "%+v: %+v", o, d)
		assert.Assert(t, d.Action != Move || (o.Execution == resultcode.NotRun && o.UnattemptedInstances > 0), "%+v: %+v", o, d)
		assert.Assert(t, NewAccount(o.Left).Charge(d.Action.Cost()), "%+v: %+v", o, d)
		assert.Assert(t, d.Backoff < o.Remaining && d.Backoff <= backoffMax, "%+v: %+v", o, d)
	})
}

func drawAllowance(t *rapid.T) call.Allowance {
	return call.Allowance{
		Retries: rapid.Uint16Range(0, 10).Draw(t, "retries"),
		Moves:   rapid.Uint16Range(0, 32).Draw(t, "moves"),
	}
}

// callTree is a call with its nested calls. Every execution of the call makes all of
// them.
type callTree struct {
	nested []callTree
}

// drawCallTree returns a chain of calls of the given depth with fan-out at random hops.
// extraCalls is the number of calls that may still be added outside the chain.
func drawCallTree(random *rand.Rand, depth int, extraCalls *int) callTree {
	var node callTree
	if depth == 0 {
		return node
	}
	node.nested = append(node.nested, drawCallTree(random, depth-1, extraCalls))
	for *extraCalls > 0 && random.IntN(3) == 0 {
		*extraCalls--
		node.nested = append(node.nested, drawCallTree(random, random.IntN(min(depth, 4)), extraCalls))
	}
	return node
}

// hop makes the calls of a call tree with ledgers, accounts and decisions, as the nodes
// do at each hop.
type hop struct {
	random *rand.Rand
	ledger *Ledger
	// extra counts moves and retries, attempts the attempts that were run.
	extra    call.Allowance
	attempts int
	// leaves counts executions of calls without nested calls.
	leaves int
	// refusals is the fraction of the attempts that are refused, from 0 to 1.
	refusals float64
}

// run makes one call, all attempts of which fail, and returns what was spent.
func (h *hop) run(node callTree, total call.Allowance) call.Allowance {
	account := NewAccount(total)
	for attempt := 1; ; attempt++ {
		sent := account.Reserve()
		o := h.attempt(node, sent, account)
		o.Attempts = attempt
		o.Left = account.Left()
		d := Decide(o, h.random)
		if d.Action == Stop || !account.Charge(d.Action.Cost()) {
			return account.Spent()
		}
		h.extra = h.extra.Plus(d.Action.Cost())
	}
}

// attempt makes one attempt, which is refused or fails after its nested calls. The
// response of one in four failures is lost, so that its allowance is not refunded.
func (h *hop) attempt(node callTree, sent call.Allowance, account *Account) Outcome {
	o := Outcome{Idempotent: true, Replayable: true, UnattemptedInstances: 5, Remaining: time.Hour}
	if h.random.Float64() < h.refusals {
		account.Refund(sent, call.Allowance{})
		o.Code, o.Execution = resultcode.Overloaded, resultcode.NotRun
		return o
	}
	h.attempts++
	if len(node.nested) == 0 {
		h.leaves++
	}
	id := uuid.New()
	h.ledger.Open(id, sent)
	for _, nested := range node.nested {
		share := h.ledger.Reserve(id)
		h.ledger.Refund(id, share, h.run(nested, share))
	}
	spent := h.ledger.Close(id)
	if h.random.IntN(4) > 0 {
		account.Refund(sent, spent)
	}
	return o
}

// Guards against retries that multiply from hop to hop: every call fails, and the
// retries and moves of the whole tree stay within the allowance of the root request.
func TestAllowanceBoundsTheCallTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		extraCalls := 20
		root := drawCallTree(random, rapid.IntRange(0, 26).Draw(t, "depth"), &extraCalls)
		total := drawAllowance(t)
		h := &hop{random: random, ledger: NewLedger(), refusals: 0.5}
		spent := h.run(root, total)
		assert.Assert(t, h.extra.Retries <= total.Retries && h.extra.Moves <= total.Moves,
			"%+v extra attempts, want at most %+v", h.extra, total)
		assert.Assert(t, spent.Retries <= total.Retries && spent.Retries >= h.extra.Retries)
		assert.Equal(t, h.ledger.Len(), 0)
	})
}

// attemptsWithRetriesPerHop returns the number of executions at the last service of a
// chain when every hop makes three retries of its own.
func attemptsWithRetriesPerHop(depth int) int {
	if depth == 0 {
		return 1
	}
	sum := 0
	for range 4 {
		sum += attemptsWithRetriesPerHop(depth - 1)
	}
	return sum
}

// Guards against retries that multiply in a chain of 8 hops that fails at the last one.
// With three retries per hop the last service would run 65536 attempts.
func TestAllowanceAgainstRetriesPerHop(t *testing.T) {
	const depth = 8
	node := callTree{}
	for range depth {
		node = callTree{nested: []callTree{node}}
	}
	h := &hop{random: rand.New(rand.NewPCG(1, 1)), ledger: NewLedger()}
	h.run(node, call.Allowance{Retries: 3, Moves: 6})
	t.Logf("chain of %d: at the last hop %d executions with the allowance, %d with three retries per hop",
		depth, h.leaves, attemptsWithRetriesPerHop(depth))
	assert.Assert(t, h.leaves <= 1+3)
	assert.Equal(t, attemptsWithRetriesPerHop(depth), 65536)
}

// Guards against a share that is refunded twice, which would increase the allowance.
func TestLedgerRejectsSecondRefund(t *testing.T) {
	l := NewLedger()
	id := uuid.New()
	l.Open(id, call.Allowance{Retries: 3, Moves: 6})
	share := l.Reserve(id)
	l.Refund(id, share, call.Allowance{})
	invariant.OnViolation(nil)
	defer invariant.PanicOnViolation()
	before := invariant.Count()
	l.Refund(id, share, call.Allowance{})
	assert.Equal(t, invariant.Count(), before+1)
	assert.Equal(t, l.Close(id), call.Allowance{})
}

// Guards against a retry of a call whose nested call was shed, which would be shed
// again: the attempt's retries are forfeited, so that it seems to have spent them all.
func TestForfeitStopsRetriesOfParentCalls(t *testing.T) {
	l := NewLedger()
	id := uuid.New()
	l.Open(id, call.Allowance{Retries: 2, Moves: 3})
	l.Forfeit(id)
	o := Outcome{
		Idempotent: true, Replayable: true, UnattemptedInstances: 3, Attempts: 1, Remaining: time.Minute,
		Sent: call.Allowance{Retries: 2, Moves: 3}, Left: call.Allowance{Retries: 1, Moves: 3},
	}
	random := rand.New(rand.NewPCG(1, 1))
	assert.Equal(t, Decide(o, random).Action, Retry)
	o.Spent = l.Close(id)
	assert.Equal(t, o.Spent, call.Allowance{Retries: 2})
	assert.Equal(t, Decide(o, random).Action, Stop)
}

// Guards against hedges of non-idempotent calls and of calls without allowance for a
// hedge, and against a hedge for which any other condition of HedgeRequest does not hold.
func TestMayHedge(t *testing.T) {
	good := HedgeRequest{
		Enabled: true, Idempotent: true, Replayable: true, Attempts: 1, UnattemptedInstances: 1,
		Delay: time.Millisecond, Remaining: time.Second, Left: call.Allowance{Retries: 1},
	}
	assert.Assert(t, MayHedge(good))
	changes := []func(*HedgeRequest){
		func(r *HedgeRequest) { r.Enabled = false },
		func(r *HedgeRequest) { r.Idempotent = false },
		func(r *HedgeRequest) { r.Replayable = false },
		func(r *HedgeRequest) { r.Attempts = 2 },
		func(r *HedgeRequest) { r.UnattemptedInstances = 0 },
		func(r *HedgeRequest) { r.Remaining = time.Microsecond },
		func(r *HedgeRequest) { r.Left.Retries = 0 },
	}
	for i, change := range changes {
		r := good
		change(&r)
		assert.Assert(t, !MayHedge(r), "case %d", i)
	}
}
