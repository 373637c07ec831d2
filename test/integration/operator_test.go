package integration

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mustardwing/mustardwing/test/fleet"
)

// Exit statuses of the command-line client.
const (
	exitOK          = 0
	exitConflict    = 4
	exitUnavailable = 5
)

// edit is one edit made with the command-line client, and its result.
type edit struct {
	// reason is different for each edit, so that it identifies the edit in the history.
	scope, field, by, reason string
	// exit is the exit status of the client, output what it printed.
	exit   int
	output string
}

// operator edits the settings with the command-line client and keeps a list of all its
// edits.
type operator struct {
	fleet *fleet.Fleet
	name  string
	edits []edit
}

// set makes one edit; its result may be a failure.
func (o *operator) set(scope, field, value string) edit {
	e := edit{scope: scope, field: field, by: o.name, reason: fmt.Sprintf("edit %d of %s", len(o.edits), o.name)}
	cmd := exec.Command(filepath.Join(binDir, "mustardwing"), "set", scope, field+"="+value,
		"-by", o.name, "-reason", e.reason, "-platform", o.fleet.PlatformURL)
	output, _ := cmd.CombinedOutput()
	e.output, e.exit = string(output), cmd.ProcessState.ExitCode()
	o.edits = append(o.edits, e)
	return e
}

// editFields sets two fields in several rounds: ownField, which no other operator sets,
// and "moves", which the other operator sets at the same time. offset makes the values differ from
// those of the other operator. The history of a scope keeps the last ten records of a
// field, which limits the number of rounds.
func (o *operator) editFields(scope, ownField string, offset int) {
	const rounds = 4
	for i := range rounds {
		o.set(scope, ownField, fmt.Sprintf("%dms", 100+10*offset+i))
		o.set(scope, "moves", fmt.Sprint(4*offset+i))
	}
}

// editConcurrently lets both operators edit a scope at the same time.
func editConcurrently(scope string, ana, ivo *operator) {
	var wg sync.WaitGroup
	wg.Go(func() { ana.editFields(scope, "timeout", 1) })
	wg.Go(func() { ivo.editFields(scope, "queue_timeout", 2) })
	wg.Wait()
}

// historyRecord is one record in the history of a scope, as the client prints it.
type historyRecord struct {
	Field   string `json:"field"`
	SetBy   string `json:"set_by"`
	Reason  string `json:"reason"`
	InForce bool   `json:"in_force"`
}

// history reads the records of a scope with the command-line client.
func history(t *testing.T, f *fleet.Fleet, scope string) []historyRecord {
	t.Helper()
	cmd := exec.Command(filepath.Join(binDir, "mustardwing"), "history", scope, "-o", "json", "-platform", f.PlatformURL)
	output, err := cmd.Output()
	assert.NilError(t, err, "%s", output)
	var result struct {
		Entries []historyRecord `json:"entries"`
	}
	assert.NilError(t, json.Unmarshal(output, &result))
	return result.Entries
}

// checkEdits asserts that an accepted edit is recorded exactly once, one refused for a
// conflict not at all and one whose outcome is unknown at most once, that conflicts
// occur only in the field that both operators edit, and that any other field has the
// last accepted value or that of a later edit whose outcome is unknown. It returns the
// numbers of accepted, conflicting and unknown edits.
func checkEdits(t *testing.T, f *fleet.Fleet, scope string, operators ...*operator) (accepted, conflicts, unknown int) {
	t.Helper()
	recorded := make(map[string]int)
	inForce := make(map[string]string)
	for _, e := range history(t, f, scope) {
		recorded[e.Reason]++
		if e.InForce {
			inForce[e.Field] = e.Reason
		}
	}
	for _, o := range operators {
		// allowed holds, by field, the reasons of the edits whose value may be in force.
		allowed := make(map[string]map[string]bool)
		for _, e := range o.edits {
			if e.scope != scope {
				continue
			}
			switch e.exit {
			case exitOK:
				accepted++
				assert.Equal(t, recorded[e.reason], 1, "accepted: %+v", e)
				allowed[e.field] = map[string]bool{e.reason: true}
			case exitConflict:
				conflicts++
				assert.Equal(t, recorded[e.reason], 0, "refused: %+v", e)
				assert.Equal(t, e.field, "moves", "a conflict in a field that nobody else edits: %+v", e)
			case exitUnavailable:
				unknown++
				assert.Assert(t, recorded[e.reason] <= 1, "%+v", e)
				if allowed[e.field] != nil {
					allowed[e.field][e.reason] = true
				}
			default:
				t.Fatalf("unexpected exit status: %+v", e)
			}
		}
		for field, reasons := range allowed {
			assert.Assert(t, field == "moves" || reasons[inForce[field]], "%s: in force is %q, accepted last %v", field, inForce[field], reasons)
		}
	}
	return accepted, conflicts, unknown
}
