package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/strictjson"
)

// Accepted ranges of the fields, documented in docs/settings.md.
const (
	minTimeout        = 10 * time.Millisecond
	maxTimeout        = 30 * time.Minute
	maxRetries        = 10
	maxMoves          = 32
	maxQueuePerSlot   = 10
	minQueueTimeout   = time.Millisecond
	maxQueueTimeout   = 10 * time.Second
	minLongShare      = 0.1
	maxLongShare      = 1
	maxStragglerShare = 0.5
	maxRampUp         = 10 * time.Minute
	minBody           = strictjson.KiB
	maxBody           = 64 * strictjson.GiB
	minKeyWindow      = time.Minute
	maxKeyWindow      = 24 * time.Hour
	minIsolation      = 5 * time.Minute
	maxIsolation      = 24 * time.Hour
)

var fields = []Field{
	{
		Name: "priority", Range: "background, normal, high, critical", Levels: levelsAny, Example: "critical", id: idPriority,
		Meaning:   "Importance of a root request. Under overload, less important calls are shed first. A caller may lower it, never raise it.",
		read:      readPriority,
		jsonValue: func(v *Values) any { return v.Priority.String() },
	},
	{
		Name: "idempotent", Range: "auto, yes, no", Levels: levelsAny, Example: "no", id: idIdempotent,
		Meaning:   "Whether a call may run more than once. `auto` takes GET, HEAD and OPTIONS as idempotent. A non-idempotent call runs at most once.",
		read:      readIdempotent,
		jsonValue: func(v *Values) any { return string(v.Idempotent) },
	},
	{
		Name: "timeout", Unit: "duration", Range: "10ms to 30m", Levels: levelsAny, Example: "2s", id: idTimeout,
		Meaning:   "Time limit of a whole root request, with everything below it. A caller may only shorten it.",
		read:      durationField(minTimeout, maxTimeout, func(v *Values) *time.Duration { return &v.Timeout }),
		jsonValue: func(v *Values) any { return strictjson.FormatDuration(v.Timeout) },
	},
	{
		Name: "retries", Unit: "attempts", Range: "0 to 10", Levels: levelsAny, Example: "1", Type: JSONNumber, id: idRetries,
		Meaning:   "Extra attempts, hedges included, that one root request may cause in its whole tree of calls.",
		read:      intField(0, maxRetries, func(v *Values) *int { return &v.Retries }),
		jsonValue: func(v *Values) any { return v.Retries },
	},
	{
		Name: "moves", Unit: "attempts", Range: "0 to 32", Levels: levelsAny, Example: "4", Type: JSONNumber, id: idMoves,
		Meaning:   "Attempts at another instance after a proven not-run outcome that one root request may cause in its whole tree of calls.",
		read:      intField(0, maxMoves, func(v *Values) *int { return &v.Moves }),
		jsonValue: func(v *Values) any { return v.Moves },
	},
	{
		Name: "hedge", Range: "true, false", Levels: levelsAny, Example: "false", Type: JSONBool, id: idHedge,
		Meaning:   "Whether a slow idempotent call may be sent to a second instance. Hedges are charged to `retries`.",
		read:      boolField(func(v *Values) *bool { return &v.Hedge }),
		jsonValue: func(v *Values) any { return v.Hedge },
	},
	{
		Name: "queue_per_slot", Unit: "calls per slot", Range: "0 to 10", Levels: levelsNoKind, Example: "0.5", Type: JSONNumber, id: idQueuePerSlot,
		Meaning:   "Length of the queue in front of an instance, as a multiple of its slots. 0 turns the queue off.",
		read:      floatField(0, maxQueuePerSlot, func(v *Values) *float64 { return &v.QueuePerSlot }),
		jsonValue: func(v *Values) any { return v.QueuePerSlot },
	},
	{
		Name: "queue_timeout", Unit: "duration", Range: "1ms to 10s", Levels: levelsAny, Example: "100ms", id: idQueueTimeout,
		Meaning:   "Longest wait in the queue before a call is shed.",
		read:      durationField(minQueueTimeout, maxQueueTimeout, func(v *Values) *time.Duration { return &v.QueueTimeout }),
		jsonValue: func(v *Values) any { return strictjson.FormatDuration(v.QueueTimeout) },
	},
	{
		Name: "long_share", Unit: "part of the slots", Range: "0.1 to 1", Levels: levelsNoKind, Example: "0.3", Type: JSONNumber, id: idLongShare,
		Meaning:   "Part of an instance's slots that kinds with long service times may hold together, so that short calls do not wait behind them.",
		read:      floatField(minLongShare, maxLongShare, func(v *Values) *float64 { return &v.LongFraction }),
		jsonValue: func(v *Values) any { return v.LongFraction },
	},
	{
		Name: "learned_capacity", Range: "true, false", Levels: levelsNoKind, Example: "true", Type: JSONBool, id: idLearnedCapacity,
		Meaning:   "Whether nodes learn how many calls an instance takes well and how fast it is, and use this up to its announced slots.",
		read:      boolField(func(v *Values) *bool { return &v.LearnedCapacity }),
		jsonValue: func(v *Values) any { return v.LearnedCapacity },
	},
	{
		Name: "straggler_share", Unit: "part of the instances", Range: "0 to 0.5", Levels: levelsNoKind, Example: "0.25", Type: JSONNumber, id: idStragglerShare,
		Meaning:   "Largest part of a service's instances that may be excluded at a time because they are much slower than the rest.",
		read:      floatField(0, maxStragglerShare, func(v *Values) *float64 { return &v.StragglerFraction }),
		jsonValue: func(v *Values) any { return v.StragglerFraction },
	},
	{
		Name: "ramp_up", Unit: "duration", Range: "0s to 10m", Levels: levelsNoKind, Example: "30s", id: idRampUp,
		Meaning:   "Time over which a new instance's share of the calls grows to that of the others. `0s` gives it a full share at once.",
		read:      durationField(0, maxRampUp, func(v *Values) *time.Duration { return &v.RampUp }),
		jsonValue: func(v *Values) any { return strictjson.FormatDuration(v.RampUp) },
	},
	{
		Name: "max_body", Unit: "size", Range: "1KiB to 64GiB", Levels: levelsAny, Example: "256MiB", id: idMaxBody,
		Meaning:   "Largest request body. A declared larger one is refused before any work.",
		read:      readMaxBody,
		jsonValue: func(v *Values) any { return strictjson.FormatSize(v.MaxBodyBytes) },
	},
	{
		Name: "key_window", Unit: "duration", Range: "1m to 24h", Levels: levelsNoKind, Example: "30m", id: idKeyWindow,
		Meaning:   "How long idempotency keys are remembered. A key issued longer ago is refused.",
		read:      durationField(minKeyWindow, maxKeyWindow, func(v *Values) *time.Duration { return &v.KeyWindow }),
		jsonValue: func(v *Values) any { return strictjson.FormatDuration(v.KeyWindow) },
	},
	{
		Name: "isolation_limit", Unit: "duration", Range: "5m to 24h", Levels: levelsNoKind, Example: "2h", id: idIsolationLimit,
		Meaning:   "How long non-idempotent calls keep running while the platform is unavailable. It is also how long a service may have to wait after all its nodes were lost at once.",
		read:      durationField(minIsolation, maxIsolation, func(v *Values) *time.Duration { return &v.IsolationLimit }),
		jsonValue: func(v *Values) any { return strictjson.FormatDuration(v.IsolationLimit) },
	},
	{
		Name: "match", Unit: "method and path prefix", Range: "1 to 32 rules", Levels: LevelKind, Example: "POST /photos, PUT /photos", Type: JSONArray, id: idMatch,
		Meaning:   "Calls that belong to this kind when they do not name one themselves. The first kind that matches, in the order in which the service's kinds were added, is taken; `*` stands for any method.",
		read:      readMatch,
		jsonValue: func(*Values) any { return nil },
	},
}

func readPriority(n strictjson.Node, o *overlay) bool {
	text, ok := n.Text()
	if !ok {
		return false
	}
	priority, err := call.ParsePriority(text)
	if err != nil {
		n.ReportInvalid("background, normal, high or critical")
		return false
	}
	o.values.Priority = priority
	return true
}

func readIdempotent(n strictjson.Node, o *overlay) bool {
	text, ok := n.Text()
	if !ok {
		return false
	}
	switch value := Idempotence(text); value {
	case IdempotentAuto, IdempotentYes, IdempotentNo:
		o.values.Idempotent = value
		return true
	}
	n.ReportInvalid("auto, yes or no")
	return false
}

func readMaxBody(n strictjson.Node, o *overlay) bool {
	value, ok := n.Size(minBody, maxBody)
	o.values.MaxBodyBytes = value
	return ok
}

func readMatch(n strictjson.Node, o *overlay) bool {
	elements, ok := n.List()
	if !ok {
		return false
	}
	if len(elements) == 0 || len(elements) > maxMatchRules {
		n.ReportInvalid(fmt.Sprintf("1 to %d rules", maxMatchRules))
		return false
	}
	var rules []MatchRule
	for _, element := range elements {
		text, isText := element.Text()
		rule, valid := parseMatchRule(text)
		if isText && !valid {
			element.ReportInvalid(wantMatchRule)
		}
		ok = ok && isText && valid
		rules = append(rules, rule)
	}
	o.match = rules
	return ok
}

// durationField returns a read function for the field of Values to which target returns
// a pointer. boolField, intField and floatField are its counterparts for other types.
func durationField(minValue, maxValue time.Duration, target func(*Values) *time.Duration) func(strictjson.Node, *overlay) bool {
	return func(n strictjson.Node, o *overlay) bool {
		value, ok := n.Duration(minValue, maxValue)
		*target(&o.values) = value
		return ok
	}
}

func boolField(target func(*Values) *bool) func(strictjson.Node, *overlay) bool {
	return func(n strictjson.Node, o *overlay) bool {
		value, ok := n.Bool()
		*target(&o.values) = value
		return ok
	}
}

func intField(minValue, maxValue int64, target func(*Values) *int) func(strictjson.Node, *overlay) bool {
	return func(n strictjson.Node, o *overlay) bool {
		value, ok := n.Int()
		if ok && (value < minValue || value > maxValue) {
			n.ReportInvalid(fmt.Sprintf("a whole number from %d to %d", minValue, maxValue))
			ok = false
		}
		*target(&o.values) = int(value)
		return ok
	}
}

func floatField(minValue, maxValue float64, target func(*Values) *float64) func(strictjson.Node, *overlay) bool {
	return func(n strictjson.Node, o *overlay) bool {
		value, ok := n.Float()
		if ok && (value < minValue || value > maxValue) {
			n.ReportInvalid(fmt.Sprintf("a number from %g to %g", minValue, maxValue))
			ok = false
		}
		*target(&o.values) = value
		return ok
	}
}

func fieldNames() string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.Name)
	}
	return strings.Join(names, ", ")
}
