package soak

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

// Guards against checks of planned stops that miss violations, or that report what a
// stop may do: each is given a history that breaks its guarantee, and the same with an
// excuse.
func TestStopChecksDetectViolations(t *testing.T) {
	term := time.Now()
	at := func(ms int) time.Time { return term.Add(time.Duration(ms) * time.Millisecond) }
	in := &Instance{name: "i1"}
	runFor := func(from, to int) standin.Run { return standin.Run{Begun: at(from), Ended: at(to), Status: 200} }
	ran := []standin.Run{runFor(0, 500)}
	// cut is a request that was sent with the SIGTERM and whose connection ended 600 ms later.
	cut := func(change func(*StopRequest)) StopRequest {
		r := StopRequest{Request: Request{ID: "r", Instance: in, Incarnation: 1, Sent: at(1), Ended: at(600)}, Limit: 3 * time.Second, Begun: at(0), Bytes: 9}
		change(&r)
		return r
	}
	ended := func(r *StopRequest, ms int) { r.Ended = at(ms) }
	for _, c := range []struct {
		name string
		runs []standin.Run
		r    StopRequest
		want string
	}{
		{"ran and not answered", ran, cut(func(*StopRequest) {}), "[lost]"},
		{"answered in part", ran, cut(func(r *StopRequest) { r.Received, r.Closing, r.Err = 4, true, errors.New("reset") }), "[lost]"},
		{"ran behind another", ran, cut(func(r *StopRequest) { r.Behind = true }), "[lost]"},
		{"behind another and did not run", nil, cut(func(r *StopRequest) { r.Behind = true }), "[]"},
		{"read and did not run", nil, cut(func(*StopRequest) {}), "[lost]"},
		{"crossed the close", nil, cut(func(r *StopRequest) { ended(r, 150) }), "[]"},
		{"not sent whole", nil, cut(func(r *StopRequest) { r.Sent = time.Time{} }), "[]"},
		{"sent after the exit", nil, cut(func(r *StopRequest) { r.Begun, r.Sent, r.Ended = at(5710), at(5710), at(6500) }), "[]"},
		{"sent just before the exit", nil, cut(func(r *StopRequest) { r.Begun, r.Sent, r.Ended = at(5510), at(5510), at(6500) }), "[]"},
		{"sent long before the exit", nil, cut(func(r *StopRequest) { r.Begun, r.Sent, r.Ended = at(5490), at(5490), at(6500) }), "[lost]"},
		{"caller left", ran, cut(func(r *StopRequest) { r.Left = true }), "[]"},
		{"time limit reached", ran, cut(func(r *StopRequest) { ended(r, 3000) }), "[]"},
		{"just before the time limit", ran, cut(func(r *StopRequest) { ended(r, 2900) }), "[lost]"},
		{"at work in the last sixth", []standin.Run{runFor(0, 5050)}, cut(func(r *StopRequest) { r.Limit = 9 * time.Second; ended(r, 5700) }), "[]"},
		{"at work until just before it", []standin.Run{runFor(0, 4950)}, cut(func(r *StopRequest) { r.Limit = 9 * time.Second; ended(r, 5700) }), "[lost]"},
		{"at work in the last sixth, sent late", []standin.Run{runFor(3200, 5050)},
			cut(func(r *StopRequest) { r.Limit, r.Begun, r.Sent = 9*time.Second, at(3100), at(3100); ended(r, 5700) }), "[lost]"},
		{"own failure while the endpoint is at work", ran, cut(func(r *StopRequest) { r.Status = 502 }), "[lost]"},
		{"failure of the endpoint", ran, cut(func(r *StopRequest) { r.Status, r.Signed = 504, true }), "[]"},
		{"refused but ran", ran, cut(func(r *StopRequest) { r.Status = 503 }), "[not run]"},
		{"refused and did not run", nil, cut(func(r *StopRequest) { r.Status = 503 }), "[]"},
		{"ran twice", append(ran, ran...), cut(func(r *StopRequest) { r.Unsafe, r.Status, r.Signed, r.Whole = true, 200, true, true }), "[at most once]"},
		{"repeatable and ran twice", append(ran, ran...), cut(func(r *StopRequest) { r.Status, r.Signed, r.Whole = 200, true, true }), "[]"},
		{"early end looks complete", ran, cut(func(r *StopRequest) { r.Status, r.Received = 200, 4 }), "[own answer]"},
		{"answered but never ran", nil, cut(func(r *StopRequest) { r.Status, r.Whole = 200, true }), "[own answer]"},
		{"never ended", ran, cut(func(r *StopRequest) { r.Ended = time.Time{} }), "[ended]"},
		{"answered", ran, cut(func(r *StopRequest) { r.Status, r.Signed, r.Whole = 200, true, true }), "[]"},
	} {
		h := &stopHistory{grace: grace, requests: []*StopRequest{&c.r}, runs: map[string][]standin.Run{"r": c.runs},
			stops: []PlannedStop{{Instance: in, Incarnation: 1, Term: term, Exited: at(5700)}}}
		got := []string{}
		for _, v := range h.check() {
			got = append(got, v.Guarantee)
		}
		if fmt.Sprint(got) != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	h := &stopHistory{grace: grace, stops: []PlannedStop{{Instance: in, Killed: true}}, unready: []string{"i1"}}
	if got := h.check(); len(got) != 2 || got[0].Guarantee != "starts" || got[1].Guarantee != "exit in time" {
		t.Errorf("killed at the end of the grace period, and not ready again: %v", got)
	}
}
