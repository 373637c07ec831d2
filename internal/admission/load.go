package admission

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/mustardwing/mustardwing/internal/call"
)

// Level orders requests by priority, then by rank. A request below an
// instance's level is likely to be shed there.
type Level struct {
	Priority call.Priority
	Rank     uint32
}

// Below reports whether a request of level l is shed before one of level m.
func (l Level) Below(m Level) bool {
	if l.Priority != m.Priority {
		return l.Priority < m.Priority
	}
	return l.Rank < m.Rank
}

// Load is the load that an instance reports on each response.
type Load struct {
	// Running is the number of calls that hold a slot, Queued that of the calls that
	// wait for one, and Slots that of the calls that the upstream runs at a time. Under a
	// rate limit Slots is how many of them the limit can keep busy.
	Running, Queued, Slots int
	// Level is the level below which the instance recently shed calls. The zero level
	// admits every call.
	Level Level
	// RateLimit is the number of calls per second that the upstream takes from all nodes
	// together, nil when it states no limit.
	RateLimit *float64
}

// rateLimitField precedes the rate limit, which is optional, in Load.String.
const rateLimitField = ",limit="

// String formats the load for the Mustardwing-Load header.
func (l Load) String() string {
	text := fmt.Sprintf("running=%d,queued=%d,slots=%d,level=%d:%d", l.Running, l.Queued, l.Slots, l.Level.Priority, l.Level.Rank)
	if l.RateLimit != nil {
		text += rateLimitField + FormatRateLimit(*l.RateLimit)
	}
	return text
}

// ParseLoad parses the value of the Mustardwing-Load header. It fails unless s has all
// fields in the order of Load.String, except the rate limit. It ignores what follows the last
// field, and a rate limit that cannot be read.
func ParseLoad(s string) (Load, error) {
	var l Load
	_, err := fmt.Sscanf(s, "running=%d,queued=%d,slots=%d,level=%d:%d", &l.Running, &l.Queued, &l.Slots, &l.Level.Priority, &l.Level.Rank)
	if _, text, found := strings.Cut(s, rateLimitField); found {
		l.RateLimit = ParseRateLimit(text)
	}
	return l, err
}

// FormatRateLimit formats a rate limit for the headers between nodes.
func FormatRateLimit(perSecond float64) string {
	return strconv.FormatFloat(perSecond, 'g', -1, 64)
}

// ParseRateLimit parses a rate limit in calls per second. It returns nil unless the text is a
// finite number from zero.
func ParseRateLimit(text string) *float64 {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || perSecond < 0 || math.IsInf(perSecond, 0) || math.IsNaN(perSecond) {
		return nil
	}
	return &perSecond
}
