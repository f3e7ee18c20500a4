// Package serve runs an entry instance on the users' platform. It connects the
// copy of the store, the routing of requests, the messages between instances and
// the listeners, and shuts them down gracefully.
package serve

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/exchange"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
	"jujubestile.example/jujubestile/internal/roundtrip"
	"jujubestile.example/jujubestile/internal/steering"
	"jujubestile.example/jujubestile/internal/tenant"
	"jujubestile.example/jujubestile/platform"
)

// Instance is one entry instance.
type Instance struct {
	settings    Settings
	log         events.Logger
	incarnation model.Incarnation

	store   *platform.Store
	copy    *mirror.Copy
	packed  packedCopy
	states  encodedStates
	missing missingState
	table   *steering.Table
	members *fleet.Members
	socket  *fleet.Socket
	client  *exchange.Client
	budget  *forward.Budget
	handler *forward.Handler
	guard   *forward.Guard
	crashes *crashDetector
	quotas  *quotas
	peers   *peer.Pool

	state atomic.Pointer[desired.State]
	// lease is the authorization lease, by which API keys are judged if the settings
	// ask for strict revocation.
	lease *tenant.Lease
	// rejected describes the newest desired state if it is invalid, or is nil.
	rejected  atomic.Pointer[rejectedState]
	leaving   atomic.Bool
	storeLost atomic.Bool
	// following is set while this instance watches the store for its region.
	following atomic.Bool
	lastReady atomic.Bool
	started   time.Time

	// applyMu serializes applying the changes of the store's copy. It guards
	// objectsRestored, missingGraceUntil, outage, restoredEra, decoder, entries,
	// evacuations and changesConfirmedAt.
	applyMu sync.Mutex
	// changesConfirmedAt is the time as of which the copy was known to be complete before
	// the changes that are being applied.
	changesConfirmedAt time.Time
	// objectsRestored is set once the object record of an earlier process has
	// been loaded.
	objectsRestored bool
	// missingGraceUntil is the end of the grace period after an outage of the
	// store. Until then an endpoint whose entry is deleted is marked as missing
	// and not removed.
	missingGraceUntil time.Time
	// outage is the only reason for the current grace period, or zero.
	outage storeOutage
	// restoredEra is the era of the last restore of the store.
	restoredEra model.Era
	decoder     platform.DesiredDecoder
	entries     entryHistory
	evacuations evacuations
	// storeRestores wakes up announce when the store was restored.
	storeRestores chan struct{}
	// delisted wakes it up when the instance's record was deleted.
	delisted chan struct{}
	// announced is set once the store lists the instance.
	announced atomic.Bool
	// recordWritten is when the instance's record was last written, or nil if it is to be
	// written again.
	recordWritten atomic.Pointer[time.Time]
	// heartbeatNow makes the heartbeat loop send at its next tick.
	heartbeatNow atomic.Bool
	// rateLimitsChanged makes the heartbeat loop send the rate limits of endpoints.
	rateLimitsChanged atomic.Bool
	// roundTrips shows how late messages of other instances arrive.
	roundTrips roundtrip.Estimate
	departures departureStats
	// departuresChanged makes it send the departures of endpoints.
	departuresChanged atomic.Bool
	// groupReportedAt holds when the last report on each other group arrived.
	groupReportedMu sync.Mutex
	groupReportedAt map[model.InstanceID]time.Time
	// placements queues the placements made by instances of this failure
	// domain, for this instance's next report on the domain.
	placementsMu sync.Mutex
	placements   []steering.Placement
	// fetchers fetch from other instances what these have and this one lacks.
	fetchers      []fetcher
	failedSources failedSources
	counters      counters
	// invalidEntries limits the log lines on invalid entries of endpoints. applyMu
	// guards it.
	invalidEntries events.Limiter
	// paceLines limits the log lines on slow starts of endpoints.
	paceLines events.Limiter
}

// New returns an instance that is not running yet.
func New(s Settings, log events.Logger) *Instance {
	now := time.Now()
	in := &Instance{settings: s, log: log, incarnation: model.Incarnation(now.UnixNano()), started: now,
		storeRestores:   make(chan struct{}, 1),
		delisted:        make(chan struct{}, 1),
		groupReportedAt: map[model.InstanceID]time.Time{}, entries: newEntryHistory(), evacuations: newEvacuations(),
		invalidEntries: events.Limiter{PerSecond: invalidEntriesPerSecond}, paceLines: events.Limiter{PerSecond: paceLinesPerSecond}}
	in.store = platform.NewStore(s.Store.Address.String(), storeTransport())
	in.copy = mirror.NewOutOfBand(isDesired, in.apply)
	in.lease = tenant.NewLease(tenant.LeaseDuration(time.Duration(s.Bounds.Revoke)))
	in.table = steering.New(steering.Config{Self: s.Instance, Domain: s.Domain, Region: s.Region,
		Regions: s.Domains, MaxShift: s.Bounds.MaxShift, Pace: s.Pace, Rand: newRand()})
	in.members = fleet.NewMembers(s.Instance, s.Region, s.Domain, s.Machine.class())
	in.guard = in.newGuard()
	toEndpoints := exchange.Default()
	toEndpoints.MaxBodiesInFlight, toEndpoints.Reserve, toEndpoints.Unreserve = s.endpointBody(), in.guard.ReserveResponse, in.guard.ReleaseResponse
	in.client = exchange.New(toEndpoints, platform.EndpointHeaders{})
	in.budget = forward.NewBudget(forward.BudgetConfig{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack,
		Window: time.Duration(s.Bounds.RetryWindow)})
	in.crashes = newCrashDetector(in)
	in.quotas = newQuotas(in)
	in.handler = forward.New(forward.Config{Protocol: platform.CallerHeaders{}, Challenge: platform.KeyChallenge, EngineConfig: forward.EngineConfig{Log: log, Table: in.table,
		Transport: in.client, Budget: in.budget, Rand: newRand(), State: in.servedState, Behind: in.behindOthers, Proven: in.proven,
		Instances: in.instanceCount, OnUnreachable: in.endpointDown, OnRateLimit: in.recordRateLimit, OnLeaving: in.endpointLeaving, Quarantine: in.crashes, Quota: in.quotas}})
	in.fetchers = in.newFetchers()
	in.peers = peer.NewPool(in.resolve, peer.PoolOptions{})
	return in
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

const (
	// storeDialTimeout bounds connecting to the store. A round trip between
	// regions takes at most 70 ms.
	storeDialTimeout = 500 * time.Millisecond
	// storeUserTimeout is how long the store's host may send no packet before
	// the connection counts as broken.
	storeUserTimeout = time.Second
	// storeIdleTimeout keeps the connection open between two renewals of the
	// lease.
	storeIdleTimeout = 30 * time.Second
)

func storeTransport() *http.Transport {
	d := exchange.Dialer{Timeout: storeDialTimeout, UserTimeout: storeUserTimeout}
	return &http.Transport{
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return d.Dial(ctx, addr) },
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     storeIdleTimeout,
		DisableCompression:  true,
	}
}

// memoryLimitFraction is the fraction of the memory setting that becomes the
// soft memory limit of the Go runtime.
//
// It is above the part for callers (Limits.CallerMemory), so that the collector does
// not run all the time while that is held, and leaves room for the program's text and
// the kernel's buffers.
const memoryLimitFraction = 0.7

// Run serves until the context ends and then shuts down gracefully. It returns an
// error if a listener cannot be opened.
func (in *Instance) Run(ctx context.Context) error {
	if in.settings.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * in.settings.memoryBytes()))
		defer in.guard.Budget().WatchHeap()()
	}
	listeners, err := in.listen()
	if err != nil {
		in.log.Log(events.StartFailed).Err(err).Send()
		return errors.Trace(err)
	}
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, loop := range in.loops() {
		wg.Add(1)
		go func() { defer wg.Done(); loop(loopCtx) }()
	}
	in.log.Log(events.Started).Str("region", string(in.settings.Region)).Str("domain", string(in.settings.Domain)).
		Stringer("requests", in.settings.Listen.Requests).Uint64("incarnation", uint64(in.incarnation)).Send()
	<-ctx.Done()
	in.drain(listeners)
	stop()
	listeners.close()
	wg.Wait()
	in.client.Sweep()
	return nil
}

// loops returns the background tasks. Each runs until its context ends.
func (in *Instance) loops() []func(context.Context) {
	return []func(context.Context){
		in.followStore, in.announce, in.sendHeartbeats, in.receive, in.probe, in.maintain, in.catchUp, in.saveRecentObjects,
		in.repairState, in.keepLease, in.crashes.follow, in.quotas.run,
	}
}

func (in *Instance) instanceCount() int { return in.members.Count() + 1 }

// resolve returns the peer address of another instance. A seed whose ID is not
// known yet has its address as its ID.
func (in *Instance) resolve(id model.InstanceID) (netip.AddrPort, bool) {
	for _, p := range in.members.Known() {
		if p.ID == id {
			return p.Peer, true
		}
	}
	addr, err := netip.ParseAddrPort(string(id))
	return addr, err == nil
}

// presence returns the state that the instance reports of itself.
func (in *Instance) presence() fleet.Presence {
	now := time.Now()
	at, age := in.copy.Position(now)
	lost := in.storeLost.Load()
	p := fleet.Presence{ID: in.settings.Instance, Incarnation: in.incarnation, Region: in.settings.Region,
		Domain: in.settings.Domain, Peer: in.settings.Listen.Peer, Entry: in.settings.Listen.Requests,
		Ready: in.ready(), Leaving: in.leaving.Load(), Position: at, CopyAge: in.copy.Age(now), Desired: in.desiredVersion(),
		StoreLost: lost, Watching: age == 0 && !lost, Settled: time.Since(in.started) > settledAfter,
		Capacity: in.settings.Machine.class()}
	return p
}

// settledAfter is how long after its start an instance counts as settled. It is
// longer than all instances of a simultaneous start take to be up.
const settledAfter = 6 * time.Second

// ready reports whether lookups may name this instance. It logs each change of
// the result.
func (in *Instance) ready() bool {
	reason := in.notReady()
	if was := in.lastReady.Swap(reason == ""); was != (reason == "") {
		in.log.Log(events.ReadinessChanged).Bool("ready", reason == "").Str("reason", reason).Send()
	}
	return reason == ""
}

// notReady returns why the instance is not ready, or "" if it is.
func (in *Instance) notReady() string {
	switch {
	case in.leaving.Load():
		return "stopping"
	case in.state.Load() == nil:
		return "no desired state"
	case in.awaitsFirstProof():
		return "authorization lease not held yet"
	case in.behindOthers():
		return "changes that other instances have are missing"
	case !in.crashes.mayServe.Load():
		return "no crash reports of other instances"
	case in.storeLost.Load() && in.members.Isolated(time.Now()):
		return "neither the store nor another instance answers"
	}
	return ""
}
