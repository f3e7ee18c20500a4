package forward

import (
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// BudgetConfig describes the retry budget that all instances share: in each
// window, as many retries as Ratio times the requests of a service, plus
// Slack.
type BudgetConfig struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Reserve is the number of slack tokens of each instance that only retries
	// of critical requests use, in addition to the shared budget in fleets in
	// which the slack of an instance is smaller.
	Reserve float64
}

const (
	// usedRatioShare and usedSlackShare are the parts of the shared budget
	// that the instances use. The rest covers differences between their views
	// of the number of instances.
	usedRatioShare = 0.85
	usedSlackShare = 0.35
	// minBurst is the minimum number of tokens besides the reserve that an
	// instance may accumulate, so that it can retry at all in a large fleet.
	minBurst = 1.2
	// maxSavedShare bounds the tokens saved from earlier requests, over all
	// instances, as a share of Slack. Within a window the instances then
	// spend at most 2*usedSlackShare + maxSavedShare of Slack, in addition to
	// the ratio and the reserve.
	maxSavedShare = 0.25
)

// Budget holds this instance's part of the retry budget of each service: an
// equal part of the slack, and the ratio of its own requests. It needs no
// messages between instances.
type Budget struct {
	cfg BudgetConfig

	mu        sync.Mutex
	instances int
	services  map[model.Service]*tokens
}

// tokens are the tokens of a service: slack is refilled over time, and saved
// grows with each request. saved is negative after callers' retries beyond the
// budget.
type tokens struct {
	slack, saved float64
	at           time.Time
	// failureRate is a moving average; 1 if every recent attempt failed.
	failureRate float64
}

// NewBudget returns the retry budget of an instance that shares it with no
// others; see SetInstances.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, instances: 1, services: map[model.Service]*tokens{}}
}

// SetInstances sets the number of instances that share the budget.
func (b *Budget) SetInstances(n int) {
	b.mu.Lock()
	b.instances = max(n, 1)
	b.mu.Unlock()
}

// burst returns the maximum number of slack tokens.
func (b *Budget) burst() float64 {
	return max(b.cfg.Slack*usedSlackShare/float64(b.instances), minBurst+b.cfg.Reserve)
}

// maxSaved returns the maximum number of tokens saved from requests.
func (b *Budget) maxSaved() float64 {
	return max(b.cfg.Slack*maxSavedShare/float64(b.instances), 1)
}

// tokens returns the tokens of a service, refilled up to now.
func (b *Budget) tokens(s model.Service, now time.Time) *tokens {
	t := b.services[s]
	if t == nil {
		t = &tokens{slack: b.burst(), at: now}
		b.services[s] = t
		return t
	}
	rate := b.cfg.Slack * usedSlackShare / float64(b.instances) / b.cfg.Window.Seconds()
	t.slack = min(t.slack+rate*now.Sub(t.at).Seconds(), b.burst())
	t.at = now
	return t
}

// Deposit counts a request for the service.
func (b *Budget) Deposit(s model.Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tokens(s, now)
	t.saved = min(t.saved+b.cfg.Ratio*usedRatioShare, b.maxSaved())
}

// Withdraw takes the token for a retry and reports whether one was available.
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

// WithdrawSpare is like Withdraw but leaves the reserve.
func (b *Budget) WithdrawSpare(s model.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tokens(s, now)
	switch {
	case t.saved >= 1:
		t.saved--
	case t.slack >= 1+b.cfg.Reserve:
		t.slack--
	default:
		return false
	}
	return true
}

// AllowCallerRetry counts a retry made by a caller and reports whether to
// serve it. It takes a token like a retry of this instance, so that the
// retries of callers and instances do not multiply. A retry beyond the budget
// is refused only while the service fails, because it would just add
// attempts. In an overload it is served like other requests, because its
// caller was told to retry.
func (b *Budget) AllowCallerRetry(s model.Service, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tokens(s, now)
	covered := t.saved >= 1
	t.saved = max(t.saved-1, -b.maxSaved())
	return covered || t.failureRate <= failingThreshold
}

const (
	// failingThreshold is the failure rate above which a service counts as
	// failing.
	failingThreshold = 0.5
	// failureWeight is the weight of one attempt in the failure rate.
	failureWeight = 0.05
)

// RecordAttempt records whether an attempt failed.
func (b *Budget) RecordAttempt(s model.Service, failed bool, now time.Time) {
	x := 0.0
	if failed {
		x = 1
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tokens(s, now)
	t.failureRate += failureWeight * (x - t.failureRate)
}

// Available returns the number of available tokens, for logs and metrics.
func (b *Budget) Available(s model.Service, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.tokens(s, now)
	return t.saved + t.slack
}
