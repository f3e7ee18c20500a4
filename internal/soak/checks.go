package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Violation is a broken promise.
type Violation struct {
	Guarantee string
	Detail    string
}

func (v Violation) String() string { return v.Guarantee + ": " + v.Detail }

// Check compares what callers got with what endpoints ran.
func (w *Cluster) Check(log []Request) []Violation {
	var out []Violation
	add := func(promise, format string, args ...any) {
		out = append(out, Violation{promise, fmt.Sprintf(format, args...)})
	}
	runs := w.runs()
	for _, r := range log {
		n := runs[r.ID]
		if r.Unsafe && n > 1 {
			add("at most once", "%s ran %d times (status %d, by %s)", r.ID, n, r.Status, r.Instance.name)
		}
		if promisesNotRun(r.Status) && n > 0 {
			add("not run", "%s got %d from %s and ran %d times", r.ID, r.Status, r.Instance.name, n)
		}
		if r.Status == http.StatusOK && !strings.HasPrefix(r.Body, "answer to "+r.ID+" by ") {
			add("own answer", "%s got %.60q", r.ID, r.Body)
		}
		if r.Status == http.StatusOK && n == 0 {
			add("own answer", "%s got 200 and ran nowhere", r.ID)
		}
	}
	for _, e := range w.foreign() {
		if n := len(e.Runs()); n > 0 {
			add("right service", "%s of another service ran %d requests", e.ID(), n)
		}
	}
	out = append(out, checkVersions(log)...)
	for _, in := range w.Instances {
		if n := in.ownExits(); n > 0 {
			add("stays up", "%s ended by itself %d times", in.name, n)
		}
		if m := in.resident(); m > memoryLimit {
			add("memory", "%s uses %d MB", in.name, m>>20)
		}
	}
	return out
}

func promisesNotRun(status int) bool {
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

// foreign are the endpoints of services to which no route leads.
func (w *Cluster) foreign() []*Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*Endpoint
	for _, e := range w.Endpoints {
		if e.foreign {
			out = append(out, e)
		}
	}
	return out
}

// checkVersions reports processes that served a route of an older state after
// one of a newer state.
func checkVersions(log []Request) []Violation {
	type process struct {
		in          *Instance
		incarnation int
	}
	type seen struct {
		version int
		ended   time.Time
	}
	newest := map[process][]seen{}
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
			newest[p] = append(newest[p], seen{v, r.Ended})
		}
	}
	var out []Violation
	for _, r := range log {
		v := versionOf(r)
		if v == 0 {
			continue
		}
		for _, s := range newest[process{r.Instance, r.Incarnation}] {
			if s.version > v && s.ended.Before(r.Sent) {
				out = append(out, Violation{"never reverts", fmt.Sprintf("%s served version %d after %d (%s)", r.Instance.name, v, s.version, r.ID)})
				break
			}
		}
	}
	return out
}

// watchBounds looks, while a run goes on, for requests that reach endpoints
// after the bounds of leaving and evacuation, and for routes that are not in
// force in time. It is told of each request that has ended.
func (w *Cluster) watchBounds(r Request) []Violation {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Instance == nil || !w.touched(r) {
		return nil
	}
	var out []Violation
	for _, e := range w.Endpoints {
		if r.Status != http.StatusOK || !strings.HasSuffix(r.Body, " by "+e.ID()) {
			continue
		}
		if !e.leaving.IsZero() && r.Sent.Sub(e.leaving) > drainBound {
			out = append(out, Violation{"leaving", fmt.Sprintf("%s reached %s %s after its leaving, by %s", r.ID, e.ID(), r.Sent.Sub(e.leaving), r.Instance.name)})
		}
		if at := w.evacuated[e.domain]; !at.IsZero() && r.Sent.Sub(at) > evacuateBound {
			out = append(out, Violation{"evacuation", fmt.Sprintf("%s reached %s in %s %s after its evacuation, by %s", r.ID, e.ID(), e.domain, r.Sent.Sub(at), r.Instance.name)})
		}
	}
	v := 0
	_, _ = fmt.Sscanf(r.Path, "/only-%d/", &v) // Other paths give 0.
	if at, ok := w.acked[v]; ok && v == w.version && r.Status == http.StatusNotFound && r.Sent.Sub(at) > configBound {
		out = append(out, Violation{"in force", fmt.Sprintf("%s got 404 for version %d %s after its acknowledgement, by %s", r.ID, v, r.Sent.Sub(at), r.Instance.name)})
	}
	return out
}

// touched reports whether the bounds hold for the request's instance: neither
// it nor the store was harmed lately. The lock is held.
func (w *Cluster) touched(r Request) bool {
	incarnation, harmed, _ := r.Instance.state()
	return incarnation == r.Incarnation && r.Ended.Sub(harmed) > inTouch && r.Ended.Sub(w.storeHarmed) > inTouch
}
