package admission

import (
	"math"
	"strconv"
	"strings"

	"github.com/pkg/errors"

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

// loadFields precede the numbers in Load.String, in their order.
var loadFields = [...]string{"running=", ",queued=", ",slots=", ",level=", ":"}

// String formats the load for the Mustardwing-Load header.
func (l Load) String() string {
	text := make([]byte, 0, 96)
	for i, number := range [...]int64{int64(l.Running), int64(l.Queued), int64(l.Slots), int64(l.Level.Priority), int64(l.Level.Rank)} {
		text = append(text, loadFields[i]...)
		text = strconv.AppendInt(text, number, 10)
	}
	if l.RateLimit != nil {
		text = append(text, rateLimitField...)
		text = strconv.AppendFloat(text, *l.RateLimit, 'g', -1, 64)
	}
	return string(text)
}

// ParseLoad parses the value of the Mustardwing-Load header. It fails unless s has all
// fields in the order of Load.String, except the rate limit. It ignores what follows the last
// field, and a rate limit that cannot be read.
func ParseLoad(s string) (Load, error) {
	var numbers [len(loadFields)]int64
	rest := s
	for i, field := range loadFields {
		text, found := strings.CutPrefix(rest, field)
		end := 0
		for end < len(text) && (text[end] >= '0' && text[end] <= '9' || end == 0 && text[0] == '-') {
			end++
		}
		number, err := strconv.ParseInt(text[:end], 10, 64)
		if !found || err != nil {
			return Load{}, errors.Errorf("load %.128q: want a number after %q", s, field)
		}
		numbers[i], rest = number, text[end:]
	}
	priority, rank := numbers[3], numbers[4]
	if priority < 0 || priority > math.MaxUint8 || rank < 0 || rank > math.MaxUint32 {
		return Load{}, errors.Errorf("load %.128q: level out of range", s)
	}
	l := Load{Running: int(numbers[0]), Queued: int(numbers[1]), Slots: int(numbers[2]), Level: Level{Priority: call.Priority(priority), Rank: uint32(rank)}}
	if _, text, found := strings.Cut(rest, rateLimitField); found {
		l.RateLimit = ParseRateLimit(text)
	}
	return l, nil
}

// FormatRateLimit formats a rate limit for the headers between nodes.
func FormatRateLimit(perSecond float64) string {
	return strconv.FormatFloat(perSecond, 'g', -1, 64)
}

// ParseRateLimit parses a rate limit in calls per second. It returns nil unless the text is a
// finite number from zero.
func ParseRateLimit(text string) *float64 {
	if text == "" {
		return nil
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || perSecond < 0 || math.IsInf(perSecond, 0) || math.IsNaN(perSecond) {
		return nil
	}
	return &perSecond
}
