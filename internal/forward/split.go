package forward

import (
	"math/rand/v2"
	"sync"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/model"
)

// splitter distributes the requests of a route over its parts by weighted
// round-robin. With each request every part gains its weight as credit; the
// part with the most credit gets the request and pays one. The distribution
// is therefore exact to one request.
type splitter struct {
	mu   sync.Mutex
	rand *rand.Rand
	// credits holds the credit of each part, by route.
	credits map[string][]float64
}

func newSplitter(rnd *rand.Rand) *splitter {
	return &splitter{rand: rnd, credits: map[string][]float64{}}
}

// choose returns the service of the part that gets the route's next request.
func (s *splitter) choose(r *desired.Route) model.Service {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	total := 0.0
	for _, p := range r.Parts {
		total += p.Weight
	}
	if total <= 0 {
		return r.Parts[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	credits := s.credits[r.Name]
	if len(credits) != len(r.Parts) {
		credits = make([]float64, len(r.Parts))
		for i := range credits {
			// Random initial credits keep the instances from sending their
			// requests to the same part at the same time.
			credits[i] = s.rand.Float64()
		}
		s.credits[r.Name] = credits
	}
	best := -1
	for i, p := range r.Parts {
		credits[i] += p.Weight / total
		if p.Weight > 0 && (best < 0 || credits[i] > credits[best]) {
			best = i
		}
	}
	credits[best]--
	return r.Parts[best].Service
}
