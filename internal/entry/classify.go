package entry

import (
	"net/http"
	"strings"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

// Class is how the rules classify a request.
type Class struct {
	Priority   model.Priority
	Repeatable bool
}

// Classifier classifies requests. It reports false for an unknown service.
type Classifier interface {
	Classify(s model.Service, method, path string) (Class, bool)
}

// RulesClassifier classifies by the rules in effect. The function may return nil while
// there are none.
type RulesClassifier func() *rules.Set

// Classify implements Classifier. The path has no query.
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

// matches compares whole path segments: "/a" selects "/a" and "/a/b", but not
// "/ab".
func matches(k rules.Kind, s model.Service, method, path string) bool {
	if k.Service != s || k.Method != "" && k.Method != method {
		return false
	}
	prefix := strings.TrimSuffix(k.PathPrefix, "/")
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/')
}

// moreSpecific orders by the length of the path prefix, then by the method. Of
// equals the first in the file wins.
func moreSpecific(k, than rules.Kind) bool {
	if len(k.PathPrefix) != len(than.PathPrefix) {
		return len(k.PathPrefix) > len(than.PathPrefix)
	}
	return k.Method != "" && than.Method == ""
}
