package organisation

import (
	"cmp"
	"fmt"
	"slices"
)

// ChangeKind names what a Change is about.
type ChangeKind string

// The kinds of changes.
const (
	CredentialRemoved   ChangeKind = "credential removed"
	OrganisationRemoved ChangeKind = "organisation removed"
	OrganisationAdded   ChangeKind = "organisation added"
	CredentialAdded     ChangeKind = "credential added"
	QuotaChanged        ChangeKind = "quota changed"
	PriorityChanged     ChangeKind = "priority changed"
)

// changeOrder is the order in which Compare returns the kinds: what ends access first.
var changeOrder = []ChangeKind{OrganisationRemoved, CredentialRemoved, OrganisationAdded, CredentialAdded, QuotaChanged, PriorityChanged}

// Change is one difference between two versions of the organisations.
type Change struct {
	Kind         ChangeKind
	Organisation string
	// Fingerprint is that of an added or removed credential, else empty.
	Fingerprint string
	// Before and After are the values of a changed quota or priority, else empty.
	Before, After string
}

// Compare returns the differences between two versions, those that end access first. Credentials of
// added and removed organisations are listed too.
func Compare(before, after *Set) []Change {
	if before == nil {
		before = &Set{}
	}
	if after == nil {
		after = &Set{}
	}
	var changes []Change
	for h := range before.holdings {
		if _, kept := after.holdings[h]; !kept {
			changes = append(changes, Change{Kind: CredentialRemoved, Organisation: h.organisation, Fingerprint: h.fingerprint})
		}
	}
	for h := range after.holdings {
		if _, known := before.holdings[h]; !known {
			changes = append(changes, Change{Kind: CredentialAdded, Organisation: h.organisation, Fingerprint: h.fingerprint})
		}
	}
	for name := range before.byName {
		if after.byName[name] == nil {
			changes = append(changes, Change{Kind: OrganisationRemoved, Organisation: name})
		}
	}
	for name, o := range after.byName {
		changes = append(changes, o.changesSince(before.byName[name])...)
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(
			cmp.Compare(slices.Index(changeOrder, a.Kind), slices.Index(changeOrder, b.Kind)),
			cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Fingerprint, b.Fingerprint),
		)
	})
	return changes
}

// changesSince returns how an organisation differs from its earlier version, which is nil if it was
// added.
func (o *Organisation) changesSince(earlier *Organisation) []Change {
	if earlier == nil {
		return []Change{{Kind: OrganisationAdded, Organisation: o.Name}}
	}
	var changes []Change
	if o.Rate != earlier.Rate || o.Burst != earlier.Burst {
		changes = append(changes, Change{Kind: QuotaChanged, Organisation: o.Name, Before: earlier.quotaText(), After: o.quotaText()})
	}
	if o.PriorityText() != earlier.PriorityText() {
		changes = append(changes, Change{Kind: PriorityChanged, Organisation: o.Name, Before: earlier.PriorityText(), After: o.PriorityText()})
	}
	return changes
}

func (o *Organisation) quotaText() string {
	if !o.Limited() {
		return "none"
	}
	return fmt.Sprintf("%g/s, burst %g", o.Rate, o.Burst)
}
