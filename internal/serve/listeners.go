package serve

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/directory"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
	"jujubestile.example/jujubestile/platform"
)

// listeners holds the running servers of an instance.
type listeners struct {
	requests *http.Server
	callers  forward.Listener
	others   []*http.Server
	rpc      *peer.Server
	socket   *fleet.Socket
}

const (
	// headerTimeout bounds reading a request's header. It is above the header
	// timeout in the desired state, which callers keep to and which is at most
	// 10 s in practice.
	headerTimeout = 15 * time.Second
	// idleTimeout bounds how long a connection stays open without a request. It is
	// above the idle timeout in the desired state, which callers keep to, so that
	// no caller reuses an idle connection just as the server closes it.
	idleTimeout = 3 * time.Minute
	// maxHeaderBytes bounds a request's header before a desired state is known. Then
	// the guard closes connections whose header section exceeds the limit in force:
	// net/http's limit cannot change while a server runs.
	maxHeaderBytes = 64 << 10
	// otherWriteTimeout bounds sending an answer to a lookup, a readiness probe or a
	// reader of the metrics, which have some KB.
	otherWriteTimeout = 10 * time.Second
)

func (in *Instance) listen() (*listeners, error) {
	l := &listeners{}
	socket, err := fleet.Listen(in.settings.Listen.Peer)
	if err != nil {
		return nil, errors.Annotate(err, "listen.peer")
	}
	socket.Malformed = func(err error) { in.log.Log(events.MalformedUpdate).Err(err).Send() }
	in.socket, l.socket = socket, socket
	if err := in.serveCalls(l); err != nil {
		return nil, errors.Annotate(err, "listen.peer")
	}
	if err := in.serveRequests(l); err != nil {
		return nil, errors.Annotate(err, "listen.requests")
	}
	lookups := chi.NewRouter()
	lookups.Method(http.MethodGet, platform.PathLookup, platform.LookupHandler(in.lookup))
	ready := chi.NewRouter()
	ready.Method(http.MethodGet, platform.PathReady, platform.ReadyHandler(in.ready))
	metrics := chi.NewRouter()
	metrics.Get("/debug/vars", in.serveMetrics)
	for name, s := range map[string]struct {
		addr    netip.AddrPort
		handler http.Handler
	}{
		"listen.lookups": {in.settings.Listen.Lookups, lookups},
		"listen.ready":   {in.settings.Listen.Ready, ready},
		"listen.metrics": {in.settings.Listen.Metrics, metrics},
	} {
		if !s.addr.IsValid() {
			continue
		}
		if err := in.serveOther(l, s.addr, s.handler); err != nil {
			return nil, errors.Annotate(err, name)
		}
	}
	return l, nil
}

func (in *Instance) serveCalls(l *listeners) error {
	ln, err := net.Listen("tcp", in.settings.Listen.Peer.String())
	if err != nil {
		return errors.Trace(err)
	}
	l.rpc = peer.NewServer(peer.ServerOptions{LargeBytes: in.settings.peerMemory()})
	if err := l.rpc.Register(stateService, &State{in}); err != nil {
		return errors.Trace(err)
	}
	go func() { _ = l.rpc.Serve(ln) }() // Ends with close.
	return nil
}

func (in *Instance) serveRequests(l *listeners) error {
	ln, err := in.listenCallers(in.settings.Listen.Requests.String())
	if err != nil {
		return errors.Trace(err)
	}
	limit, _ := in.settings.connLimits()
	l.callers = in.guard.Listener(ln, limit)
	l.requests = &http.Server{Handler: in.handler, ConnContext: forward.ConnContext, ConnState: forward.ConnState, ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() { _ = l.requests.Serve(l.callers) }() // Ends with close.
	return nil
}

// serveOther serves requests that need no body and get short answers.
func (in *Instance) serveOther(l *listeners, addr netip.AddrPort, h http.Handler) error {
	ln, err := in.listenCallers(addr.String())
	if err != nil {
		return errors.Trace(err)
	}
	s := &http.Server{Handler: in.guard.Handler(h), ConnContext: forward.ConnContext, ConnState: forward.ConnState, ReadHeaderTimeout: headerTimeout,
		WriteTimeout: otherWriteTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	l.others = append(l.others, s)
	_, limit := in.settings.connLimits()
	go func() { _ = s.Serve(in.guard.Listener(ln, limit)) }() // Ends with close.
	return nil
}

func (l *listeners) close() {
	_ = l.requests.Close()
	for _, s := range l.others {
		_ = s.Close()
	}
	l.rpc.Close()
	_ = l.socket.Close()
}

// lookup returns the instances that a caller should use.
func (in *Instance) lookup(q directory.Query) directory.Answer {
	instances := append(in.members.Alive(), in.presence())
	var allowedRegions map[model.Region]bool
	if s := in.state.Load(); s != nil {
		allowedRegions, _ = s.AllowedRegions(q.Host)
	}
	in.counters.lookups.Add(1)
	return directory.Choose(q, instances, allowedRegions)
}

// drain moves callers to other instances and waits for the requests in flight and for
// callers that still receive answers:
// lookups stop naming the instance at once, and connections are closed after
// their responses. Requests are sent to endpoints as long as they can be finished
// before the process stops, after stopFraction of the grace period, and are refused
// from then on.
func (in *Instance) drain(l *listeners) {
	grace := time.Duration(in.settings.Bounds.Grace)
	started := time.Now()
	end := started.Add(min(time.Duration(stopFraction*float64(grace)), grace-exitTime))
	in.leaving.Store(true)
	in.handler.StopAt(started, end)
	in.ready()
	in.log.Log(events.Leaving).Dur("grace_ms", grace).Int("in_flight", in.handler.InFlight()).Send()
	in.heartbeatNow.Store(true)
	in.handler.CloseConnections()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	time.Sleep(min(lookupsKept, time.Until(end)-idleBeforeExit))
	in.awaitIdle(ctx)
	// The shutdown of the listener would cut a request that arrives from here on.
	in.handler.Refuse()
	in.awaitAnswered(ctx, l)
	in.handler.Wait(ctx)
	closeCtx, cancelClose := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelClose()
	_ = l.requests.Shutdown(closeCtx)
	for _, s := range l.others {
		_ = s.Shutdown(closeCtx)
	}
	in.awaitAnswered(ctx, l)
	l.callers.LogUnfinished(in.log)
	in.log.Log(events.Stopped).Int("cut", in.handler.InFlight()).Dur("took_ms", time.Since(started)).Send()
}

const (
	// stopFraction is the fraction of the shutdown grace period (Bounds.Grace) after
	// which the process exits even if requests are in flight.
	stopFraction = 0.95
	// lookupsKept is how long after its last lookup a caller may use an instance.
	// Until then the process does not exit although no request is in flight.
	lookupsKept = 3 * directory.TTL
	// idleBeforeExit is how long no request may be in flight for the process to
	// exit before stopFraction of the grace period is over.
	idleBeforeExit = 300 * time.Millisecond
	// exitTime is what is left of the grace period for all that follows the wait for
	// requests: closing connections, withdrawing the announcement, and writing the log,
	// which is bounded by logTime.
	exitTime = closeTimeout + withdrawTimeout + logTime + 80*time.Millisecond
	logTime  = 100 * time.Millisecond
	// closeTimeout bounds the wait for connections that have sent a part of a first
	// request.
	closeTimeout = 20 * time.Millisecond
)

// awaitIdle waits until no request has been in flight for idleBeforeExit.
func (in *Instance) awaitIdle(ctx context.Context) {
	const step = 50 * time.Millisecond
	for quiet := time.Duration(0); quiet < idleBeforeExit; quiet += step {
		if in.handler.InFlight() > 0 {
			quiet = 0
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(step):
		}
	}
}

// awaitAnswered waits until no request is in flight and the callers have received all
// answers.
func (in *Instance) awaitAnswered(ctx context.Context, l *listeners) {
	const step = 10 * time.Millisecond
	for in.handler.InFlight() > 0 || l.callers.Owing() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(step):
		}
	}
}

// counters holds the instance's own counters for the metrics: answered lookups,
// outages, restores and compactions of the store, fetches of changes from other
// instances that advanced the copy, and health probes.
type counters struct {
	lookups, storeLost, storeRestored, storeCompacted, changesFetched, probes expvar.Int
	statesFetched, stateBytesFetched, fetchesFailed, statesRejected           expvar.Int
	lease                                                                     leaseCounters
}

// serveMetrics writes the counters as one JSON object.
func (in *Instance) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	_ = enc.Encode(in.vars()) // An error means that the client has disconnected.
}

func (in *Instance) vars() map[string]any {
	now := time.Now()
	at, age := in.copy.Position(now)
	v := map[string]any{
		"requests":         json.RawMessage(in.handler.Metrics().Requests.String()),
		"latency_ms":       in.handler.Metrics().Latencies(),
		"in_flight":        in.handler.InFlight(),
		"in_line":          in.handler.Waiting(),
		"endpoints":        in.table.Counts(now),
		"connections":      in.client.Stats(),
		"instances":        in.instanceCount(),
		"messages_sent":    in.socket.Sent(),
		"lookups":          in.counters.lookups.Value(),
		"probes":           in.counters.probes.Value(),
		"store_lost":       in.counters.storeLost.Value(),
		"snapshots_taken":  in.counters.changesFetched.Value(),
		"states_fetched":   in.counters.statesFetched.Value(),
		"state_bytes":      in.counters.stateBytesFetched.Value(),
		"fetches_failed":   in.counters.fetchesFailed.Value(),
		"states_rejected":  in.counters.statesRejected.Value(),
		"rejected_state":   in.rejected.Load(),
		"store_restored":   in.counters.storeRestored.Value(),
		"store_compacted":  in.counters.storeCompacted.Value(),
		"store_era":        uint64(at.Era),
		"store_revision":   at.Revision,
		"store_age_ms":     age.Milliseconds(),
		"store_calls":      in.store.Calls(),
		"up_s":             now.Sub(in.started).Seconds(),
		"ready":            in.notReady() == "",
		"retry_budget":     in.retryBudgets(now),
		"desired_state":    uint64(0),
		"desired_routes":   0,
		"shift_limited_by": in.settings.Bounds.MaxShift,
		"tenants":          in.quotas.metrics(),
		"bounds":           in.guard.Stats(),
		"departures":       in.departures.vars(),
		"message_delay_ms": in.messageDelay(now).Milliseconds(),
	}
	in.leaseVars(v)
	v["missing_state"] = in.missing.vars(in, now)
	if s := in.state.Load(); s != nil {
		v["desired_state"], v["desired_routes"] = uint64(s.Version), s.Routes()
	}
	return v
}

func (in *Instance) retryBudgets(now time.Time) map[string]float64 {
	out := map[string]float64{}
	if s := in.state.Load(); s != nil {
		for name := range s.Services {
			out[string(name)] = in.budget.Available(name, now)
		}
	}
	return out
}
