package membership

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an ended process that becomes live again: a record that it sent before
// it was declared dead may arrive after the declaration.
func TestDeadIsFinalUntilRejoin(t *testing.T) {
	member := func(version uint64, state State) Member {
		return Member{ID: "n", Incarnation: 7, Version: version, State: state}
	}
	dead, later := member(6, Dead), member(7, Suspect)
	assert.Assert(t, !supersedes(&later, &dead))
	assert.Assert(t, supersedes(&dead, &later))
	rejoined := member(1<<rejoinShift, Alive)
	assert.Assert(t, supersedes(&rejoined, &dead))
	left := member(6, Left)
	assert.Assert(t, supersedes(&left, &rejoined))
}

// Guards against a cyclic order, in which each of three records supersedes the next and
// tables never agree.
func TestOrderOfRecordsIsTotal(t *testing.T) {
	var all []Member
	for _, incarnation := range []uint64{1, 2} {
		for _, version := range []uint64{1, 2, 1 << rejoinShift, 1<<rejoinShift + 1} {
			for state := Alive; state <= Left; state++ {
				all = append(all, Member{ID: "n", Incarnation: incarnation, Version: version, State: state})
			}
		}
	}
	for i := range all {
		for j := range all {
			a, b := &all[i], &all[j]
			assert.Equal(t, i != j, supersedes(a, b) || supersedes(b, a), "%+v %+v", a, b)
			assert.Assert(t, !supersedes(a, b) || !supersedes(b, a))
			for k := range all {
				if supersedes(a, b) && supersedes(b, &all[k]) {
					assert.Assert(t, supersedes(a, &all[k]), "%+v %+v %+v", a, b, all[k])
				}
			}
		}
	}
}

// Guards against a running process that stays dead in the tables of its peers: it rejoins
// with a higher rejoin counter although its version is above that of the Dead record.
func TestRunningMemberRejoinsAfterDeclaredDead(t *testing.T) {
	c := &core{self: Member{ID: "n", Incarnation: 7, Version: 9, State: Alive}, queue: newQueue()}
	c.applySelf(c.lastInput, Member{ID: "n", Incarnation: 7, Version: 6, State: Dead})
	assert.Equal(t, c.self.Rejoins(), uint64(1))
	assert.Assert(t, c.queue.has("n"))
	c.applySelf(c.lastInput, Member{ID: "n", Incarnation: 7, Version: 8, State: Dead})
	assert.Equal(t, c.self.Rejoins(), uint64(1), "an old Dead record does not raise the rejoin counter")
}
