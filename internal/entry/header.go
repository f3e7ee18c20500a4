package entry

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/ledger"
	"jujubestile.example/jujubestile/internal/model"
)

// Header fields of the HTTP interface for callers.
const (
	KeyHeader      = "Idempotency-Key"
	PriorityHeader = "Priority"
	OutcomeHeader  = "Jujubestile-Outcome"
	// AttemptHeader contains the caller's attempt number, starting from 1. It is
	// forwarded to the endpoint. By sending 1 a caller states that it has not
	// sent the key before.
	AttemptHeader = "Jujubestile-Attempt"
	firstAttempt  = "1"
)

// parseKey parses the Idempotency-Key field. It accepts a quoted structured
// field string (draft-ietf-httpapi-idempotency-key-header) and also the key
// without quotes, which many callers send. Without the field it returns "".
func parseKey(h http.Header) (string, error) {
	lines := h.Values(KeyHeader)
	if len(lines) == 0 {
		return "", nil
	}
	if len(lines) > 1 {
		return "", errors.NotValidf("%d %s fields", len(lines), KeyHeader)
	}
	key := strings.Trim(lines[0], " \t")
	if rest, ok := strings.CutPrefix(key, `"`); ok {
		if key, ok = strings.CutSuffix(rest, `"`); !ok {
			return "", errors.NotValidf("%s without a closing quote", KeyHeader)
		}
	}
	return key, ledger.CheckKey(key)
}

// parseUrgency parses the urgency parameter of the Priority field (RFC 9218), u
// from 0 to 7. As the RFC requires, invalid parameters are ignored and the last
// valid one applies.
func parseUrgency(h http.Header) (int, bool) {
	urgency, found := 0, false
	for _, line := range h.Values(PriorityHeader) {
		for member := range strings.SplitSeq(line, ",") {
			item, _, _ := strings.Cut(member, ";")
			value, ok := strings.CutPrefix(strings.Trim(item, " \t"), "u=")
			if ok && len(value) == 1 && value[0] >= '0' && value[0] <= '7' {
				urgency, found = int(value[0]-'0'), true
			}
		}
	}
	return urgency, found
}

// priorityOf returns the priority class of a request. The caller's urgency can
// lower the class assigned by the rules but not raise it: otherwise every caller
// would request the most urgent class in an overload.
func priorityOf(h http.Header, classFromRules model.Priority) model.Priority {
	u, ok := parseUrgency(h)
	switch {
	case !ok || u <= 2:
		return classFromRules
	case u <= 4:
		return max(classFromRules, model.PriorityNormal)
	}
	return model.PriorityBulk
}

// timeoutOf returns the timeout that the request specifies, at most maxTimeout, or
// defaultTimeout if it specifies none.
func timeoutOf(h http.Header, defaultTimeout, maxTimeout time.Duration) (time.Duration, error) {
	lines := h.Values(model.TimeoutHeader)
	switch len(lines) {
	case 0:
		return defaultTimeout, nil
	case 1:
		d, err := model.ParseTimeout(lines[0])
		return min(d, maxTimeout), err
	}
	return 0, errors.NotValidf("%d %s fields", len(lines), model.TimeoutHeader)
}

// servicePath splits the part of the path after servicesPath into the service and
// the path for the endpoint, without and with the query. It refuses paths with
// dot segments, backslashes or NUL bytes, because an endpoint may resolve them to
// a path that the rules classify differently.
func servicePath(u *url.URL) (s model.Service, path, withQuery string, err error) {
	rest, ok := strings.CutPrefix(u.EscapedPath(), servicesPath)
	name, path, _ := strings.Cut(rest, "/")
	if !ok || name == "" || len(name) > maxServiceBytes {
		return "", "", "", errors.NotValidf("path %q", u.Path)
	}
	path = "/" + path
	decoded, err := url.PathUnescape(path)
	if err != nil || hasDotSegment(decoded) {
		return "", "", "", errors.NotValidf("path %q", u.Path)
	}
	withQuery = path
	if u.RawQuery != "" || u.ForceQuery {
		withQuery += "?" + u.RawQuery
	}
	return model.Service(name), path, withQuery, nil
}

func hasDotSegment(path string) bool {
	for segment := range strings.FieldsFuncSeq(path, func(r rune) bool { return r == '/' }) {
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." || strings.ContainsAny(segment, "\\\x00") {
			return true
		}
	}
	return false
}

// headerBytes returns the total size of the header's names and values.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// retriesOf returns how many times the caller has sent the request before. A
// missing or malformed attempt number counts as the first attempt.
func retriesOf(h http.Header) int {
	n, err := strconv.ParseUint(h.Get(AttemptHeader), 10, 16)
	if err != nil || n == 0 {
		return 0
	}
	return int(n) - 1
}
