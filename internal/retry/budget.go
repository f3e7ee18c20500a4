// Package retry decides whether and when a request is sent again: budgets,
// backoff with jitter, and the delay before a hedged second attempt.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// costPerRetry and depositPerRequest are in thousandths of a token. Their
	// ratio is the budget of 10 % of requests.
	costPerRetry      = 1000
	depositPerRequest = 100
	// maxSaved bounds the tokens saved in quiet times, so that a service that
	// starts to fail gets a burst of at most 10 retries an instance.
	maxSaved = 10 * costPerRetry
)

// failureWeight is the weight of a new attempt in the failure rate.
const failureWeight = 0.05

// Backoff between attempts is uniform in (0, BackoffBase << attempt], at most
// BackoffMax (full jitter).
const (
	BackoffBase = 10 * time.Millisecond
	BackoffMax  = time.Second
)

// Budget is a token bucket that fills with requests, not with time. In any
// window the retries are at most 10 % of the requests in it plus the 10 saved
// before it, and at most 10 % of all requests since the start.
type Budget struct {
	mu    sync.Mutex
	saved int
}

// Deposit counts a request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	b.saved = min(b.saved+depositPerRequest, maxSaved)
	b.mu.Unlock()
}

// Withdraw takes the token for one more attempt and reports whether there was
// one.
func (b *Budget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < costPerRetry {
		return false
	}
	b.saved -= costPerRetry
	return true
}

// Repeated counts a request that its caller repeats. It takes a token like a
// retry of ours, so that the budgets of callers and instances do not multiply,
// and reports whether there was one. The debt of repetitions beyond the budget
// is bounded.
func (b *Budget) Repeated() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	covered := b.saved >= costPerRetry
	b.saved = max(b.saved-costPerRetry, -maxSaved)
	return covered
}

// Refund returns the token of an attempt that was not made.
func (b *Budget) Refund() {
	b.mu.Lock()
	b.saved = min(b.saved+costPerRetry, maxSaved)
	b.mu.Unlock()
}

// Policy holds the budgets and latency quantiles of all services. It is safe
// for concurrent use.
type Policy struct {
	mu       sync.RWMutex
	services map[model.Service]*ServicePolicy
	rndMu    sync.Mutex
	rnd      *rand.Rand
}

// ServicePolicy is the retry state of one service.
type ServicePolicy struct {
	Budget  Budget
	latency quantile

	failureMu sync.Mutex
	failures  float64 // moving average of 0 (answer) and 1 (failure)
}

// NewPolicy returns a policy without saved tokens. It owns rnd.
func NewPolicy(rnd *rand.Rand) *Policy {
	return &Policy{services: map[model.Service]*ServicePolicy{}, rnd: rnd}
}

// Service returns the state of a service.
func (p *Policy) Service(s model.Service) *ServicePolicy {
	p.mu.RLock()
	sp := p.services[s]
	p.mu.RUnlock()
	if sp != nil {
		return sp
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if sp = p.services[s]; sp == nil {
		sp = &ServicePolicy{}
		p.services[s] = sp
	}
	return sp
}

// Backoff returns the pause before retry number n, counted from 0. It is never
// shorter than retryAfter.
func (p *Policy) Backoff(n int, retryAfter time.Duration) time.Duration {
	limit := BackoffMax
	if n < 7 {
		limit = min(BackoffBase<<n, BackoffMax)
	}
	p.rndMu.Lock()
	d := time.Duration(p.rnd.Int64N(int64(limit))) + 1
	p.rndMu.Unlock()
	return max(d, retryAfter)
}

// Answered records the latency of an answered attempt.
func (s *ServicePolicy) Answered(latency time.Duration) {
	s.latency.add(latency)
}

// Attempted records whether an attempt failed.
func (s *ServicePolicy) Attempted(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	s.failureMu.Lock()
	s.failures += failureWeight * (x - s.failures)
	s.failureMu.Unlock()
}

// Failing reports whether most recent attempts failed.
func (s *ServicePolicy) Failing() bool {
	s.failureMu.Lock()
	defer s.failureMu.Unlock()
	return s.failures > 0.5
}

// HedgeDelay returns the time after which a second attempt is worth its token:
// the 95th percentile of answered attempts. It reports false while there are
// too few samples.
func (s *ServicePolicy) HedgeDelay() (time.Duration, bool) {
	return s.latency.get(hedgeQuantile)
}
