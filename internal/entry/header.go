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

// Header fields of the callers' interface.
const (
	KeyHeader      = "Idempotency-Key"
	PriorityHeader = "Priority"
	OutcomeHeader  = "Jujubestile-Outcome"
	// AttemptHeader carries the caller's attempt number, from 1. It is passed
	// on to the endpoint. A caller that sends 1 states that it has not sent
	// the key before.
	AttemptHeader = "Jujubestile-Attempt"
	firstAttempt  = "1"
)

// parseKey reads an Idempotency-Key field: a string of structured fields in
// quotes (draft-ietf-httpapi-idempotency-key-header), or the bare key, which
// many callers send.
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

// parseUrgency reads the urgency of a Priority field (RFC 9218): u from 0 to
// 7. As the RFC says, invalid parameters are ignored and the last one counts.
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

// priorityOf returns the class of a request. The caller's urgency lowers the
// class that the rules give but never raises it: otherwise every caller would
// ask for the most urgent class in an overload.
func priorityOf(h http.Header, byRules model.Priority) model.Priority {
	u, ok := parseUrgency(h)
	switch {
	case !ok || u <= 2:
		return byRules
	case u <= 4:
		return max(byRules, model.PriorityNormal)
	}
	return model.PriorityBulk
}

// timeoutOf returns the time until the request's deadline.
func timeoutOf(h http.Header, byDefault, most time.Duration) (time.Duration, error) {
	lines := h.Values(model.TimeoutHeader)
	switch len(lines) {
	case 0:
		return byDefault, nil
	case 1:
		d, err := model.ParseTimeout(lines[0])
		return min(d, most), err
	}
	return 0, errors.NotValidf("%d %s fields", len(lines), model.TimeoutHeader)
}

// servicePath splits the path of a request after servicesPath into the service
// and the endpoint's path with the query. Paths with dot segments or a
// backslash are refused: an endpoint may resolve them to a path that the rules
// class differently.
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

// headerBytes is the size of a header as it was sent, without line ends.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// repetitions returns how often the caller has sent the work before. A malformed
// count is taken for a first attempt.
func repetitions(h http.Header) int {
	n, err := strconv.ParseUint(h.Get(AttemptHeader), 10, 16)
	if err != nil || n == 0 {
		return 0
	}
	return int(n) - 1
}
