package fleetsim

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// request is a caller's request over its attempts.
type request struct {
	sim    *sim
	region *regionState
	object uint32
	asked  time.Duration
	// returned is set after the one return that callers make.
	returned bool
}

// send asks an instance of the region.
func (q *request) send() {
	s := q.sim
	in := q.region.instances[s.rnd.IntN(len(q.region.instances))]
	if s.cfg.Naive {
		q.sendNaive()
		return
	}
	left := q.asked + s.cfg.CallerTimeout - s.now
	choice := in.table.Choose(s.time(), steering.Request{Service: service, Object: q.object, UntilDeadline: left,
		UntilSoftDeadline: q.asked + s.cfg.TargetLatency - s.now, TargetLatency: s.cfg.TargetLatency, Allows: func(model.Region) bool { return true }})
	if choice.Pick == nil {
		q.refused(choice.RetryAfter)
		return
	}
	e := s.endpoints[choice.Pick.ID]
	q.countShift(e)
	trip := s.trip(q.region.Name, e.region)
	s.at(s.now+trip/2, func() {
		e.arrive(q.object, func(o outcome) {
			s.at(s.now+trip/2, func() {
				result := steering.Answered
				switch o {
				case shed:
					result = steering.Shed
				case lost:
					result = steering.Unreachable
				}
				in.table.Finish(s.time(), choice.Pick, steering.Report{Result: result})
				q.ended(o)
			})
		})
	})
}

func (q *request) sendNaive() {
	s := q.sim
	e := q.region.endpoints[s.rnd.IntN(len(q.region.endpoints))]
	q.countShift(e)
	s.at(s.now+nearTrip/2, func() {
		e.arrive(q.object, func(o outcome) { s.at(s.now+nearTrip/2, func() { q.ended(o) }) })
	})
}

func (q *request) countShift(e *endpoint) {
	i := int(q.sim.now / (2 * time.Second))
	byWindow := q.sim.result.shifts[q.region.Name]
	if byWindow[i] == nil {
		byWindow[i] = &window{}
	}
	byWindow[i].asked++
	if e.region != q.region.Name {
		byWindow[i].hit++
	}
}

func (s *sim) trip(from, to model.Region) time.Duration {
	if from == to {
		return nearTrip
	}
	return s.cfg.RegionRTT
}

// ended counts an answer, or lets the caller return after a failure.
func (q *request) ended(o outcome) {
	s := q.sim
	took := s.now - q.asked
	switch {
	case o == answered && took <= s.cfg.TargetLatency:
		s.result.OnTime++
		s.window(q.asked).hit++
	case o == answered && took <= s.cfg.CallerTimeout:
		s.result.Late++
	case o == answered:
		s.result.TimedOut++
	default:
		const shortPause = 50 * time.Millisecond
		q.refused(shortPause)
	}
}

// refused lets the caller return once, within its time.
func (q *request) refused(after time.Duration) {
	s := q.sim
	if q.returned || s.now+after > q.asked+s.cfg.CallerTimeout {
		s.result.Refused++
		return
	}
	q.returned = true
	s.at(s.now+after, q.send)
}
