package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// Row is what happened to the requests of one priority in one phase.
type Row struct {
	Phase    string         `json:"phase"`
	Priority model.Priority `json:"priority"`
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	NotRun   int            `json:"not_run"`
	Unknown  int            `json:"unknown"`
	RunTwice int            `json:"run_twice"`
	// P50 and P99 are in milliseconds, over the answered requests.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// Report is the result of the demo.
type Report struct {
	Rows []Row `json:"rows"`
	// RulesInForce is how long an edit took until it was in force on every
	// instance, in milliseconds.
	RulesInForce float64 `json:"rules_in_force_ms"`
	// DrainTime is how long the drained instance took to leave, in
	// milliseconds.
	DrainTime float64 `json:"drain_ms"`
	// Violations names the invariants that did not hold.
	Violations []string `json:"broken"`

	mu sync.Mutex
}

// WriteJSON writes the report for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Trace(enc.Encode(r))
}

// WriteTable writes the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "phase\tpriority\tsent\tanswered\tnot run\tunknown\trun twice\tp50 ms\tp99 ms\t")
	for _, x := range r.Rows {
		fmt.Fprintf(tw, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n",
			x.Phase, x.Priority, x.Sent, x.Answered, x.NotRun, x.Unknown, x.RunTwice, x.P50, x.P99)
	}
	if err := tw.Flush(); err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(w, "\nrule edit in force on all instances after %.0f ms (bound 4000 ms)\n", r.RulesInForce)
	fmt.Fprintf(w, "drained instance left after %.0f ms\n", r.DrainTime)
	if len(r.Violations) == 0 {
		fmt.Fprintln(w, "all invariants held")
		return nil
	}
	for _, b := range r.Violations {
		fmt.Fprintf(w, "BROKEN: %s\n", b)
	}
	return nil
}

// sample is one request of a caller.
type sample struct {
	phase    string
	priority model.Priority
	work     string
	outcome  model.Outcome
	took     time.Duration
	// foreign means that the answer was not the caller's own.
	foreign bool
}

// rows sums up the samples; runs counts how often each piece of work ran.
func rows(samples []sample, phases []string, runs map[string]int) []Row {
	var out []Row
	for _, phase := range phases {
		for _, p := range model.Priorities {
			out = append(out, row(samples, phase, p, runs))
		}
	}
	return out
}

func row(samples []sample, phase string, p model.Priority, runs map[string]int) Row {
	r := Row{Phase: phase, Priority: p}
	var took []time.Duration
	for _, s := range samples {
		if s.phase != phase || s.priority != p {
			continue
		}
		r.Sent++
		switch s.outcome {
		case model.OutcomeAnswered:
			r.Answered++
			took = append(took, s.took)
		case model.OutcomeNotRun:
			r.NotRun++
		default:
			r.Unknown++
		}
		if s.work != "" && runs[s.work] > 1 {
			r.RunTwice++
		}
	}
	slices.Sort(took)
	r.P50, r.P99 = quantile(took, 0.50), quantile(took, 0.99)
	return r
}

// quantile returns the q-quantile in milliseconds of sorted durations.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i]) / float64(time.Millisecond)
}
