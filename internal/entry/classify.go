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

// RulesClassifier classifies requests by the rules in effect, which the function
// returns. It may return nil if there are none yet.
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
	best := rules.Kind{}
	found := false
	for _, rule := range set.Priorities {
		if matches(rule.Kind, s, method, path) && (!found || moreSpecific(rule.Kind, best)) {
			best, found = rule.Kind, true
			c.Priority = rule.Priority
		}
	}
	for _, kind := range set.Repeatable {
		c.Repeatable = c.Repeatable || matches(kind, s, method, path)
	}
	return c, true
}

func repeatableMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// matches reports whether a request is of kind k. Path prefixes match whole path
// segments: "/a" matches "/a" and "/a/b", but not "/ab".
func matches(k rules.Kind, s model.Service, method, path string) bool {
	if k.Service != s || k.Method != "" && k.Method != method {
		return false
	}
	prefix := strings.TrimSuffix(k.PathPrefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// moreSpecific reports whether k is more specific than the other kind: its path
// prefix is longer, or equally long and only k has a method. Among equally
// specific kinds the first one in the rules applies.
func moreSpecific(k, than rules.Kind) bool {
	if len(k.PathPrefix) != len(than.PathPrefix) {
		return len(k.PathPrefix) > len(than.PathPrefix)
	}
	return k.Method != "" && than.Method == ""
}
