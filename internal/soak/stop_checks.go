package soak

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

const (
	// lossSlack is how long after its last byte was sent a request counts as read.
	lossSlack = 200 * time.Millisecond
	// lateSent is how long after SIGTERM requests are sent that a stop may cut if they
	// are still running in the last sixth of the grace period.
	lateSent = 3 * time.Second
	lastPart = 6
	// timerSlack is how much sooner than a caller a process may see a time limit
	// reached: timers and clocks have a resolution.
	timerSlack = 20 * time.Millisecond
)

// stopHistory is what callers and endpoints saw in a run of planned stops.
type stopHistory struct {
	grace    time.Duration
	requests []*StopRequest
	runs     map[string][]standin.Run
	stops    []PlannedStop
	unready  []string
}

// StopViolation is a violation of a request, or of a process if Request is nil.
type StopViolation struct {
	Violation
	Request *StopRequest
}

// check returns the violations.
func (h *stopHistory) check() []StopViolation {
	var out []StopViolation
	for _, name := range h.unready {
		out = append(out, StopViolation{Violation{"starts", name + " did not become ready"}, nil})
	}
	for _, p := range h.stops {
		if p.Killed {
			out = append(out, StopViolation{Violation{"exit in time", fmt.Sprintf("%s, process %d, was running at the end of the grace period", p.Instance.name, p.Incarnation)}, nil})
		}
	}
	for _, r := range h.requests {
		if guarantee, detail := h.checkRequest(r); guarantee != "" {
			out = append(out, StopViolation{Violation{guarantee, h.describe(r) + ": " + detail}, r})
		}
	}
	return out
}

// checkRequest returns the guarantee that a request shows as broken, or "".
func (h *stopHistory) checkRequest(r *StopRequest) (guarantee, detail string) {
	runs, stop := h.runs[r.ID], h.stopOf(r)
	switch {
	case r.Unsafe && len(runs) > 1:
		return "at most once", fmt.Sprintf("ran %d times", len(runs))
	case r.Ended.IsZero():
		return "ended", "the caller still waits"
	case r.Status == 200 && (!r.Whole || len(runs) == 0):
		return "own answer", fmt.Sprintf("%d bytes of %d, ran %d times", r.Received, r.Bytes, len(runs))
	case meansNotRun(r.Status) && len(runs) > 0:
		return "not run", fmt.Sprintf("ran %d times", len(runs))
	case h.excused(r):
		return "", ""
	case r.Status == 0 && len(runs) > 0:
		return "lost", fmt.Sprintf("ran, and the connection ended without a complete answer: %v", r.Err)
	case r.Status == 0 && !r.Behind && !r.Sent.IsZero() && h.closed(r).Sub(r.Sent) > lossSlack:
		return "lost", fmt.Sprintf("was read, and the connection ended without a complete answer: %v", r.Err)
	case r.Status >= 500 && !r.Signed && len(runs) > 0 && stop != nil && r.Ended.After(stop.Term):
		return "lost", "a failure of the instance's own in the place of an endpoint's answer"
	}
	return "", ""
}

// excused reports whether a request may end without an answer.
func (h *stopHistory) excused(r *StopRequest) bool {
	if r.Left || r.Ended.Sub(r.Begun) >= r.Limit-timerSlack {
		return true
	}
	p := h.stopOf(r)
	if p == nil {
		return false
	}
	if r.Sent.IsZero() || r.Sent.Sub(p.Term) > lateSent {
		return false
	}
	for _, run := range h.runs[r.ID] {
		if run.Ended.Sub(p.Term) >= h.grace-h.grace/lastPart {
			return true
		}
	}
	return false
}

// stopOf returns the stop of the request's process, or nil.
func (h *stopHistory) stopOf(r *StopRequest) *PlannedStop {
	for i, p := range h.stops {
		if p.Instance == r.Instance && p.Incarnation == r.Incarnation {
			return &h.stops[i]
		}
	}
	return nil
}

// closed returns when the connection of a request ended at the latest.
func (h *stopHistory) closed(r *StopRequest) time.Time {
	if p := h.stopOf(r); p != nil && p.Exited.Before(r.Ended) {
		return p.Exited
	}
	return r.Ended
}

// describe returns the course of a request, with times after the SIGTERM of its
// process.
func (h *stopHistory) describe(r *StopRequest) string {
	from := r.Begun
	text := "no SIGTERM"
	if p := h.stopOf(r); p != nil {
		from = p.Term
		text = fmt.Sprintf("exit %s after SIGTERM %v", since(p.Exited, from), p.Further)
	}
	for _, run := range h.runs[r.ID] {
		text += fmt.Sprintf(", ran from %s to %s (%d)", since(run.Begun, from), since(run.Ended, from), run.Status)
	}
	return fmt.Sprintf("%s %s %s by %s, connection %d to %s (%d), behind another %t, begun %s, sent %s, ended %s, status %d, closing %t, %d bytes of %d, %s",
		r.ID, r.Kind, r.Path, r.Limit, r.Conn, r.Instance.name, r.Incarnation, r.Behind, since(r.Begun, from), since(r.Sent, from),
		since(r.Ended, from), r.Status, r.Closing, r.Received, r.Bytes, text)
}

func since(t, from time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return t.Sub(from).Round(time.Millisecond).String()
}

// Numbers of the events that tell how a stop cut a request.
const (
	eventAnswerCut  = `"event":817`
	eventRequestCut = `"event":818`
)

// cause classifies a violation by what the process has logged on the requests of its
// connection. It returns the log lines too.
func (h *stopHistory) cause(v StopViolation) (cause string, lines []string) {
	r := v.Request
	if r == nil || v.Guarantee != "lost" {
		return v.Guarantee, nil
	}
	text, err := os.ReadFile(r.Instance.log.Name())
	if err != nil {
		return err.Error(), nil
	}
	cause = "not logged"
	switch {
	case r.Status != 0:
		cause = "own failure"
	case r.Closing || errors.Is(r.Err, syscall.ECONNRESET):
		cause = "answer cut by its connection, no line" // Lines are sampled.
	}
	for _, other := range h.requests {
		for line := range strings.Lines(string(text)) {
			if other.Conn != r.Conn || !strings.Contains(line, `"request":"`+other.ID+`"`) {
				continue
			}
			switch {
			case strings.Contains(line, eventAnswerCut):
				cause = "answer cut by its connection"
			case strings.Contains(line, eventRequestCut):
				cause = "cut by the end of the grace period"
			}
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return cause, lines
}
