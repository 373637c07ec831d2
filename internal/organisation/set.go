package organisation

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

const (
	// MaxNameBytes bounds the name of an organisation, which is sent in a header.
	MaxNameBytes = 128
	// MaxCredentialBytes bounds a credential, which callers send in a header.
	MaxCredentialBytes = 512
)

// Account is an organisation with its credentials. Any of them proves that a call is the
// organisation's.
type Account struct {
	Organisation
	Credentials []string
}

// Grant is what a credential proves.
type Grant struct {
	Organisation *Organisation
	// Fingerprint is that of the credential.
	Fingerprint string
}

// holding identifies a credential of an organisation without the credential.
type holding struct {
	organisation, fingerprint string
}

// Set holds the organisations of one version of the configuration. It is immutable. A nil Set
// has no organisations.
type Set struct {
	byCredential map[string]*Grant
	byName       map[string]*Organisation
	// holdings holds the fingerprint of each credential with its organisation.
	holdings map[holding]struct{}
}

// NewSet checks accounts and returns them as a Set, nil if there are none. Errors name
// organisations and the fingerprints of credentials, never a credential.
func NewSet(accounts []Account) (*Set, error) {
	if len(accounts) == 0 {
		return nil, nil
	}
	s := &Set{byCredential: make(map[string]*Grant), byName: make(map[string]*Organisation, len(accounts)), holdings: make(map[holding]struct{})}
	for i := range accounts {
		if err := s.add(&accounts[i]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *Set) add(a *Account) error {
	if !validToken(a.Name, MaxNameBytes) {
		return errors.Errorf("organisation %q: want a name of 1 to %d visible ASCII characters", a.Name, MaxNameBytes)
	}
	if s.byName[a.Name] != nil {
		return errors.Errorf("organisation %q is listed twice: want each name once", a.Name)
	}
	if !validAmount(a.Rate) || !validAmount(a.Burst) {
		return errors.Errorf("organisation %q: rate %g with burst %g: want finite numbers from 0", a.Name, a.Rate, a.Burst)
	}
	o := &a.Organisation
	s.byName[a.Name] = o
	for _, credential := range a.Credentials {
		if !validToken(credential, MaxCredentialBytes) {
			return errors.Errorf("organisation %q: credential %s: want 1 to %d visible ASCII characters", a.Name, Fingerprint(credential), MaxCredentialBytes)
		}
		fingerprint := Fingerprint(credential)
		if other := s.byCredential[credential]; other != nil && other.Organisation != o {
			return errors.Errorf("organisations %q and %q share credential %s: want each credential at one organisation", other.Organisation.Name, a.Name, fingerprint)
		}
		s.byCredential[credential] = &Grant{Organisation: o, Fingerprint: fingerprint}
		s.holdings[holding{o.Name, fingerprint}] = struct{}{}
	}
	return nil
}

// validToken reports whether text may be sent as one word of a header.
func validToken(text string, maxBytes int) bool {
	invisible := func(r rune) bool { return r <= ' ' || r > '~' }
	return text != "" && len(text) <= maxBytes && !strings.ContainsFunc(text, invisible)
}

func validAmount(x float64) bool {
	return x >= 0 && !math.IsInf(x, 0)
}

// ByCredential returns what a credential proves, nil if no organisation holds it.
func (s *Set) ByCredential(credential string) *Grant {
	if s == nil || credential == "" {
		return nil
	}
	return s.byCredential[credential]
}

// ByName returns the organisation with a name, nil if there is none.
func (s *Set) ByName(name string) *Organisation {
	if s == nil {
		return nil
	}
	return s.byName[name]
}

// Holds reports whether an organisation holds a credential with a fingerprint. Without any
// organisation, no credential is needed, and it holds all.
func (s *Set) Holds(organisation, fingerprint string) bool {
	if s == nil {
		return true
	}
	_, ok := s.holdings[holding{organisation, fingerprint}]
	return ok
}

// Summary describes one organisation without its credentials.
type Summary struct {
	*Organisation
	// Credentials is the number of credentials.
	Credentials int
}

// Summaries returns all organisations in the order of their names.
func (s *Set) Summaries() []Summary {
	if s == nil {
		return nil
	}
	credentials := make(map[string]int, len(s.byName))
	for h := range s.holdings {
		credentials[h.organisation]++
	}
	list := make([]Summary, 0, len(s.byName))
	for _, name := range slices.Sorted(maps.Keys(s.byName)) {
		list = append(list, Summary{Organisation: s.byName[name], Credentials: credentials[name]})
	}
	return list
}

// Each calls f for every organisation, in no order.
func (s *Set) Each(f func(*Organisation)) {
	if s == nil {
		return
	}
	for _, o := range s.byName {
		f(o)
	}
}

// Required reports whether callers need a credential, which they do if there is any
// organisation.
func (s *Set) Required() bool {
	return s != nil
}
