package client

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxTokens is the capacity of the retry budget in retries. It is also the
	// initial balance, so that the first requests of a process can be retried.
	maxTokens = 10
	// backoffBase and backoffCap are the initial and the greatest upper limit
	// of the random wait before a retry.
	backoffBase = 10 * time.Millisecond
	backoffCap  = time.Second
)

// budget is a token bucket that limits retries to a fraction of requests.
type budget struct {
	ratio float64

	mu     sync.Mutex
	tokens float64
}

func newBudget(ratio float64) *budget { return &budget{ratio: ratio, tokens: maxTokens} }

// deposit adds the tokens of one request.
func (b *budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, maxTokens)
}

// withdraw takes the token for one retry. It returns false if there is none.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// backoff waits for a random time whose upper limit doubles with each attempt
// (full jitter), but at least minWait. It returns false without waiting if the
// deadline comes first, and false as soon as the context is canceled.
func backoff(ctx context.Context, attempt int, minWait time.Duration) bool {
	maxBackoff := min(backoffBase<<min(attempt, 10), backoffCap)
	wait := max(minWait, rand.N(maxBackoff))
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
