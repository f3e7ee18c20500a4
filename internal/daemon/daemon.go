// Package daemon builds an entry instance from its settings, runs it and stops
// it gracefully.
package daemon

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/admission"
	"jujubestile.example/jujubestile/internal/capacity"
	"jujubestile.example/jujubestile/internal/configsync"
	"jujubestile.example/jujubestile/internal/control"
	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/entry"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/instancelist"
	"jujubestile.example/jujubestile/internal/ledger"
	"jujubestile.example/jujubestile/internal/lookup"
	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
	"jujubestile.example/jujubestile/internal/quarantine"
	"jujubestile.example/jujubestile/internal/roster"
	"jujubestile.example/jujubestile/internal/route"
	"jujubestile.example/jujubestile/internal/settings"
	"jujubestile.example/jujubestile/internal/shift"
	"jujubestile.example/jujubestile/internal/steering"
	"jujubestile.example/jujubestile/internal/telemetry"
	"jujubestile.example/jujubestile/platform"
)

// capacityService is the net/rpc service name that capacity.MethodBorrow and
// capacity.MethodReturn begin with.
const capacityService = "Capacity"

// Daemon is one entry instance.
type Daemon struct {
	settings    settings.Settings
	log         events.Logger
	tracer      *telemetry.Tracer
	incarnation model.Incarnation
	rand        *rand.Rand

	store        platform.KV
	source       *instancelist.Client
	pool         *peer.Pool
	rpc          *peer.Server
	members      *membership.Node
	listing      listingCache
	incarnations incarnationHistory
	notices      *membership.Notices

	rules       *configsync.State
	rulesDriver *configsync.Driver
	editor      *configsync.Editor

	signals        *route.Signals
	capacity       *capacity.State
	capacityDriver *capacity.Driver
	limiter        *shift.Limiter
	positions      *shift.Positions
	router         *route.Router
	admission      *admission.Controller
	quarantine     *quarantine.Quarantine
	table          *steering.Table
	roster         *roster.Roster
	client         *exchange.Client
	budget         *forward.Budget
	engine         *forward.Engine
	// state holds the services that the rules in force define.
	state atomic.Pointer[desired.State]
	// instances is the number of instances in the platform's list.
	instances atomic.Int64
	probes    expvar.Int
	ledger    *ledger.Ledger
	entry     *entry.Handler
	lookups   *lookup.Service

	// guard bounds what is held for callers and operators.
	guard      *forward.Guard
	servers    []*http.Server
	listeners  []forward.Listener
	background sync.WaitGroup
	// ready is set once the instance has been ready. notReadyLogged is set
	// once it is logged that the instance did not become ready in time.
	ready          atomic.Bool
	notReadyLogged atomic.Bool
	// drained is set while an operator or the rules drain the instance,
	// drainedByRules while the rules do.
	drained, drainedByRules atomic.Bool
	// lastPrefix is the key prefix that was announced last. Only maintain
	// uses it.
	lastPrefix string
	// seenTopology and seenSeq are the sequence numbers of the view that
	// updateMembers processed last.
	seenTopology, seenSeq uint64
	// dead holds the members that are logged as dead. Only maintain uses it.
	dead map[model.InstanceID]bool
}

// New builds an instance. It opens no connections; Run does.
func New(s settings.Settings, log events.Logger, tracer *telemetry.Tracer) *Daemon {
	now := time.Now()
	d := &Daemon{
		settings:    s,
		log:         log,
		tracer:      tracer,
		incarnation: model.Incarnation(now.UnixNano()),
		rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		store:       platform.KV{Store: platform.NewStore(s.Store, storeTransport())},
		source:      instancelist.NewClient(s.Platform.URL),
	}
	d.guard = d.newGuard()
	d.rpc = peer.NewServer(peer.ServerOptions{OnPanic: d.logRPCPanic})
	d.pool = peer.NewPool(func(id model.InstanceID) (netip.AddrPort, bool) { return d.members.Resolve(id) }, peer.PoolOptions{})
	d.buildRules()
	d.buildEndpoints()
	d.buildRouting()
	d.buildMembers()
	d.buildLedger()
	d.buildRequests()
	return d
}

// newRand returns a random number generator for the use of one component.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func (d *Daemon) buildRules() {
	fleet := &configsync.PeerRelayClient{Caller: d.pool, Relays: d.relays, Self: d.settings.Instance}
	isRelay := func() bool { return d.members.IsRelay() }
	d.rules = configsync.NewState(time.Now)
	d.rulesDriver = &configsync.Driver{State: d.rules, Store: d.store, Relays: fleet, IsRelay: isRelay, Rand: newRand(), Report: d.logRulesEvent}
	d.editor = &configsync.Editor{State: d.rules, Store: d.store, Relays: fleet, IsRelay: isRelay, Now: time.Now, Report: d.logRulesEvent}
}

func (d *Daemon) buildRouting() {
	d.signals = route.NewSignals()
	d.capacity, d.capacityDriver = capacity.NewDriver(
		capacity.Config{
			Self: d.settings.Instance, Incarnation: d.incarnation,
			Region: d.settings.Region, Domain: d.settings.Domain,
			Rand: newRand(), Freed: d.signals.Signal,
		},
		capacity.DriverConfig{Store: d.store, Caller: d.pool, Members: capacityMembers{d}, Log: d.log, Rand: newRand()},
	)
	d.limiter = shift.New(newRand())
	d.positions = shift.NewPositions(d.settings.Instance, d.settings.Region, time.Now)
	d.router = route.New(route.Config{
		Region: d.settings.Region, Incarnation: d.incarnation, Capacity: d.capacity,
		Limiter: d.limiter, Positions: d.positions, Signals: d.signals,
		HasEndpoints: func(s model.Service, r model.Region) bool { return d.table.Usable(s, r, time.Now()) > 0 },
	})
	d.admission = admission.New(d.router)
	d.quarantine = quarantine.New(newRand())
}

func (d *Daemon) buildMembers() {
	s := d.settings
	d.notices = membership.NewNotices(d.onNotice)
	d.members = membership.NewNode(membership.Options{
		Self: membership.Member{
			ID: s.Instance, Region: s.Region, Domain: s.Domain, Incarnation: d.incarnation,
			EntryAddr: s.Listen.Entry, PeerAddr: s.Listen.Peer, ControlAddr: s.Listen.Control,
			// Lookups do not return the instance until it is ready.
			Leaving: true, Starting: true,
		},
		Caller:       d.pool,
		Source:       &timedSource{Source: d.source, began: &d.listing.began},
		Topics:       []membership.Topic{d.rules, d.positions, d.quarantine, d.notices},
		ListInterval: time.Duration(s.Platform.Poll),
		Rand:         newRand(),
		OnListing:    d.onListing,
		OnEvent:      d.logMembershipEvent,
	})
}

func (d *Daemon) buildLedger() {
	d.ledger = ledger.New(ledger.Config{
		Self: d.settings.Instance, Inc: d.incarnation, Peers: d.pool,
		Members: ledgerMembers{d}, Store: d.store,
	})
}

func (d *Daemon) buildRequests() {
	d.engine = forward.NewEngine(forward.EngineConfig{
		Log: d.log, Table: d.table, Transport: tracedTransport{d.client, d.tracer}, Budget: d.budget, Rand: newRand(),
		State: d.state.Load, Instances: d.instanceCount, OnUnreachable: d.endpointDown,
		Admission: d.admission, Quarantine: quarantineAdapter{d},
	})
	d.lookups = lookup.NewService(d.members.View)
	d.entry = entry.New(entry.Config{
		Dispatcher:     dispatcher{d},
		Ledger:         entry.FromLedger(d.ledger),
		Classifier:     entry.RulesClassifier(d.rules.Rules),
		Directory:      directory{d.lookups},
		Log:            d.log,
		Ready:          d.IsReady,
		MaxBodyBytes:   int64(d.settings.Requests.MaxBodyBytes),
		MaxInFlight:    d.settings.Requests.MaxInFlight,
		DefaultTimeout: time.Duration(d.settings.Requests.DefaultTimeout),
		MaxTimeout:     time.Duration(d.settings.Requests.MaxTimeout),
	})
}

// Run listens, serves until ctx is done and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, cancelRun := context.WithCancel(context.Background())
	defer cancelRun()
	if err := d.start(runCtx); err != nil {
		d.log.Log(events.StartFailed).Err(err).Send()
		d.close()
		return err
	}
	l := d.settings.Listen
	d.log.Log(events.Started).Stringer("entry", l.Entry).Stringer("peer", l.Peer).Stringer("control", l.Control).Send()
	<-ctx.Done()
	err := d.stop()
	cancelRun()
	d.close()
	d.background.Wait()
	return err
}

// start opens the listeners and starts the background goroutines.
func (d *Daemon) start(ctx context.Context) error {
	if err := d.register(); err != nil {
		return err
	}
	peerLn, err := listen(d.settings.Listen.Peer)
	if err != nil {
		return err
	}
	d.goBackground(func() { _ = d.rpc.Serve(peerLn) })
	callers, operators := connLimits(d.settings)
	if err := d.serve(d.settings.Listen.Entry, callers, entry.NewServer(withTracing(d.tracer, d.entryHandler()))); err != nil {
		return err
	}
	if err := d.serve(d.settings.Listen.Control, operators, control.NewServer(d.controlHandler())); err != nil {
		return err
	}
	d.goBackground(func() { d.members.Run(ctx) })
	d.goBackground(func() { d.rulesDriver.Run(ctx) })
	d.capacityDriver.Start(ctx)
	d.goBackground(func() { d.applyRules(ctx) })
	d.goBackground(func() { d.maintain(ctx) })
	d.goBackground(func() { d.prober().Run(ctx) })
	return nil
}

// goBackground runs f in a goroutine that Run waits for.
func (d *Daemon) goBackground(f func()) {
	d.background.Add(1)
	go func() {
		defer d.background.Done()
		f()
	}()
}

// register registers the RPC services that other instances call.
func (d *Daemon) register() error {
	for name, receiver := range map[string]any{
		membership.ServiceName: d.members,
		configsync.ServiceName: configsync.NewService(d.rules),
		capacityService:        capacity.NewRPC(d.capacity),
		ledger.ServiceName:     d.ledger.Service(),
	} {
		if err := d.rpc.Register(name, receiver); err != nil {
			return errors.Annotatef(err, "registering %s", name)
		}
	}
	return nil
}

// serve serves callers or operators on at most conns connections.
func (d *Daemon) serve(addr netip.AddrPort, conns int, srv *http.Server) error {
	ln, err := listen(addr)
	if err != nil {
		return err
	}
	srv.Handler, srv.ConnContext, srv.ConnState = d.guard.BodyHandler(srv.Handler), forward.ConnContext, forward.ConnState
	guarded := d.guard.Listener(ln, conns)
	d.servers, d.listeners = append(d.servers, srv), append(d.listeners, guarded)
	d.goBackground(func() { _ = srv.Serve(guarded) })
	return nil
}

func listen(a netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", a.String())
	return ln, errors.Annotatef(err, "listening on %s", a)
}

const (
	// storeDialTimeout is the timeout for opening a connection to the store.
	storeDialTimeout = time.Second
	// storeIdleConns is the number of idle connections to the store that are
	// kept. It covers the watch and the drivers.
	storeIdleConns = 4
	// storeIdleTimeout is how long an idle connection to the store is kept.
	storeIdleTimeout = 30 * time.Second
)

func storeTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: storeDialTimeout}).DialContext,
		MaxIdleConnsPerHost: storeIdleConns,
		IdleConnTimeout:     storeIdleTimeout,
	}
}
