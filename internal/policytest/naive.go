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
	naiveQueue    = 1000
	naiveAttempts = 3
)

// naive is the baseline: a fixed limit of requests in flight, first come first
// served, a random endpoint of the list, up to three attempts at once.
type naive struct {
	transport *transport
	rnd       *rand.Rand

	mu      sync.Mutex
	list    []model.Endpoint
	free    int
	waiting []chan struct{}
}

func (n *naive) setEndpoints(list []model.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.list = nil
	for _, e := range list {
		if !e.Leaving {
			n.list = append(n.list, e)
		}
	}
}

// do implements doer.
func (n *naive) do(ctx context.Context, w work) result {
	if !n.enter(ctx) {
		return result{outcome: model.OutcomeNotRun, retryAfter: time.Second}
	}
	defer n.exit()
	time.Sleep(n.transport.spacer.next())
	res := result{outcome: model.OutcomeNotRun}
	for attempts := 0; attempts < naiveAttempts && ctx.Err() == nil; attempts++ {
		call := &exchange.Call{Target: targetOf(w.priority, w.time), RequireRecent: !w.repeatable, Deadline: w.deadline}
		r := n.transport.Do(ctx, exchange.Target{ID: n.pick().ID}, call)
		switch {
		case r.Outcome == exchange.Answered && r.Status < http.StatusInternalServerError:
			return result{outcome: model.OutcomeAnswered, status: r.Status}
		case r.Outcome == exchange.Unknown, r.Outcome == exchange.Abandoned:
			res.outcome = model.OutcomeUnknown
			if !w.repeatable {
				return res
			}
		}
	}
	return res
}

func (n *naive) pick() model.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.list[n.rnd.IntN(len(n.list))]
}

func (n *naive) enter(ctx context.Context) bool {
	n.mu.Lock()
	if n.free > 0 {
		n.free--
		n.mu.Unlock()
		return true
	}
	if len(n.waiting) >= naiveQueue {
		n.mu.Unlock()
		return false
	}
	turn := make(chan struct{})
	n.waiting = append(n.waiting, turn)
	n.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		n.giveUp(turn)
		return false
	}
}

func (n *naive) giveUp(turn chan struct{}) {
	n.mu.Lock()
	for i, w := range n.waiting {
		if w == turn {
			n.waiting = append(n.waiting[:i], n.waiting[i+1:]...)
			n.mu.Unlock()
			return
		}
	}
	n.mu.Unlock()
	n.exit()
}

func (n *naive) exit() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.waiting) == 0 {
		n.free++
		return
	}
	close(n.waiting[0])
	n.waiting = n.waiting[1:]
}
