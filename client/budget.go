package client

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// budgetCap is how many retries can be saved up. It is also the first
	// balance, so that the first requests of a process can be retried.
	budgetCap = 10
	// backoffBase and backoffCap bound the random wait before a retry.
	backoffBase = 10 * time.Millisecond
	backoffCap  = time.Second
)

// budget bounds retries to a fraction of requests.
type budget struct {
	ratio float64

	mu     sync.Mutex
	tokens float64
}

func newBudget(ratio float64) *budget { return &budget{ratio: ratio, tokens: budgetCap} }

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, budgetCap)
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// backoff waits a random time that grows with the attempts (full jitter), and
// at least the given time. It reports false if the deadline comes first.
func backoff(ctx context.Context, attempt int, least time.Duration) bool {
	most := min(backoffBase<<min(attempt, 10), backoffCap)
	wait := max(least, rand.N(most))
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait {
		return false
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
