package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/platform"
)

// listPoller reads the platform's list and keeps the last good reading.
type listPoller struct {
	source platform.Source
	every  time.Duration
	log    events.Logger
	last   atomic.Pointer[reading]
}

// reading is one reading of the list and when it was asked for.
type reading struct {
	listing platform.Listing
	at      time.Time
}

func newListPoller(src platform.Source, every time.Duration, log events.Logger) *listPoller {
	p := &listPoller{source: src, every: every, log: log}
	p.last.Store(&reading{})
	return p
}

func (p *listPoller) listing() platform.Listing {
	return p.last.Load().listing
}

func (p *listPoller) run(ctx context.Context) {
	tick := time.NewTicker(p.every)
	defer tick.Stop()
	failing := false
	for {
		failing = p.poll(ctx, failing)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// poll reads the list once. It logs only the changes between failing and not.
func (p *listPoller) poll(ctx context.Context, failing bool) bool {
	asked := time.Now()
	l, err := p.source.List(ctx)
	if ctx.Err() != nil {
		return failing
	}
	if err != nil {
		if !failing {
			p.log.Log(events.ListUnavailable).Err(err).Send()
		}
		return true
	}
	if failing {
		p.log.Log(events.ListAvailable).Send()
	}
	p.last.Store(&reading{listing: l, at: asked})
	return false
}
