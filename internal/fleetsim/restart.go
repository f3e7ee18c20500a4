package fleetsim

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// Restart says that endpoints fail and return with the same IDs.
type Restart struct {
	// Down is the time between the failure and the return.
	Down time.Duration
	// Warming is the time after the return in which work takes as many times as long
	// as there are requests running.
	Warming time.Duration
	// Cold is the cold period after the return.
	Cold time.Duration
}

// restart makes the endpoint fail and return.
func (e *endpoint) restart(r Restart) {
	e.fail()
	e.generation++
	s := e.sim
	s.schedule(s.now+r.Down, func() {
		e.failed, e.running, e.cache = false, 0, nil
		e.warmAt = s.now + r.Warming
		e.entry.Started, e.entry.ColdFor = int64(s.now), r.Cold
		s.result.returned = s.now
		for _, region := range s.regions {
			for _, in := range region.instances {
				in.table.Put(e.entry, s.simulatedTime())
			}
		}
	})
}

// overload returns by how much work takes longer because the endpoint is warming.
func (e *endpoint) overload() float64 {
	if e.sim.now >= e.warmAt {
		return 1
	}
	return float64(max(e.running, 1))
}

// fairWindow is the span in which the share of an endpoint is measured, fairShare the
// part of the mean of all endpoints that counts as a fair one.
const (
	fairWindow = time.Second
	fairShare  = 0.7
)

// TimeToFairShare returns the time from the last return of an endpoint until it gets a
// fair share of the requests that all endpoints get, or 0 if it never does.
func (r Result) TimeToFairShare(id model.EndpointID, endpoints int, end time.Duration) time.Duration {
	for at := r.returned; at+fairWindow <= end; at += fairWindow / 10 {
		own, all := 0, 0
		for _, a := range r.arrivals {
			if a.at < at || a.at >= at+fairWindow {
				continue
			}
			if all++; a.endpoint == id {
				own++
			}
		}
		if float64(own) >= fairShare*float64(all)/float64(endpoints) {
			return at + fairWindow - r.returned
		}
	}
	return 0
}

// newEntry returns the entry of an endpoint.
func (s *sim) newEntry(e *endpoint) steering.Endpoint {
	return steering.Endpoint{ID: e.id, Service: service, Domain: model.Domain(e.region), Slots: s.cfg.Slots, Addr: endpointAddr}
}
