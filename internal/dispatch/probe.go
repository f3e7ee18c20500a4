package dispatch

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// probePause is how often ejected endpoints are checked for due probes.
	probePause = 250 * time.Millisecond
	// probeTimeout ends a probe. A probe takes about 6 ms.
	probeTimeout = 500 * time.Millisecond
	// maxProbes bounds the probes in flight.
	maxProbes = 16
)

// Prober checks whether an endpoint accepts connections and work, without
// running a request.
type Prober interface {
	Probe(ctx context.Context, e model.Endpoint) error
}

// Probed is a Balancer whose ejected endpoints are probed before they return.
type Probed interface {
	// DueProbes returns the endpoints to probe now.
	DueProbes(now time.Time) []model.Endpoint
	// Probed takes the result of a probe.
	Probed(now time.Time, id model.EndpointID, ok bool)
}

// RunProbes probes ejected endpoints until the context ends. Without it, a
// caller's request is the probe of an ejected endpoint, and if the endpoint is
// lost, the request and its slot are, until its deadline.
func RunProbes(ctx context.Context, b Probed, p Prober) {
	var probes errgroup.Group
	probes.SetLimit(maxProbes)
	defer func() { _ = probes.Wait() }()
	tick := time.NewTicker(probePause)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, e := range b.DueProbes(now) {
				probes.Go(func() error {
					probe(ctx, b, p, e)
					return nil
				})
			}
		}
	}
}

func probe(ctx context.Context, b Probed, p Prober, e model.Endpoint) {
	limited, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := p.Probe(limited, e)
	b.Probed(time.Now(), e.ID, err == nil)
}
