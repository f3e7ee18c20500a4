package serve

import (
	"context"
	"net/http"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/steering"
)

// probe asks endpoints that are down whether they are back.
func (in *Instance) probe(ctx context.Context) {
	forward.Prober{Table: in.table, Transport: in.client, Log: in.log,
		Healthy: func(status int) bool { return status == http.StatusOK },
		Count:   func() { in.counters.probes.Add(1) }}.Run(ctx)
}

// endpointDown notes that an endpoint cannot be reached.
func (in *Instance) endpointDown(e steering.Endpoint, err error) {
	in.client.Drop(e.ID)
	in.crashes.ended(e.ID)
	in.log.Log(events.EndpointHealth).Str("endpoint", string(e.ID)).Str("service", string(e.Service)).
		Bool("up", false).AnErr("error", err).Send()
}
