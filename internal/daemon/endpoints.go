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
	// probePath is what a probe asks for. Any answer below status 500 counts,
	// so that endpoints without such a path pass.
	probePath = "/healthz"
	// endpointConns is how many connections an endpoint holds.
	endpointConns = 700
	// retryRatio, retrySlack and retryWindow are the budget of repeated
	// attempts of all instances: a tenth of the requests of a service, and a
	// few a second for services with little work.
	retryRatio, retrySlack = 0.1, 40
	retryWindow            = 10 * time.Second
	// noShiftLimit leaves the share of requests in other regions to the route,
	// which knows the operators' caps.
	noShiftLimit = 1
)

func (d *Daemon) buildEndpoints() {
	d.table = steering.New(steering.Config{Self: d.settings.Instance, Domain: d.settings.Domain, Region: d.settings.Region,
		MaxShift: noShiftLimit, NoPeerLoads: true, Rand: newRand()})
	d.roster = roster.New(d.table, d.endpointChanged)
	bounds := exchange.Default()
	bounds.RequireFraming = true
	// An open connection may have gone silent; a new one has not.
	bounds.RecentUse = 0
	d.client = exchange.New(bounds, wire.EndpointHeaders{})
	d.budget = forward.NewBudget(forward.BudgetConfig{Ratio: retryRatio, Slack: retrySlack, Window: retryWindow})
}

// endpointChanged notes a change of the list of endpoints.
func (d *Daemon) endpointChanged(id model.EndpointID, change string) {
	if change != "added" {
		d.client.Drop(id)
	}
	d.log.Log(events.EndpointChanged).Str("endpoint", string(id)).Str("change", change).Send()
}

// endpointDown notes that an endpoint cannot be reached.
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

// setServices puts the services of the rules in force.
func (d *Daemon) setServices(set *rules.Set, revision uint64) {
	var services []desired.Service
	for name := range set.Services {
		services = append(services, desired.Service{Name: name, HealthPath: probePath, MaxConnections: endpointConns})
	}
	state := desired.New(desired.Version(revision), nil, services, desired.Limits{})
	d.table.SetServices(state.Services)
	d.state.Store(state)
}

// instanceCount is the number of instances that share endpoints and budgets.
func (d *Daemon) instanceCount() int { return max(int(d.instances.Load()), 1) }

// setInstances takes the number of listed instances.
func (d *Daemon) setInstances(n int) {
	d.instances.Store(int64(n))
	d.budget.SetInstances(max(n, 1))
}
