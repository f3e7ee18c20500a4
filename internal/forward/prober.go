package forward

import (
	"context"
	"net/http"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/steering"
)

const (
	// probeInterval is the time between two probes of an endpoint that is
	// down.
	probeInterval = 400 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 600 * time.Millisecond
)

// Prober probes endpoints that are down.
type Prober struct {
	Table     *steering.Table
	Transport Transport
	Log       events.Logger
	// Healthy reports whether the status of a probe's response means that the
	// endpoint is healthy.
	Healthy func(status int) bool
	// Count is called for each probe.
	Count func()
	// OnLeaving is called when a response has shown that an endpoint is leaving. It
	// may be nil.
	OnLeaving func(steering.Endpoint)
}

// Run sends probes until ctx is done.
func (p Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, due := range p.Table.Probes(time.Now()) {
			go p.probe(ctx, due)
		}
	}
}

func (p Prober) probe(ctx context.Context, due steering.Probe) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p.Count()
	res := p.Transport.Do(ctx, exchange.Target{ID: due.ID, Addr: due.Addr}, &exchange.Call{Method: http.MethodGet, Target: due.Path,
		Host: due.Addr.String(), Deadline: time.Now().Add(probeTimeout)})
	own := res.Fields.Endpoint == "" || res.Fields.Endpoint == string(due.ID)
	reached := own && (res.Outcome == exchange.Answered || res.Outcome == exchange.NotRun) && !res.Fields.Misdirected
	if own && !res.Fields.Misdirected {
		p.recordWishes(due.Endpoint, res.Fields)
		p.Table.RecordSpeed(due.Endpoint, res.Fields.Load.Speed, time.Now())
	}
	up := p.Table.RecordProbe(due.ID, steering.ProbeResult{Reached: reached, Healthy: reached && p.Healthy(res.Status),
		ColdFor: res.Fields.ColdFor}, time.Now())
	if up {
		p.Log.Log(events.EndpointHealth).Str("endpoint", string(due.ID)).Bool("up", true).Int("status", res.Status).
			Dur("cold_ms", res.Fields.ColdFor).Send()
	}
}

// recordWishes records what an endpoint has said about further requests.
func (p Prober) recordWishes(to steering.Endpoint, f exchange.ResponseFields) {
	now := time.Now()
	if f.Leaving && p.Table.RecordLeaving(to, now) && p.OnLeaving != nil {
		p.OnLeaving(to)
	}
	if f.RetryAfter > 0 {
		p.Table.Pause(to, f.RetryAfter, now)
	}
}
