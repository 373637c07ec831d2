// Package call describes one call on its way through the nodes: its identity,
// priority, remaining time, retry allowance and idempotency key, and the headers
// that carry them.
package call

import "github.com/mustardwing/mustardwing/internal/resultcode"

// Priority is the importance of a root request. All calls below a root inherit it.
type Priority uint8

// Priorities from the first to be shed to the last.
const (
	Background Priority = iota
	Normal
	High
	Critical
)

// PriorityCount is the number of priorities.
const PriorityCount = 4

var priorityNames = [PriorityCount]string{"background", "normal", "high", "critical"}

// String returns the name used in headers and settings.
func (p Priority) String() string {
	if int(p) < PriorityCount {
		return priorityNames[p]
	}
	return "invalid"
}

// ParsePriority accepts the four names.
func ParsePriority(s string) (Priority, error) {
	for i, name := range priorityNames {
		if s == name {
			return Priority(i), nil
		}
	}
	return 0, resultcode.New(resultcode.UnknownPriority, "priority %q: want background, normal, high or critical", s)
}
