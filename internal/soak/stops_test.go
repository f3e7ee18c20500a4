package soak

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"
)

var (
	stopFirst   = flag.Uint64("stops.first", 1, "first seed of planned stops")
	stopSeeds   = flag.Uint64("stops.seeds", 1, "number of seeds")
	stopLength  = flag.Duration("stops.length", 12*time.Second, "period in which stops begin")
	stopCallerN = flag.Int("stops.callers", 5, "number of callers of each kind")
)

// maxShownViolations bounds the violations that a run prints.
const maxShownViolations = 60

// Guards against requests that a planned stop loses: the connection ends without a
// complete answer, or the instance answers in the place of an endpoint at work.
func TestPlannedStops(t *testing.T) {
	binary := buildDaemon(t)
	for i := range *stopSeeds {
		seed := *stopFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playStops(t, binary, seed)
		})
	}
}

func playStops(t *testing.T, binary string, seed uint64) {
	parent := *keep
	if parent == "" {
		parent = os.TempDir()
	}
	dir, err := os.MkdirTemp(parent, fmt.Sprintf("stops-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	s, err := newStopRun(binary, dir, seed, 3+int(seed%2))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := s.cluster.Close(); err != nil {
			t.Error(err)
		}
	}()
	s.Play(*stopLength, *stopCallerN)
	h := s.history()
	found, causes := h.check(), map[string]int{}
	for i, v := range found {
		cause, lines := h.cause(v)
		causes[cause]++
		if i < maxShownViolations {
			t.Errorf("%s: %s", cause, v.Violation)
			for _, l := range lines {
				t.Log("  ", l)
			}
		}
	}
	for _, in := range s.cluster.Instances {
		if n := in.unexpectedExits(); n > 0 {
			t.Errorf("%s exited unexpectedly %d times", in.name, n)
		}
	}
	if len(h.stops) == 0 || h.statuses()[200] == 0 {
		t.Error("nothing was stopped or answered")
	}
	t.Logf("seed %d: grace %s, %d stops, %d requests, by status %v, %d violations: %v", seed, s.cluster.grace, len(h.stops), len(h.requests),
		h.statuses(), len(found), causes)
	if t.Failed() {
		t.Logf("logs in %s; to reproduce: go test ./internal/soak -run TestPlannedStops -stops.first %d", dir, seed)
	} else if *keep == "" {
		_ = os.RemoveAll(dir)
	}
}

// statuses counts requests by status. The ones of the instances themselves are
// negative, and 0 means that there was no answer.
func (h *stopHistory) statuses() map[int]int {
	out := map[int]int{}
	for _, r := range h.requests {
		if r.Signed {
			out[r.Status]++
		} else {
			out[-r.Status]++
		}
	}
	return out
}
