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

// Row summarizes the requests of one priority in one phase.
type Row struct {
	Phase    string         `json:"phase"`
	Priority model.Priority `json:"priority"`
	Sent     int            `json:"sent"`
	Answered int            `json:"answered"`
	NotRun   int            `json:"not_run"`
	Unknown  int            `json:"unknown"`
	// RunTwice counts the non-repeatable requests that ran more than once.
	RunTwice int `json:"run_twice"`
	// P50 and P99 are latencies of answered requests, in milliseconds.
	P50 float64 `json:"p50_ms"`
	P99 float64 `json:"p99_ms"`
}

// Report is the result of the demo.
type Report struct {
	Rows []Row `json:"rows"`
	// RulesInForce is the time until a rule edit was in force on all instances,
	// in milliseconds.
	RulesInForce float64 `json:"rules_in_force_ms"`
	// DrainTime is how long the drained instance took to stop, in milliseconds.
	DrainTime float64 `json:"drain_ms"`
	// Violations describes the invariants that did not hold.
	Violations []string `json:"broken"`

	mu sync.Mutex
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return errors.Trace(enc.Encode(r))
}

// WriteTable writes the report as a table.
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

// sample is the result of one request.
type sample struct {
	phase    string
	priority model.Priority
	// workID is the id in standin.WorkHeader. It is empty for repeatable
	// requests, which may run twice.
	workID  string
	outcome model.Outcome
	latency time.Duration
	// misdelivered means that the response belongs to another request.
	misdelivered bool
}

// rows summarizes the samples by phase and priority. runs holds how often each
// request ran, by workID.
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
	var latencies []time.Duration
	for _, s := range samples {
		if s.phase != phase || s.priority != p {
			continue
		}
		r.Sent++
		switch s.outcome {
		case model.OutcomeAnswered:
			r.Answered++
			latencies = append(latencies, s.latency)
		case model.OutcomeNotRun:
			r.NotRun++
		default:
			r.Unknown++
		}
		if s.workID != "" && runs[s.workID] > 1 {
			r.RunTwice++
		}
	}
	slices.Sort(latencies)
	r.P50, r.P99 = quantile(latencies, 0.50), quantile(latencies, 0.99)
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
