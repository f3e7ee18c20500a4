package policytest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/dispatch"
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

// Do implements doer.
func (n *naive) Do(ctx context.Context, r *dispatch.Request, _ dispatch.Claim) dispatch.Result {
	if !n.enter(ctx) {
		return dispatch.Result{Outcome: model.OutcomeNotRun, RetryAfter: time.Second}
	}
	defer n.exit()
	time.Sleep(n.transport.spacer.next())
	res := dispatch.Result{Outcome: model.OutcomeNotRun}
	for res.Attempts < naiveAttempts && ctx.Err() == nil {
		res.Attempts++
		response, err := n.transport.Send(ctx, n.pick(), r)
		switch {
		case err == nil && response.Status < 500:
			res.Outcome, res.Response = model.OutcomeAnswered, response
			return res
		case errors.Is(err, dispatch.ErrInterrupted):
			res.Outcome = model.OutcomeUnknown
			if !r.Repeatable {
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
