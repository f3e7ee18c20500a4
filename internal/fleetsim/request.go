package fleetsim

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// request is a request of a caller, over its retries.
type request struct {
	sim    *sim
	region *regionState
	object uint32
	start  time.Duration
	// retried is set after the caller's only retry.
	retried bool
}

// send sends the request to a random instance of the caller's region.
func (q *request) send() {
	s := q.sim
	in := q.region.instances[s.rnd.IntN(len(q.region.instances))]
	if s.cfg.Naive {
		q.sendNaive()
		return
	}
	untilDeadline := q.start + s.cfg.CallerTimeout - s.now
	choice := in.table.Choose(s.simulatedTime(), steering.Request{Service: service, Object: q.object, UntilDeadline: untilDeadline,
		UntilSoftDeadline: q.start + s.cfg.TargetLatency - s.now, TargetLatency: s.cfg.TargetLatency, Allows: func(model.Region) bool { return true }})
	if choice.Pick == nil {
		q.retryOrRefuse(choice.RetryAfter)
		return
	}
	e := s.endpoints[choice.Pick.ID]
	q.countPlacement(e)
	rtt := s.rtt(q.region.Name, e.region)
	s.schedule(s.now+rtt/2, func() {
		e.accept(q.object, func(o outcome) {
			speed := e.reportedSpeed()
			s.schedule(s.now+rtt/2, func() {
				result := steering.Answered
				switch o {
				case shed:
					result = steering.Shed
				case unreachable:
					result = steering.Unreachable
				}
				in.table.Finish(s.simulatedTime(), choice.Pick, steering.Report{Result: result, Speed: speed})
				if o != unreachable {
					in.table.RecordRateLimit(choice.Pick.ID, e.rateLimit, e.rateLimit > 0, s.simulatedTime())
				}
				q.finish(o)
			})
		})
	})
}

func (q *request) sendNaive() {
	s := q.sim
	e := q.region.endpoints[s.rnd.IntN(len(q.region.endpoints))]
	q.countPlacement(e)
	s.schedule(s.now+localRTT/2, func() {
		e.accept(q.object, func(o outcome) { s.schedule(s.now+localRTT/2, func() { q.finish(o) }) })
	})
}

func (q *request) countPlacement(e *endpoint) {
	i := int(q.sim.now / (2 * time.Second))
	byWindow := q.sim.result.shifts[q.region.Name]
	if byWindow[i] == nil {
		byWindow[i] = &window{}
	}
	byWindow[i].total++
	if e.region != q.region.Name {
		byWindow[i].count++
	}
}

func (s *sim) rtt(from, to model.Region) time.Duration {
	if from == to {
		return localRTT
	}
	return s.cfg.RegionRTT
}

// finish counts an answered request, or lets the caller retry a failed one.
func (q *request) finish(o outcome) {
	s := q.sim
	latency := s.now - q.start
	switch {
	case o == answered && latency <= s.cfg.TargetLatency:
		s.result.OnTime++
		s.windowAt(q.start).count++
	case o == answered && latency <= s.cfg.CallerTimeout:
		s.result.Late++
	case o == answered:
		s.result.TimedOut++
	default:
		const retryDelay = 50 * time.Millisecond
		q.retryOrRefuse(retryDelay)
	}
}

// retryOrRefuse retries the request after the delay. It counts the request as
// refused if the caller has already retried it or would time out by then.
func (q *request) retryOrRefuse(delay time.Duration) {
	s := q.sim
	if q.retried || s.now+delay > q.start+s.cfg.CallerTimeout {
		s.result.Refused++
		return
	}
	q.retried = true
	s.schedule(s.now+delay, q.send)
}
