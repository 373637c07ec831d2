package mesh

import (
	"net/http"
	"slices"

	"github.com/mustardwing/mustardwing/internal/call"
	"github.com/mustardwing/mustardwing/internal/h1"
	"github.com/mustardwing/mustardwing/internal/organisation"
	"github.com/mustardwing/mustardwing/internal/resultcode"
	"github.com/mustardwing/mustardwing/internal/routing"
)

// rankBits is the number of bits of a rank, rankPriorityBits how many of them hold the priority
// of the route if the organisation's priority precedes it.
const (
	rankBits         = 32
	rankPriorityBits = 2
)

// authorize finds out for which organisation a call is made. It removes what proves or claims an
// organisation from the header, so that no upstream sees a credential. It fails if the route needs
// a credential and the caller shows none that an organisation holds. A nested call without a
// credential is made for the organisation of its parent call, which the local upstream is running.
func (o *outboundCall) authorize(table *routing.Table) *resultcode.Error {
	if !table.Organisations.Required() {
		return nil
	}
	o.outbound.config.Protocol.RemoveOrganisation(o.request.Header)
	if grant := table.Organisations.ByCredential(o.info.Credential); grant != nil {
		o.organisation, o.fingerprint = grant.Organisation, grant.Fingerprint
		o.applyPriority()
		o.outbound.organisations.countCall(o.organisation.Name)
		return nil
	}
	if o.parent != nil && o.info.Credential == "" {
		o.organisation = table.Organisations.ByName(o.parent.Organisation)
		return nil
	}
	switch {
	case o.route.Public:
		return nil
	case o.info.Credential != "":
		return resultcode.New(resultcode.UnknownCredential, "no organisation holds credential %s in configuration version %d",
			organisation.Fingerprint(o.info.Credential), table.Version)
	case o.info.Parent != "":
		// The parent call has ended, or this node has restarted since: the caller is not at fault.
		return resultcode.New(resultcode.ParentEnded, "the local upstream is not running call %q, of which this is a nested call", o.info.Parent)
	}
	return resultcode.New(resultcode.UnknownCredential, "missing or unreadable credential; route %q requires one", o.route.Name)
}

// applyPriority puts the organisation's priority, if it has one, before that of the route. A
// nested call keeps what it has inherited.
func (o *outboundCall) applyPriority() {
	if o.organisation.Priority == nil || o.parent != nil {
		return
	}
	o.rank = uint32(min(o.priority, call.PriorityCount-1))<<(rankBits-rankPriorityBits) | o.rank>>rankPriorityBits
	o.priority = *o.organisation.Priority
}

// takeQuota counts the call in the quota of its organisation. It fails if the quota is used up.
func (o *outboundCall) takeQuota() *resultcode.Error {
	quotas := o.outbound.config.Quotas
	if quotas == nil || o.fingerprint == "" || !o.organisation.Limited() {
		return nil
	}
	retryAfter, ok := quotas.Take(o.request.Arrived, o.organisation)
	if !ok {
		failure := resultcode.New(resultcode.QuotaExceeded, "organisation %q has used up its quota of %g calls a second with a burst of %g",
			o.organisation.Name, o.organisation.Rate, o.organisation.Burst)
		failure.RetryAfter = retryAfter
		return failure
	}
	o.quotaTaken = true
	return nil
}

// returnQuota gives back what takeQuota has counted, for a call that was not run.
func (o *outboundCall) returnQuota() {
	if o.quotaTaken {
		o.quotaTaken = false
		o.outbound.config.Quotas.Return(o.request.Arrived, o.organisation)
	}
}

// mayContinue reports whether the credential of a call allows another attempt after a. Neither this
// node's configuration nor a later one at the instance's node may have withdrawn it. On a public
// route a call goes on without an organisation.
func (o *outboundCall) mayContinue(a attempt) bool {
	if a.outcome.Code != resultcode.UnknownCredential && o.credentialHeld() {
		return true
	}
	if !o.route.Public {
		return false
	}
	if o.possibleRuns == 0 {
		o.returnQuota()
	}
	o.organisation, o.fingerprint = nil, ""
	if o.parent == nil {
		o.priority, o.rank = o.route.Priority, rankOf(o.info.ID)
	}
	if a.outcome.Code == resultcode.UnknownCredential {
		// The instance has refused the credential, and the next attempt has none.
		o.attempted = slices.DeleteFunc(o.attempted, func(id string) bool { return id == a.choice.Instance.ID })
	}
	return true
}

// credentialHeld reports whether the configuration in force has the credential by which the caller
// has proved the organisation. It is true for a call without one.
func (o *outboundCall) credentialHeld() bool {
	return o.fingerprint == "" || o.outbound.config.Routes().Organisations.Holds(o.organisation.Name, o.fingerprint)
}

// checkCredential returns an error for a call whose credential is withdrawn in a later configuration
// than the one in which the sending node has found it. In the same or an earlier one, the sending
// node's decision holds: the credential may be a new one.
func (u *Upstream) checkCredential(p hop) *resultcode.Error {
	if p.Fingerprint == "" {
		return nil
	}
	table := u.config.Routes()
	if table == nil || table.Version <= p.ConfigVersion || table.Organisations.Holds(p.Organisation, p.Fingerprint) {
		return nil
	}
	return resultcode.New(resultcode.UnknownCredential, "configuration version %d withdraws credential %s of organisation %q, accepted in version %d",
		table.Version, p.Fingerprint, p.Organisation, p.ConfigVersion)
}

// organisationName returns the name of the organisation, empty if there is none.
func (o *outboundCall) organisationName() string {
	if o.organisation == nil {
		return ""
	}
	return o.organisation.Name
}

// refuseCall refuses a call that was not run.
func (o *outboundCall) refuseCall(failure *resultcode.Error) *h1.Response {
	o.returnQuota()
	if o.fingerprint != "" {
		o.outbound.organisations.countRefusal(o.organisation.Name, failure.Code)
	}
	if failure.Code == resultcode.UnknownCredential && o.fingerprint != "" {
		failure = resultcode.New(resultcode.UnknownCredential, "a later configuration than version %d withdraws credential %s of organisation %q",
			o.configVersion, o.fingerprint, o.organisation.Name)
	}
	o.parent.noteNestedRefusal()
	if !causedByCaller(failure.Code) {
		return o.outbound.refuse(o.request, o.info, o.route, o.configVersion, failure)
	}
	o.outbound.countResult(failure.Code)
	o.outbound.refusals.note(o.request.Arrived, o, failure)
	return o.outbound.failureResponse(o.info, failure)
}

// causedByCaller reports whether callers alone decide how often a call is refused with a code, so that
// such refusals share log lines.
func causedByCaller(code resultcode.Code) bool {
	return code == resultcode.UnknownCredential || code == resultcode.QuotaExceeded || code == resultcode.ParentEnded
}

// unrunStatuses are the statuses of failures that say more than that the call was not run.
var unrunStatuses = map[resultcode.Code]int{
	resultcode.UnknownService:    http.StatusNotFound,
	resultcode.MalformedHeader:   http.StatusBadRequest,
	resultcode.UnknownCredential: http.StatusUnauthorized,
	resultcode.QuotaExceeded:     http.StatusTooManyRequests,
}
