package daemon

import (
	"expvar"
	"fmt"

	"jujubestile.example/jujubestile/internal/dispatch"
)

// metrics are the counters of one instance, in the form of expvar. They are
// not published under a global name, because several instances may run in one
// process.
type metrics struct {
	// outcomes counts requests by priority, outcome and reason.
	outcomes expvar.Map
	// attempts counts attempts at endpoints by service.
	attempts expvar.Map
}

func (d *Daemon) count(r *dispatch.Request, res dispatch.Result) {
	d.metrics.outcomes.Add(fmt.Sprintf("priority=%s outcome=%s reason=%s", r.Priority, res.Outcome, res.Reason), 1)
	d.metrics.attempts.Add(string(r.Service), int64(res.Attempts))
}

// PublishVars shows the counters at /debug/vars of the control address. It may
// be called once in a process.
func (d *Daemon) PublishVars() {
	for name, v := range d.vars() {
		expvar.Publish(name, v)
	}
}

func (d *Daemon) vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"requests":    &d.metrics.outcomes,
		"attempts":    &d.metrics.attempts,
		"peer_calls":  expvar.Func(func() any { return d.pool.Stats() }),
		"peer_server": expvar.Func(func() any { return d.rpc.Stats() }),
		"membership":  expvar.Func(func() any { return d.members.Stats() }),
		"lookups":     expvar.Func(func() any { return d.lookups.Stats() }),
		"in_flight":   expvar.Func(func() any { return d.entry.InFlight() }),
		"admission":   expvar.Func(d.admissionVars),
	}
}

func (d *Daemon) admissionVars() any {
	out := make(map[string]any)
	if set := d.rules.Rules(); set != nil {
		for s := range set.Services {
			out[string(s)] = d.admission.Load(s)
		}
	}
	return out
}
