package settings

import (
	"regexp"
	"strings"
)

const (
	// maxMatchRules is the maximum number of rules of one kind, maxPrefixBytes the
	// maximum length of a rule's path prefix.
	maxMatchRules  = 32
	maxPrefixBytes = 256
	// anyMethod is the method of a rule that matches every method.
	anyMethod     = "*"
	wantMatchRule = `a method or * and a path prefix, such as "POST /photos" or "* /history"`
)

var methodPattern = regexp.MustCompile(`^([A-Z]{1,20}|\*)$`)

// MatchRule selects calls by method and path prefix.
type MatchRule struct {
	// Method is an HTTP method, or "*" for any.
	Method string
	// Prefix matches whole path segments: "/photos" matches "/photos" and
	// "/photos/1" but not "/photostream".
	Prefix string
}

// String returns the form used in settings, for example "POST /photos".
func (r MatchRule) String() string {
	return r.Method + " " + r.Prefix
}

func (r MatchRule) matches(method, path string) bool {
	if r.Method != anyMethod && r.Method != method {
		return false
	}
	if !strings.HasPrefix(path, r.Prefix) {
		return false
	}
	atBoundary := strings.HasSuffix(r.Prefix, "/") || len(path) == len(r.Prefix)
	return atBoundary || path[len(r.Prefix)] == '/'
}

func parseMatchRule(text string) (MatchRule, bool) {
	method, prefix, _ := strings.Cut(text, " ")
	if !methodPattern.MatchString(method) || !strings.HasPrefix(prefix, "/") {
		return MatchRule{}, false
	}
	if len(prefix) > maxPrefixBytes || strings.ContainsAny(prefix, " ?#,\t\r\n") {
		return MatchRule{}, false
	}
	return MatchRule{Method: method, Prefix: prefix}, true
}
