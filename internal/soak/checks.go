package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

// Violation is a guarantee that did not hold.
type Violation struct {
	Guarantee string
	Detail    string
}

func (v Violation) String() string { return v.Guarantee + ": " + v.Detail }

// Check compares the responses that callers got with the requests that
// endpoints ran, and checks that instances stayed up within their memory limit.
func (w *Cluster) Check(log []Request) []Violation {
	var out []Violation
	add := func(guarantee, format string, args ...any) {
		out = append(out, Violation{guarantee, fmt.Sprintf(format, args...)})
	}
	runs := w.runs()
	for _, r := range log {
		n := runs[r.ID]
		if r.Unsafe && n > 1 {
			add("at most once", "%s ran %d times (status %d, by %s)", r.ID, n, r.Status, r.Instance.name)
		}
		if meansNotRun(r.Status) && n > 0 {
			add("not run", "%s got status %d from %s but ran %d times", r.ID, r.Status, r.Instance.name, n)
		}
		if r.Status == http.StatusOK && !strings.HasPrefix(r.Body, "answer to "+r.ID+" by ") {
			add("own answer", "%s got %.60q", r.ID, r.Body)
		}
		if r.Status == http.StatusOK && n == 0 {
			add("own answer", "%s got status 200 but did not run", r.ID)
		}
	}
	for _, e := range w.otherServiceEndpoints() {
		if n := len(e.Runs()); n > 0 {
			add("right service", "%s, an endpoint of another service, ran %d requests", e.ID(), n)
		}
	}
	out = append(out, checkVersions(log)...)
	for _, in := range w.Instances {
		if n := in.unexpectedExits(); n > 0 {
			add("stays up", "%s exited unexpectedly %d times", in.name, n)
		}
		if m := in.residentMemory(); m > memoryLimit {
			add("memory", "%s uses %d MB", in.name, m>>20)
		}
	}
	return out
}

func meansNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

func (w *Cluster) runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]int{}
	for _, e := range w.Endpoints {
		for id, n := range e.Runs() {
			out[id] += n
		}
	}
	return out
}

// otherServiceEndpoints returns the endpoints of services that have no route.
func (w *Cluster) otherServiceEndpoints() []*Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*Endpoint
	for _, e := range w.Endpoints {
		if e.otherService {
			out = append(out, e)
		}
	}
	return out
}

// checkVersions reports processes that served a route of an older desired state
// after one of a newer state.
func checkVersions(log []Request) []Violation {
	type process struct {
		in          *Instance
		incarnation int
	}
	type seen struct {
		version int
		ended   time.Time
	}
	served := map[process][]seen{}
	versionOf := func(r Request) int {
		v := 0
		if r.Status == http.StatusOK {
			_, _ = fmt.Sscanf(r.Path, "/only-%d/", &v) // Other paths give 0.
		}
		return v
	}
	for _, r := range log {
		if v := versionOf(r); v > 0 {
			p := process{r.Instance, r.Incarnation}
			served[p] = append(served[p], seen{v, r.Ended})
		}
	}
	var out []Violation
	for _, r := range log {
		v := versionOf(r)
		if v == 0 {
			continue
		}
		for _, s := range served[process{r.Instance, r.Incarnation}] {
			if s.version > v && s.ended.Before(r.Sent) {
				out = append(out, Violation{"never reverts", fmt.Sprintf("%s served version %d after %d (%s)", r.Instance.name, v, s.version, r.ID)})
				break
			}
		}
	}
	return out
}

// checkBounds checks a completed request, while the run continues, against the
// time limits: it must not have reached an endpoint that is leaving or whose
// failure domain is evacuated, and new routes must be in force.
func (w *Cluster) checkBounds(r Request) []Violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Instance == nil || !w.boundsApply(r) {
		return nil
	}
	var out []Violation
	for _, e := range w.Endpoints {
		if r.Status != http.StatusOK || !strings.HasSuffix(r.Body, " by "+e.ID()) {
			continue
		}
		if !e.leaving.IsZero() && r.Sent.Sub(e.leaving) > drainBound {
			out = append(out, Violation{"leaving", fmt.Sprintf("%s reached %s %s after it started leaving, via %s", r.ID, e.ID(), r.Sent.Sub(e.leaving), r.Instance.name)})
		}
		if at := e.SaidLeaving(); !at.IsZero() && r.Sent.Sub(at) > drainBound {
			out = append(out, Violation{"leaving", fmt.Sprintf("%s reached %s %s after it had said that it leaves, via %s", r.ID, e.ID(), r.Sent.Sub(at), r.Instance.name)})
		}
		out = append(out, e.checkRateLimit(r)...)
		if at := w.evacuated[e.domain]; !at.IsZero() && r.Sent.Sub(at) > evacuateBound {
			out = append(out, Violation{"evacuation", fmt.Sprintf("%s reached %s in %s %s after its evacuation, via %s", r.ID, e.ID(), e.domain, r.Sent.Sub(at), r.Instance.name)})
		}
	}
	out = append(out, w.checkRegion(r)...)
	v := 0
	_, _ = fmt.Sscanf(r.Path, "/only-%d/", &v) // Other paths give 0.
	if at, ok := w.acked[v]; ok && v == w.version && r.Status == http.StatusNotFound && r.Sent.Sub(at) > configBound {
		out = append(out, Violation{"in force", fmt.Sprintf("%s got 404 for version %d %s after the store acknowledged it, from %s", r.ID, v, r.Sent.Sub(at), r.Instance.name)})
	}
	return out
}

const (
	// limitWindow is the span in which an endpoint with a rate limit may get
	// limitOverage times what that allows and limitSlack requests.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

// checkRateLimit counts a request at an endpoint that has named a rate limit for
// settleTime, and checks how many there were in the last limitWindow. The caller
// holds the cluster's mu.
func (e *Endpoint) checkRateLimit(r Request) []Violation {
	if e.rateLimit == 0 || r.Sent.Sub(e.limitedSince) < settleTime {
		return nil
	}
	e.limitedArrivals = append(e.limitedArrivals, r.Ended)
	slices.SortFunc(e.limitedArrivals, time.Time.Compare)
	allowed := int(limitOverage*e.rateLimit*limitWindow.Seconds()) + limitSlack
	if n := standin.MaxArrivals(e.limitedArrivals, limitWindow); n > allowed {
		return []Violation{{"rate limit", fmt.Sprintf("%s got %d requests in %s with a limit of %g/s, %d allowed, the last one %s via %s",
			e.ID(), n, limitWindow, e.rateLimit, allowed, r.ID, r.Instance.name)}}
	}
	return nil
}

// checkRegion checks that a request ran only in regions that a desired state allows
// that may have been in force since it was sent. The caller holds mu.
func (w *Cluster) checkRegion(r Request) []Violation {
	allowed := map[string]bool{}
	for v := w.version; v > 0; v-- {
		region := allowedRegion(r.Path, v)
		if region == "" {
			return nil
		}
		allowed[region] = true
		if r.Sent.Sub(w.acked[v]) > configBound {
			break // All instances have this version or a later one.
		}
	}
	var out []Violation
	for _, e := range w.Endpoints {
		if region := regionOf(e.domain); !allowed[region] && e.Ran(r.ID) {
			out = append(out, Violation{"allowed region", fmt.Sprintf("%s (%s) ran at %s in region %s, via %s", r.ID, r.Path, e.ID(), region, r.Instance.name)})
		}
	}
	return out
}

// boundsApply reports whether the time limits apply to the request: its process
// is still running, and for settleTime neither the instance nor the store has
// had a fault. The caller holds mu.
func (w *Cluster) boundsApply(r Request) bool {
	incarnation, lastFault, _ := r.Instance.state()
	return incarnation == r.Incarnation && r.Ended.Sub(lastFault) > settleTime && r.Ended.Sub(w.lastStoreFault) > settleTime
}
