package forward

import (
	"math/rand/v2"
	"sync"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/model"
)

// splitter shares the requests of a route between its parts by their weights.
// Each part owes its weight for every request, and the one that owes most gets
// the request, so that shares are met within one request.
type splitter struct {
	mu   sync.Mutex
	rand *rand.Rand
	// debts holds, by route, what each part is owed.
	debts map[string][]float64
}

func newSplitter(rnd *rand.Rand) *splitter {
	return &splitter{rand: rnd, debts: map[string][]float64{}}
}

// choose returns the part's service for the next request of the route.
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
	debts := s.debts[r.Name]
	if len(debts) != len(r.TrafficSplit) {
		debts = make([]float64, len(r.TrafficSplit))
		for i := range debts {
			// Instances start at different phases.
			debts[i] = s.rand.Float64()
		}
		s.debts[r.Name] = debts
	}
	best := -1
	for i, p := range r.TrafficSplit {
		debts[i] += p.Weight / total
		if p.Weight > 0 && (best < 0 || debts[i] > debts[best]) {
			best = i
		}
	}
	debts[best]--
	return r.TrafficSplit[best].Service
}
