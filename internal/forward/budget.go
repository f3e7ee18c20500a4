package forward

import (
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// BudgetConfig describes the budget of repeated attempts that all instances
// share: in each window, Ratio of the requests of a service and Slack more.
type BudgetConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// ratioShare and slackShare are the parts of the shared budget that the
	// instances use. The rest covers unequal numbers of instances in the views
	// of one another.
	ratioShare = 0.85
	slackShare = 0.35
	// minBurst is the least number of attempts that an instance may save up,
	// so that a large fleet does not leave it with less than one.
	minBurst = 1.2
	// savedShare is the part of the slack that the tokens saved from earlier
	// requests may reach, over all instances: in a window the instances spend at
	// most twice slackShare, savedShare and the ratio.
	savedShare = 0.25
)

// Budget holds this instance's part of the budget for each service, without
// messages: an equal part of the slack, and the ratio of its own requests.
type Budget struct {
	cfg BudgetConfig

	mu        sync.Mutex
	instances int
	services  map[model.Service]*tokens
}

// tokens are what may be spent: slack fills with time, saved with requests.
type tokens struct {
	slack, saved float64
	at           time.Time
	// failures is a moving average of attempts, 1 if each recent one failed.
	failures float64
}

// NewBudget returns the part of one of one instances.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, instances: 1, services: map[model.Service]*tokens{}}
}

// SetInstances says how many instances share the budget.
func (b *Budget) SetInstances(n int) {
	b.mu.Lock()
	b.instances = max(n, 1)
	b.mu.Unlock()
}

func (b *Budget) burst() float64 {
	return max(b.cfg.Slack*slackShare/float64(b.instances), minBurst)
}

// mostSaved bounds the tokens saved from requests.
func (b *Budget) mostSaved() float64 {
	return max(b.cfg.Slack*savedShare/float64(b.instances), 1)
}

func (b *Budget) tokens(s model.Service, now time.Time) *tokens {
	t := b.services[s]
	if t == nil {
		t = &tokens{slack: b.burst(), at: now}
		b.services[s] = t
		return t
	}
	rate := b.cfg.Slack * slackShare / float64(b.instances) / b.cfg.Window.Seconds()
	t.slack = min(t.slack+rate*now.Sub(t.at).Seconds(), b.burst())
	t.at = now
	return t
}

// Deposit counts a request for the service.
func (b *Budget) Deposit(s model.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tokens(s, now)
	t.saved = min(t.saved+b.cfg.Ratio*ratioShare, b.mostSaved())
}

// Withdraw takes the token for one more attempt and reports whether there was
// one.
func (b *Budget) Withdraw(s model.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tokens(s, now)
	switch {
	case t.saved >= 1:
		t.saved--
	case t.slack >= 1:
		t.slack--
	default:
		return false
	}
	return true
}

// AllowCallerRetry counts a request that its caller repeats. It takes a token like an
// attempt of ours, so that the budgets of callers and instances do not multiply.
// It reports false for a repetition beyond the budget while the service fails: it
// would only add attempts. In an overload it is served like any other, as its
// caller was told to come again.
func (b *Budget) AllowCallerRetry(s model.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tokens(s, now)
	covered := t.saved >= 1
	t.saved = max(t.saved-1, -b.mostSaved())
	return covered || t.failures <= failingShare
}

const (
	// failingShare is the share of failed attempts above which a service fails.
	failingShare = 0.5
	// failuresWeight is the weight of one attempt in that share.
	failuresWeight = 0.05
)

// RecordAttempt notes whether an attempt failed.
func (b *Budget) RecordAttempt(s model.Service, failed bool, now time.Time) {
	x := 0.0
	if failed {
		x = 1
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tokens(s, now)
	t.failures += failuresWeight * (x - t.failures)
}

// Available returns the attempts that may be made now, for logs and metrics.
func (b *Budget) Available(s model.Service, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tokens(s, now)
	return t.saved + t.slack
}
