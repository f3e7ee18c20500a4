package daemon

import (
	"expvar"
	"time"
)

// PublishVars publishes the counters at /debug/vars of the control address. It
// may be called only once in a process, because expvar names are global. A
// process that runs several instances must not call it.
func (d *Daemon) PublishVars() {
	for name, v := range d.vars() {
		expvar.Publish(name, v)
	}
}

func (d *Daemon) vars() map[string]expvar.Var {
	return map[string]expvar.Var{
		"requests":    &d.engine.Metrics().Requests,
		"latency_ms":  expvar.Func(func() any { return d.engine.Metrics().Latencies() }),
		"endpoints":   expvar.Func(func() any { return d.table.Counts(time.Now()) }),
		"connections": expvar.Func(func() any { return d.client.Stats() }),
		"probes":      &d.probes,
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
