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
		for _, due := range p.Table.Probes() {
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
	up := p.Table.RecordProbe(due.ID, steering.ProbeResult{Reached: reached, Healthy: reached && p.Healthy(res.Status),
		ColdFor: res.Fields.ColdFor}, time.Now())
	if up {
		p.Log.Log(events.EndpointHealth).Str("endpoint", string(due.ID)).Bool("up", true).Int("status", res.Status).
			Dur("cold_ms", res.Fields.ColdFor).Send()
	}
}
