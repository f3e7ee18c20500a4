package fleetsim

import (
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// SlowMachines describes machines that are slow for a short time, again and again.
type SlowMachines struct {
	// Share is the share of the time for which a machine is slow, Factor by how much,
	// and Period the length of a slow time. None are slow if Share is 0.
	Share, Factor float64
	Period        time.Duration
	// Unreported makes endpoints report no speeds, Untold makes instances not tell each
	// other of them.
	Unreported, Untold bool
	// Lie is the speed that an endpoint reports instead of its own, by the
	// endpoint's index in its region.
	Lie map[int]float64
	// Slow are the times at which a machine becomes slow and usual, in turn, by the
	// endpoint's index in its region, for machines that are not slow at random.
	Slow map[int][]time.Duration
}

// slowTimes draws the times at which a machine becomes slow and usual, in turn.
func (s *sim) slowTimes(index int) []time.Duration {
	m := s.cfg.Machines
	if times, ok := m.Slow[index]; ok {
		return times
	}
	if m.Share <= 0 {
		return nil
	}
	var out []time.Duration
	usual := float64(m.Period) * (1 - m.Share) / m.Share
	for at := time.Duration(usual * s.rnd.Float64()); at < s.cfg.Duration+s.cfg.CallerTimeout; {
		out = append(out, at, at+m.Period)
		at += m.Period + time.Duration(usual*s.rnd.ExpFloat64())
	}
	return out
}

// machineSpeed returns how long work takes at a time, as a multiple of the usual time,
// and when that changes next, or 0 if it does not.
func (e *endpoint) machineSpeed(at time.Duration) (factor float64, until time.Duration) {
	i, _ := slices.BinarySearch(e.slowTimes, at+1)
	factor = 1
	if i%2 == 1 {
		factor = e.sim.cfg.Machines.Factor
	}
	if i < len(e.slowTimes) {
		until = e.slowTimes[i]
	}
	return factor, until
}

// finishTime returns when work of a usual duration that starts now is done.
func (e *endpoint) finishTime(work time.Duration) time.Duration {
	at := e.sim.now
	for {
		factor, until := e.machineSpeed(at)
		end := at + time.Duration(factor*float64(work))
		if until == 0 || end <= until {
			return end
		}
		work -= time.Duration(float64(until-at) / factor)
		at = until
	}
}

// reportedSpeed returns the speed in a response of the endpoint, or 0.
func (e *endpoint) reportedSpeed() float64 {
	m := e.sim.cfg.Machines
	if lie, ok := m.Lie[e.index]; ok {
		return lie
	}
	if m.Unreported || m.Factor == 0 {
		return 0
	}
	factor, _ := e.machineSpeed(e.sim.now)
	return factor
}

// shareSpeeds tells the other instances of the region the speeds that one has news of.
func (s *sim) shareSpeeds(from *instance, to []*instance) {
	if s.cfg.Machines.Untold {
		return
	}
	now := s.simulatedTime()
	news := from.table.SpeedNews(&from.speeds, now)
	s.result.SpeedsTold += len(news)
	for _, in := range to {
		if in != from {
			in.table.MergeSpeeds(steering.ScopeDomain, news, now)
		}
	}
}

// arrival is the arrival of a request at an endpoint.
type arrival struct {
	at       time.Duration
	endpoint model.EndpointID
}

// MaxArrivals returns the largest number of requests that reached an endpoint within
// a window, between two times.
func (r Result) MaxArrivals(id model.EndpointID, window, from, to time.Duration) int {
	most := 0
	var recent []time.Duration
	for _, a := range r.arrivals {
		if a.endpoint != id || a.at < from || a.at >= to {
			continue
		}
		for recent = append(recent, a.at); a.at-recent[0] >= window; {
			recent = recent[1:]
		}
		most = max(most, len(recent))
	}
	return most
}

// Arrivals returns the number of requests that reached an endpoint between two times.
func (r Result) Arrivals(id model.EndpointID, from, to time.Duration) int {
	n := 0
	for _, a := range r.arrivals {
		if a.endpoint == id && a.at >= from && a.at < to {
			n++
		}
	}
	return n
}
