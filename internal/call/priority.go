// Package call defines the metadata of a call as it passes through the nodes (identity,
// priority, deadline, allowance and idempotency key) and the headers that carry it.
package call

import "github.com/mustardwing/mustardwing/internal/resultcode"

// Priority decides which root requests are shed first. Nested calls inherit it.
type Priority uint8

// Priorities, in the order in which calls are shed.
const (
	Background Priority = iota
	Normal
	High
	Critical
)

// PriorityCount is the number of priorities.
const PriorityCount = 4

var priorityNames = [PriorityCount]string{"background", "normal", "high", "critical"}

// String returns the name that headers and settings use.
func (p Priority) String() string {
	if int(p) < PriorityCount {
		return priorityNames[p]
	}
	return "invalid"
}

// ParsePriority returns the priority of the given name, in lower case.
func ParsePriority(s string) (Priority, error) {
	for i, name := range priorityNames {
		if s == name {
			return Priority(i), nil
		}
	}
	return 0, resultcode.New(resultcode.UnknownPriority, "priority %q: want background, normal, high or critical", s)
}
