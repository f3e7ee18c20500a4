package daemon

import (
	"net/http"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/roster"
	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/steering"
	"jujubestile.example/jujubestile/internal/wire"
)

const (
	// probePath is the path that a probe requests. Any response with a status
	// below 500 passes, so that endpoints without this path pass too.
	probePath = "/healthz"
	// endpointConns is the largest number of connections to an endpoint.
	endpointConns = 700
	// retryRatio, retrySlack and retryWindow define the retry budget of all
	// instances together: a tenth of the requests of a service, and a few
	// retries per second for services with few requests.
	retryRatio, retrySlack = 0.1, 40
	// retryReserve is the number of retries of each instance that are kept for
	// critical requests.
	retryReserve = 1
	retryWindow  = 10 * time.Second
	// noShiftLimit disables the shift limit of the steering table. The router
	// limits the share of requests in other regions, because it knows the
	// operators' caps.
	noShiftLimit = 1
)

func (d *Daemon) buildEndpoints() {
	d.table = steering.New(steering.Config{Self: d.settings.Instance, Domain: d.settings.Domain, Region: d.settings.Region,
		MaxShift: noShiftLimit, NoPeerLoads: true, Rand: newRand()})
	d.roster = roster.New(d.table, d.endpointChanged)
	cfg := exchange.Default()
	cfg.RequireFraming = true
	// Requests that require a recently used connection get a new one, because
	// any idle connection may be broken without notice.
	cfg.RecentUse = 0
	d.client = exchange.New(cfg, wire.EndpointHeaders{})
	d.budget = forward.NewBudget(forward.BudgetConfig{Ratio: retryRatio, Slack: retrySlack, Window: retryWindow, Reserve: retryReserve})
}

// endpointChanged closes the connections to an endpoint that has changed in the
// platform's list, and logs the change.
func (d *Daemon) endpointChanged(id model.EndpointID, change string) {
	if change != "added" {
		d.client.Drop(id)
	}
	d.log.Log(events.EndpointChanged).Str("endpoint", string(id)).Str("change", change).Send()
}

// endpointDown closes the connections to an endpoint that cannot be reached,
// and logs it.
func (d *Daemon) endpointDown(e steering.Endpoint, err error) {
	d.client.Drop(e.ID)
	d.log.Log(events.EndpointHealth).Str("endpoint", string(e.ID)).Str("service", string(e.Service)).
		Bool("up", false).AnErr("error", err).Send()
}

func (d *Daemon) prober() forward.Prober {
	return forward.Prober{Table: d.table, Transport: d.client, Log: d.log,
		Healthy: func(status int) bool { return status < http.StatusInternalServerError },
		Count:   func() { d.probes.Add(1) }}
}

// setServices applies the services that a revision of the rules defines.
func (d *Daemon) setServices(set *rules.Set, revision uint64) {
	var services []desired.Service
	for name := range set.Services {
		services = append(services, desired.Service{Name: name, HealthPath: probePath, MaxConnections: endpointConns})
	}
	state := desired.New(desired.Version(revision), nil, services, desired.Limits{})
	d.table.SetServices(state.Services)
	d.state.Store(state)
}

// instanceCount returns the number of instances that share endpoints and budgets.
func (d *Daemon) instanceCount() int { return max(int(d.instances.Load()), 1) }

// setInstances sets the number of instances in the platform's list.
func (d *Daemon) setInstances(n int) {
	d.instances.Store(int64(n))
	d.budget.SetInstances(max(n, 1))
}
