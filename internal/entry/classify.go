package entry

import (
	"net/http"
	"strings"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

// Class is the classification of a request.
type Class struct {
	Priority   model.Priority
	Repeatable bool
}

// Classifier classifies requests. It returns false for an unknown service.
type Classifier interface {
	Classify(s model.Service, method, path string) (Class, bool)
}

// RulesClassifier is a Classifier that uses the rules in force. The function
// returns these rules, or nil if there are none yet.
type RulesClassifier func() *rules.Set

// Classify implements Classifier. The path must not contain a query.
func (f RulesClassifier) Classify(s model.Service, method, path string) (Class, bool) {
	set := f()
	if set == nil {
		return Class{}, false
	}
	priority, ok := set.Services[s]
	if !ok {
		return Class{}, false
	}
	c := Class{Priority: priority, Repeatable: repeatableMethod(method)}
	best := rules.RequestMatch{}
	found := false
	for _, rule := range set.Priorities {
		if matches(rule.Match, s, method, path) && (!found || moreSpecific(rule.Match, best)) {
			best, found = rule.Match, true
			c.Priority = rule.Priority
		}
	}
	for _, match := range set.Repeatable {
		c.Repeatable = c.Repeatable || matches(match, s, method, path)
	}
	return c, true
}

func repeatableMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// matches reports whether a request satisfies m. Path prefixes match whole path
// segments: "/a" matches "/a" and "/a/b", but not "/ab".
func matches(m rules.RequestMatch, s model.Service, method, path string) bool {
	if m.Service != s || m.Method != "" && m.Method != method {
		return false
	}
	prefix := strings.TrimSuffix(m.PathPrefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// moreSpecific reports whether m is more specific than other: its path prefix is
// longer, or equally long and only m has a method. Among equally specific
// matches the first one in the rules applies.
func moreSpecific(m, other rules.RequestMatch) bool {
	if len(m.PathPrefix) != len(other.PathPrefix) {
		return len(m.PathPrefix) > len(other.PathPrefix)
	}
	return m.Method != "" && other.Method == ""
}
