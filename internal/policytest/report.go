package policytest

import (
	"fmt"
	"strings"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// figures are the results of one run, which formatRow prints. The values of
// type float64 are fractions.
type figures struct {
	byPriority map[model.Priority]priorityStats
	share      map[model.Priority]float64 // share of endpoint slot time used
	held       map[model.Priority]float64 // share of slot time held by instances
	goodput    float64                    // service time of answered requests relative to capacity
	attempts   float64                    // attempts per caller request
	avoid      time.Duration              // see timeToAvoid; -1 if not measured
	lateSends  int                        // attempts at affected endpoints after lateAfter
}

// answered returns the fraction of offered requests that were answered.
func (f figures) answered(p model.Priority) float64 {
	if f.byPriority[p].offered == 0 {
		return 0
	}
	return float64(f.byPriority[p].answered) / float64(f.byPriority[p].offered)
}

func (w *cluster) figures() figures {
	f := figures{byPriority: map[model.Priority]priorityStats{}, share: map[model.Priority]float64{}, held: map[model.Priority]float64{}, avoid: -1}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pool.mu.Lock()
	defer w.pool.mu.Unlock()
	var work time.Duration
	slots := 0
	for _, e := range w.order {
		slots += e.Slots
	}
	capacity := time.Duration(slots) * (w.scenario.to - w.scenario.from)
	for _, p := range model.Priorities {
		f.byPriority[p] = w.stats(p)
		f.held[p] = float64(w.pool.held[p]) / float64(capacity)
		work += f.byPriority[p].servedTime
		for _, e := range w.order {
			f.share[p] += float64(e.busyTime(p)) / float64(capacity)
		}
	}
	f.goodput = float64(work) / float64(capacity)
	f.attempts = float64(w.sends.Load()) / float64(len(w.calls))
	if w.scenario.affected != nil {
		f.avoid = w.timeToAvoid()
		f.lateSends = w.lateSends()
	}
	return f
}

// avoidWindow is the length of the window in which affected endpoints must
// receive at most a tenth of their previous share of attempts to count as
// avoided.
const avoidWindow = 500 * time.Millisecond

// timeToAvoid returns the time from the event to the start of the first window
// in which the affected endpoints are avoided.
func (w *cluster) timeToAvoid() time.Duration {
	event := w.start.Add(w.scenario.avoidFrom)
	before := w.affectedShare(event.Add(-2*time.Second), event)
	for d := time.Duration(0); w.scenario.avoidFrom+d+avoidWindow <= w.scenario.to; d += 25 * time.Millisecond {
		from := event.Add(d)
		if w.affectedShare(from, from.Add(avoidWindow)) <= before/10 {
			return d
		}
	}
	return w.scenario.to - w.scenario.avoidFrom
}

// lateAfter is how long an endpoint may still receive new requests after it has
// started to leave.
const lateAfter = 3 * time.Second

func (w *cluster) lateSends() int {
	n := 0
	for _, e := range w.order {
		for _, t := range e.attempts {
			if w.scenario.affected(e) && t.Sub(w.start) > w.scenario.avoidFrom+lateAfter {
				n++
			}
		}
	}
	return n
}

func (w *cluster) affectedShare(from, to time.Time) float64 {
	hit, all := 0, 0
	for _, e := range w.order {
		n := 0
		for _, t := range e.attempts {
			if !t.Before(from) && t.Before(to) {
				n++
			}
		}
		all += n
		if w.scenario.affected(e) {
			hit += n
		}
	}
	return float64(hit) / float64(max(1, all))
}

// formatRow formats the figures. Equal figures give equal rows.
func formatRow(s scenario, variant string, f figures) string {
	var b strings.Builder
	fmt.Fprintf(&b, "policy scenario=%s variant=%s", s.name, variant)
	for _, p := range model.Priorities {
		r := f.byPriority[p]
		if r.offered == 0 {
			continue
		}
		fmt.Fprintf(&b, " p%d_p50_ms=%.1f p%d_p99_ms=%.1f p%d_answered=%.3f p%d_share=%.3f p%d_held=%.3f",
			p, ms(r.p50), p, ms(r.p99), p, f.answered(p), p, f.share[p], p, f.held[p])
	}
	fmt.Fprintf(&b, " goodput=%.3f attempts=%.3f", f.goodput, f.attempts)
	if f.avoid >= 0 {
		fmt.Fprintf(&b, " avoid_ms=%d late_sends=%d", f.avoid.Milliseconds(), f.lateSends)
	}
	return b.String()
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
