package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/dispatch"
	"jujubestile.example/jujubestile/internal/model"
)

type probes struct {
	mu      sync.Mutex
	due     []model.Endpoint
	results map[model.EndpointID]bool
	begin   time.Time
	slowest time.Duration
}

func (p *probes) DueProbes(time.Time) []model.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	due := p.due
	p.due = nil
	return due
}

func (p *probes) Probed(_ time.Time, id model.EndpointID, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results[id] = ok
	if ok {
		p.slowest = max(p.slowest, time.Since(p.begin))
	}
}

func (p *probes) Probe(ctx context.Context, e model.Endpoint) error {
	switch e.ID {
	case "refuses":
		return errors.New("connection refused")
	case "silent":
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

// Guards against ejected endpoints that never return because a silent one
// keeps the probes waiting, and against probes after the end.
func TestRunProbes(t *testing.T) {
	p := &probes{results: map[model.EndpointID]bool{}}
	for range 20 {
		p.due = append(p.due, model.Endpoint{ID: "silent"})
	}
	p.due = append(p.due, model.Endpoint{ID: "refuses"}, model.Endpoint{ID: "well"})
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		p.begin = time.Now()
		dispatch.RunProbes(ctx, p, p)
	})
	if p.slowest > 1500*time.Millisecond {
		t.Errorf("the probe of a good endpoint ended after %v", p.slowest)
	}
	want := map[model.EndpointID]bool{"silent": false, "refuses": false, "well": true}
	for id, ok := range want {
		if got, done := p.results[id]; !done || got != ok {
			t.Errorf("probe of %s: done %v, result %v", id, done, got)
		}
	}
}
