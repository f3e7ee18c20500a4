package forward

import (
	"math/rand/v2"
	"sync"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/model"
)

// splitter distributes the requests of a route over the services of its
// traffic split by weighted round-robin. With each request every service
// gains its weight as credit; the one with the most credit gets the request
// and pays one. The distribution is therefore exact to one request.
type splitter struct {
	mu   sync.Mutex
	rand *rand.Rand
	// credits holds the credit of each service, by route.
	credits map[string][]float64
}

func newSplitter(rnd *rand.Rand) *splitter {
	return &splitter{rand: rnd, credits: map[string][]float64{}}
}

// choose returns the service that gets the route's next request.
func (s *splitter) choose(r *desired.Route) model.Service {
	if len(r.TrafficSplit) == 1 {
		return r.TrafficSplit[0].Service
	}
	total := 0.0
	for _, p := range r.TrafficSplit {
		total += p.Weight
	}
	if total <= 0 {
		return r.TrafficSplit[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[r.Name]
	if len(credits) != len(r.TrafficSplit) {
		credits = make([]float64, len(r.TrafficSplit))
		for i := range credits {
			// Random initial credits keep the instances from sending their
			// requests to the same service at the same time.
			credits[i] = s.rand.Float64()
		}
		s.credits[r.Name] = credits
	}
	best := -1
	for i, p := range r.TrafficSplit {
		credits[i] += p.Weight / total
		if p.Weight > 0 && (best < 0 || credits[i] > credits[best]) {
			best = i
		}
	}
	credits[best]--
	return r.TrafficSplit[best].Service
}
