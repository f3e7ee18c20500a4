package policytest

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/model"
)

const (
	naiveQueueLimit  = 1000
	naiveMaxAttempts = 3
)

// naive is an instance of the baseline: a fixed limit of requests in flight, a
// FIFO queue, a random endpoint for each attempt, and immediate retries up to
// naiveMaxAttempts.
type naive struct {
	transport *transport
	rnd       *rand.Rand

	mu        sync.Mutex
	endpoints []model.Endpoint
	freeSlots int
	waiting   []chan struct{}
}

func (n *naive) setEndpoints(list []model.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endpoints = nil
	for _, e := range list {
		if !e.Leaving {
			n.endpoints = append(n.endpoints, e)
		}
	}
}

// do implements doer.
func (n *naive) do(ctx context.Context, req callerRequest) result {
	if !n.acquire(ctx) {
		return result{outcome: model.OutcomeNotRun, retryAfter: time.Second}
	}
	defer n.release()
	time.Sleep(n.transport.staggerer.next())
	res := result{outcome: model.OutcomeNotRun}
	for attempts := 0; attempts < naiveMaxAttempts && ctx.Err() == nil; attempts++ {
		call := &exchange.Call{Target: requestPath(req.priority, req.serviceTime), RequireRecent: !req.repeatable, Deadline: req.deadline}
		r := n.transport.Do(ctx, exchange.Target{ID: n.pickRandom().ID}, call)
		switch {
		case r.Outcome == exchange.Answered && r.Status < http.StatusInternalServerError:
			return result{outcome: model.OutcomeAnswered, status: r.Status}
		case r.Outcome == exchange.Unknown, r.Outcome == exchange.Abandoned:
			res.outcome = model.OutcomeUnknown
			if !req.repeatable {
				return res
			}
		}
	}
	return res
}

func (n *naive) pickRandom() model.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endpoints[n.rnd.IntN(len(n.endpoints))]
}

func (n *naive) acquire(ctx context.Context) bool {
	n.mu.Lock()
	if n.freeSlots > 0 {
		n.freeSlots--
		n.mu.Unlock()
		return true
	}
	if len(n.waiting) >= naiveQueueLimit {
		n.mu.Unlock()
		return false
	}
	granted := make(chan struct{})
	n.waiting = append(n.waiting, granted)
	n.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		n.cancelWait(granted)
		return false
	}
}

func (n *naive) cancelWait(granted chan struct{}) {
	n.mu.Lock()
	for i, w := range n.waiting {
		if w == granted {
			n.waiting = append(n.waiting[:i], n.waiting[i+1:]...)
			n.mu.Unlock()
			return
		}
	}
	n.mu.Unlock()
	n.release()
}

func (n *naive) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.waiting) == 0 {
		n.freeSlots++
		return
	}
	close(n.waiting[0])
	n.waiting = n.waiting[1:]
}
