package serve

import (
	"context"
	"net/http"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/steering"
)

// probe runs health probes of the endpoints that are down.
func (in *Instance) probe(ctx context.Context) {
	forward.Prober{Table: in.table, Transport: in.client, Log: in.log,
		Healthy: func(status int) bool { return status == http.StatusOK },
		Count:   func() { in.counters.probes.Add(1) }, OnLeaving: in.endpointLeaving}.Run(ctx)
}

// endpointDown is called when an endpoint has become unreachable. It closes the
// connections to the endpoint and confirms a crash for the requests whose
// connections broke.
func (in *Instance) endpointDown(e steering.Endpoint, err error) {
	in.client.Drop(e.ID)
	in.crashes.endpointEnded(e.ID)
	in.log.Log(events.EndpointHealth).Str("endpoint", string(e.ID)).Str("service", string(e.Service)).
		Bool("up", false).AnErr("error", err).Send()
}
