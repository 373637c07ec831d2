package mesh

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/admission"
	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/resultcode"
)

// Headers between nodes in addition to those of package call.
const (
	headerInstance = "Mustardwing-Instance"
	headerCaller   = "Mustardwing-Caller"
	headerRank     = "Mustardwing-Rank"
	// headerRepeat carries hop.Retry.
	headerRepeat = "Mustardwing-Repeat"
	// headerRateLimit carries hop.RateLimit.
	headerRateLimit = "Mustardwing-Rate-Limit"
	// headerLeaving carries outcome.Leaving.
	headerLeaving = "Mustardwing-Leaving"
	// headerReached is set on a response when the upstream received the call.
	headerReached = "Mustardwing-Reached"
	// headerRefusedBelow carries outcome.NestedRefused.
	headerRefusedBelow = "Mustardwing-Refused-Below"
	// headerNested carries outcome.Nested.
	headerNested = "Mustardwing-Nested"
	// headerOrganisation carries hop.Organisation, headerFingerprint hop.Fingerprint and
	// headerConfigVersion hop.ConfigVersion.
	headerOrganisation  = "Mustardwing-Organisation"
	headerFingerprint   = "Mustardwing-Fingerprint"
	headerConfigVersion = "Mustardwing-Config"
)

// hop is the metadata of a call that a node sends to the upstream's node.
type hop struct {
	// ID is the id that the caller gave to its attempt.
	ID string
	// Instance is the id of the only instance that may run the call.
	Instance string
	Kind     string
	// Caller is the service of the instance that made the call.
	Caller string
	// Priority and Rank are those of the root request, so that all hops shed
	// the same root requests first.
	Priority call.Priority
	Rank     uint32
	// Depth is the number of hops from the root request, whose depth is zero.
	Depth      uint8
	Idempotent bool
	// Retry is set on an attempt after one that reached an upstream or may have, on a hedge,
	// and on all nested calls of either.
	Retry bool
	// Timeout is the time left until the deadline of the call.
	Timeout time.Duration
	// RateLimit is the rate limit that the instance reported to the sending node recently,
	// nil when it reported none. A node that has just started learns the limit of its
	// upstream from it.
	RateLimit *float64
	// Organisation is the one for which the root request is made, empty when there is none.
	Organisation string
	// Fingerprint is that of the credential by which the caller of this very call has
	// proved its organisation, empty if it has not. The upstream is told the organisation only if
	// it has.
	Fingerprint string
	// ConfigVersion is the version of the configuration in which the sending node has found the
	// credential.
	ConfigVersion uint64
}

// maxHopHeaders is the largest number of headers that hop.encode sets.
const maxHopHeaders = 14

// cloneForHop returns a copy of a header with room for those that hop.encode sets. It shares the
// values.
func cloneForHop(h http.Header) http.Header {
	clone := make(http.Header, len(h)+maxHopHeaders)
	maps.Copy(clone, h)
	return clone
}

// encode sets the headers that decodeHop reads.
func (p hop) encode(h http.Header) {
	// The values share one allocation.
	values := make([]string, 0, maxHopHeaders)
	set := func(name, value string) {
		values = append(values, value)
		h[name] = values[len(values)-1 : len(values) : len(values)]
	}
	set(call.HeaderRequestID, p.ID)
	set(headerInstance, p.Instance)
	set(call.HeaderKind, p.Kind)
	set(headerCaller, p.Caller)
	set(call.HeaderPriority, p.Priority.String())
	set(call.HeaderTimeout, strconv.FormatInt(p.Timeout.Milliseconds(), 10))
	set(headerRank, strconv.FormatUint(uint64(p.Rank), 10))
	set(call.HeaderDepth, strconv.Itoa(int(p.Depth)))
	if p.Retry {
		set(headerRepeat, "1")
	}
	if !p.Idempotent {
		set(call.HeaderRepeatable, "no")
	}
	if p.RateLimit != nil {
		set(headerRateLimit, admission.FormatRateLimit(*p.RateLimit))
	}
	if p.Organisation != "" {
		set(headerOrganisation, p.Organisation)
	}
	if p.Fingerprint != "" {
		set(headerFingerprint, p.Fingerprint)
		set(headerConfigVersion, strconv.FormatUint(p.ConfigVersion, 10))
	}
}

// decodeHop reads the headers between nodes and removes all reserved headers.
func decodeHop(h http.Header) (hop, error) {
	milliseconds, err := strconv.ParseInt(call.First(h, call.HeaderTimeout), 10, 64)
	if err != nil {
		return hop{}, errors.Wrapf(err, "%s: want milliseconds", call.HeaderTimeout)
	}
	if milliseconds < 0 || milliseconds > call.MaxTimeout.Milliseconds() {
		return hop{}, errors.Errorf("%s: got %d: want 0 to %d milliseconds", call.HeaderTimeout, milliseconds, call.MaxTimeout.Milliseconds())
	}
	priority, err := call.ParsePriority(call.First(h, call.HeaderPriority))
	if err != nil {
		return hop{}, err
	}
	rank, err := strconv.ParseUint(call.First(h, headerRank), 10, 32)
	if err != nil {
		return hop{}, errors.Wrapf(err, "%s: want an unsigned 32-bit integer", headerRank)
	}
	depth, err := strconv.ParseUint(call.First(h, call.HeaderDepth), 10, 8)
	if err != nil {
		return hop{}, errors.Wrapf(err, "%s: want an unsigned 8-bit integer", call.HeaderDepth)
	}
	p := hop{
		ID: call.First(h, call.HeaderRequestID), Instance: call.First(h, headerInstance), Kind: call.First(h, call.HeaderKind),
		Caller: call.First(h, headerCaller), Priority: priority, Rank: uint32(rank), Depth: uint8(depth),
		Retry:      call.First(h, headerRepeat) != "",
		Idempotent: call.First(h, call.HeaderRepeatable) == "", Timeout: time.Duration(milliseconds) * time.Millisecond,
		RateLimit:    admission.ParseRateLimit(call.First(h, headerRateLimit)),
		Organisation: call.First(h, headerOrganisation), Fingerprint: call.First(h, headerFingerprint),
	}
	if p.Fingerprint != "" {
		if p.ConfigVersion, err = strconv.ParseUint(call.First(h, headerConfigVersion), 10, 64); err != nil {
			return hop{}, errors.Wrapf(err, "%s: want an unsigned 64-bit integer", headerConfigVersion)
		}
	}
	call.StripReserved(h)
	return p, nil
}

// outcome is the result of an attempt as the upstream's node reports it with
// the response.
type outcome struct {
	Code      resultcode.Code
	Execution resultcode.Execution
	// Reached is set when the upstream received the call or may have received it, run
	// or not.
	Reached bool
	// NestedShed is set on a failure of the upstream whose cause is that a
	// nested call was refused for want of capacity or time. NestedRefused is
	// set when a nested call was not run for any reason, or not retried because
	// the retry budget denied it.
	NestedShed, NestedRefused bool
	// Nested is set when the upstream made nested calls for the call.
	Nested bool
	// Leaving is set when the upstream has stated that it leaves.
	Leaving bool
	// Load is the load of the instance, nil when the response carries none.
	Load *admission.Load
	// Detail describes a failure. It is not sent between nodes.
	Detail string
}

func (v outcome) encode(h http.Header) {
	h[call.HeaderCode] = []string{strconv.Itoa(int(v.Code))}
	h[call.HeaderRun] = []string{v.Execution.String()}
	if v.Reached {
		h[headerReached] = []string{"1"}
	}
	if v.NestedShed {
		h[call.HeaderShed] = []string{call.ShedBelow}
	}
	if v.NestedRefused {
		h[headerRefusedBelow] = []string{"1"}
	}
	if v.Nested {
		h[headerNested] = []string{"1"}
	}
	if v.Leaving {
		h[headerLeaving] = []string{"1"}
	}
	if v.Load != nil {
		h[call.HeaderLoad] = []string{v.Load.String()}
	}
}

// decodeOutcome reads the headers between nodes and removes all reserved headers. A
// response without them has the code AnswerMismatch and an unknown execution outcome.
func decodeOutcome(h http.Header) outcome {
	v := outcome{
		Code: resultcode.AnswerMismatch, Execution: resultcode.ParseExecution(call.First(h, call.HeaderRun)), Reached: call.First(h, headerReached) != "", NestedShed: call.First(h, call.HeaderShed) != "",
		NestedRefused: call.First(h, headerRefusedBelow) != "", Nested: call.First(h, headerNested) != "", Leaving: call.First(h, headerLeaving) != "",
	}
	if code, err := strconv.Atoi(call.First(h, call.HeaderCode)); err == nil {
		v.Code = resultcode.Code(code)
	}
	if text := call.First(h, call.HeaderLoad); text != "" {
		if load, err := admission.ParseLoad(text); err == nil {
			v.Load = &load
		}
	}
	call.StripReserved(h)
	return v
}
