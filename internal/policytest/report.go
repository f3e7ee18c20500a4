package policytest

import (
	"fmt"
	"strings"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// figures are the measured columns of one row. All but the latencies are
// fractions.
type figures struct {
	by       map[model.Priority]byPriority
	share    map[model.Priority]float64 // of the endpoints' slot time
	held     map[model.Priority]float64 // of the instances' slot time
	goodput  float64                    // answered work to capacity
	attempts float64                    // sends to requests of callers
	avoid    time.Duration              // -1 if not measured
	late     int                        // sends to affected endpoints after lateAfter
}

// answered is the fraction of offered requests that were answered.
func (f figures) answered(p model.Priority) float64 {
	if f.by[p].offered == 0 {
		return 0
	}
	return float64(f.by[p].ok) / float64(f.by[p].offered)
}

func (w *world) figures() figures {
	f := figures{by: map[model.Priority]byPriority{}, share: map[model.Priority]float64{}, held: map[model.Priority]float64{}, avoid: -1}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slots.mu.Lock()
	defer w.slots.mu.Unlock()
	var work time.Duration
	slots := 0
	for _, e := range w.order {
		slots += e.Slots
	}
	capacity := time.Duration(slots) * (w.s.to - w.s.from)
	for _, p := range model.Priorities {
		f.by[p] = w.results(p)
		f.held[p] = float64(w.slots.held[p]) / float64(capacity)
		work += f.by[p].work
		for _, e := range w.order {
			f.share[p] += float64(e.busyTime(p)) / float64(capacity)
		}
	}
	f.goodput = float64(work) / float64(capacity)
	f.attempts = float64(w.sends.Load()) / float64(len(w.calls))
	if w.s.affected != nil {
		f.avoid = w.timeToAvoid()
		f.late = w.lateSends()
	}
	return f
}

// avoidWindow is the length of the time in which the affected endpoints get at
// most a tenth of their share of arrivals before the event.
const avoidWindow = 500 * time.Millisecond

// timeToAvoid is the time from the event to the start of the first such window.
func (w *world) timeToAvoid() time.Duration {
	event := w.start.Add(w.s.avoidFrom)
	before := w.affectedShare(event.Add(-2*time.Second), event)
	for d := time.Duration(0); w.s.avoidFrom+d+avoidWindow <= w.s.to; d += 25 * time.Millisecond {
		from := event.Add(d)
		if w.affectedShare(from, from.Add(avoidWindow)) <= before/10 {
			return d
		}
	}
	return w.s.to - w.s.avoidFrom
}

// lateAfter is the bound after which a leaving endpoint gets no new work.
const lateAfter = 3 * time.Second

func (w *world) lateSends() int {
	n := 0
	for _, e := range w.order {
		for _, t := range e.attempts {
			if w.s.affected(e) && t.Sub(w.start) > w.s.avoidFrom+lateAfter {
				n++
			}
		}
	}
	return n
}

func (w *world) affectedShare(from, to time.Time) float64 {
	hit, all := 0, 0
	for _, e := range w.order {
		n := 0
		for _, t := range e.attempts {
			if !t.Before(from) && t.Before(to) {
				n++
			}
		}
		all += n
		if w.s.affected(e) {
			hit += n
		}
	}
	return float64(hit) / float64(max(1, all))
}

// row formats the figures; equal figures give equal rows.
func row(s scenario, variant string, f figures) string {
	var b strings.Builder
	fmt.Fprintf(&b, "policy scenario=%s variant=%s", s.name, variant)
	for _, p := range model.Priorities {
		r := f.by[p]
		if r.offered == 0 {
			continue
		}
		fmt.Fprintf(&b, " p%d_p50_ms=%.1f p%d_p99_ms=%.1f p%d_answered=%.3f p%d_share=%.3f p%d_held=%.3f",
			p, ms(r.p50), p, ms(r.p99), p, f.answered(p), p, f.share[p], p, f.held[p])
	}
	fmt.Fprintf(&b, " goodput=%.3f attempts=%.3f", f.goodput, f.attempts)
	if f.avoid >= 0 {
		fmt.Fprintf(&b, " avoid_ms=%d late_sends=%d", f.avoid.Milliseconds(), f.late)
	}
	return b.String()
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
