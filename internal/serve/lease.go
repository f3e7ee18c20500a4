package serve

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"jujubestile.example/jujubestile/internal/boottime"
	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/tenant"
)

// The authorization lease of package tenant is renewed by what the store responds to
// this instance while it watches the store, and otherwise by calls of other instances,
// see docs/design/tenants.md. Ages in messages do not count, because it is not known
// how long a message was on its way.

const (
	// leaseTick is the time between two checks whether the lease is held and whether a
	// call is due.
	leaseTick = 50 * time.Millisecond
	// proofTimeout bounds a call for a proof. A round trip between regions takes at
	// most 70 ms.
	proofTimeout = 200 * time.Millisecond
	// proofJitter is the largest random extension of the time between two calls, so that
	// those of several instances do not coincide.
	proofJitter = 0.2
	// storeProofAge is the age of the last proof from which an instance that gets no
	// newer one from others reads the desired state from the store, and
	// storeProofInterval the mean time between two such reads.
	storeProofAge      = 2500 * time.Millisecond
	storeProofInterval = time.Second
	// behindInterval is the time until the next call after a proof that was about a
	// newer desired state, which is being fetched.
	behindInterval = 100 * time.Millisecond
	// firstProofWait is how long after its start an instance without a proof is not
	// ready. Without the store it serves public routes from then on. It is above
	// the time for which a restored store proves nothing.
	firstProofWait = 3 * time.Second
	// proofLogsPerSecond bounds the log lines on failed calls.
	proofLogsPerSecond = 1
)

// leaseCounters count the losses of the authorization lease and the calls for proofs.
type leaseCounters struct{ lost, asked, answered, failed, storeReads expvar.Int }

// leaseNeeded reports whether API keys are judged under the authorization lease.
func (in *Instance) leaseNeeded() bool {
	s := in.state.Load()
	return in.settings.Bounds.StrictRevoke && s != nil && s.KeysRequired
}

// proven reports whether API keys may be judged by a version of the desired state.
func (in *Instance) proven(v desired.Version) bool {
	return !in.settings.Bounds.StrictRevoke || in.lease.Holds(v, boottime.Now())
}

// awaitsFirstProof reports whether this process has just started and cannot judge API
// keys yet, so that callers should use other instances.
func (in *Instance) awaitsFirstProof() bool {
	return time.Since(in.started) < firstProofWait && in.leaseNeeded() && !in.lease.Proof(boottime.Now()).Known
}

// storeObserver passes on to the lease what the store responds to this instance.
type storeObserver struct{ in *Instance }

func (o storeObserver) Listed(at mirror.Position, started time.Duration) {
	o.in.lease.Listed(at, started, boottime.Now())
}

func (o storeObserver) Watched(after, at mirror.Position, started time.Duration) {
	o.in.lease.Watched(after, at, started)
}

func (o storeObserver) Verified(at mirror.Position, started time.Duration) {
	o.in.lease.Verified(at, started)
}

// ProofArgs asks for the proof that an instance has of its desired state.
type ProofArgs struct{}

// ProofReply is the reply to ProofArgs. Known is false if the instance has no proof.
type ProofReply struct {
	Known   bool
	Age     time.Duration
	Version desired.Version
	At      mirror.Revision
	Era     model.Era
}

// Proof is the RPC method that returns the last proof that this instance has.
func (s *State) Proof(_ ProofArgs, reply *ProofReply) error {
	p := s.in.lease.Proof(boottime.Now())
	if p.Known {
		*reply = ProofReply{Known: true, Age: p.At, Version: p.Version, At: p.Position.Revision, Era: p.Position.Era}
	}
	return nil
}

// keepLease renews the authorization lease while it is needed, and logs when it is
// lost and regained.
func (in *Instance) keepLease(ctx context.Context) {
	r := leaseRenewal{in: in, logs: events.Limiter{PerSecond: proofLogsPerSecond}}
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !in.leaseNeeded() {
			r.lost, r.held = false, false
			continue
		}
		r.renewIfDue(ctx, boottime.Now())
		r.note(boottime.Now())
	}
}

// leaseRenewal is the state of keepLease. Only its goroutine uses it.
type leaseRenewal struct {
	in *Instance
	// next and nextRead are the times of the next call for a proof and of the next
	// read of the store.
	next, nextRead time.Duration
	// behind is set if the last proof was about a newer desired state.
	behind bool
	// held is set while the lease is held, lost after it was lost, at the time lostAt.
	held, lost bool
	lostAt     time.Duration
	logs       events.Limiter
}

// renewIfDue asks other instances for a proof if the last one is old enough.
func (r *leaseRenewal) renewIfDue(ctx context.Context, now time.Duration) {
	if now < r.next {
		return
	}
	if r.nextRead == 0 {
		r.nextRead = now + storeProofInterval/2 // A new process lists the store anyway.
	}
	in := r.in
	before := in.lease.Proof(now)
	young := func(relay bool) bool { return before.Known && before.At < tenant.Interval(relay, true, before.At) }
	if young(true) { // A watcher's own calls renew the lease.
		r.next = now + 2*leaseTick
		return
	}
	sources, relay := tenant.Sources(in.leasePeers())
	if young(relay) {
		r.next = now + 2*leaseTick
		return
	}
	answered := r.ask(ctx, sources, before)
	now = boottime.Now()
	p := in.lease.Proof(now)
	wait := time.Duration((1 + proofJitter*rand.Float64()) * float64(tenant.Interval(relay, p.Known, p.At)))
	if r.behind {
		wait = min(wait, behindInterval)
	}
	r.next = now + wait
	if (!p.Known || p.At >= storeProofAge) && now >= r.nextRead && (!answered || in.watchWorks(time.Now())) {
		r.nextRead = now + time.Duration((0.5+rand.Float64())*float64(storeProofInterval))
		r.readStore(ctx)
	}
}

// leasePeers returns this instance and the others that are alive and not leaving.
func (in *Instance) leasePeers() (self tenant.Peer, others []tenant.Peer) {
	s := in.settings
	for _, p := range in.members.Alive() {
		if !p.Leaving {
			others = append(others, tenant.Peer{ID: p.ID, Domain: p.Domain, Region: p.Region, Watching: p.Watching})
		}
	}
	return tenant.Peer{ID: s.Instance, Domain: s.Domain, Region: s.Region}, others
}

// maxOldAnswers is how many answers without a newer proof end a round: while the store
// is down, all instances have only old ones.
const maxOldAnswers = 2

// ask asks the sources, one after the other, until one has a newer proof. It reports
// whether any has answered.
func (r *leaseRenewal) ask(ctx context.Context, sources []model.InstanceID, before tenant.Proof) (answered bool) {
	in, old := r.in, 0
	for _, from := range sources {
		callCtx, cancel := context.WithTimeout(ctx, proofTimeout)
		started := boottime.Now()
		var reply ProofReply
		err := in.peers.Call(callCtx, from, stateService+".Proof", ProofArgs{}, &reply)
		cancel()
		in.counters.lease.asked.Add(1)
		if err != nil {
			r.failed(string(from), err)
			continue
		}
		answered = true
		in.counters.lease.answered.Add(1)
		p := tenant.Proof{Known: reply.Known, At: reply.Age, Version: reply.Version, Position: mirror.Position{Era: reply.Era, Revision: reply.At}}
		if r.behind = !in.lease.Vouched(p, started); r.behind {
			in.requestCatchUp()
		}
		if now := in.lease.Proof(boottime.Now()); now.Known && (!before.Known || now.At < before.At) {
			return true
		}
		if old++; old == maxOldAnswers {
			return true
		}
	}
	return answered
}

// readStore reads the desired state from the store, for an instance that no other one
// proves it to.
func (r *leaseRenewal) readStore(ctx context.Context) {
	in := r.in
	in.counters.lease.storeReads.Add(1)
	started := boottime.Now()
	at, err := in.store.Position(ctx)
	if err != nil {
		r.failed(origin(""), err)
		return
	}
	changed, err := in.readDesired(ctx)
	if err != nil {
		r.failed(origin(""), err)
		return
	}
	if changed.Era != at.Era {
		return // The store was restored between the two calls.
	}
	in.lease.Read(at, started, boottime.Now())
}

func (r *leaseRenewal) failed(from string, err error) {
	r.in.counters.lease.failed.Add(1)
	if ok, suppressed := r.logs.Allow(time.Now()); ok {
		r.in.log.Log(events.ProofFailed).Str("from", from).Err(err).Int("suppressed", suppressed).Send()
	}
}

// note logs that the lease was lost or regained.
func (r *leaseRenewal) note(now time.Duration) {
	in := r.in
	held := in.lease.Holds(in.desiredVersion(), now)
	switch {
	case r.held && !held:
		r.lost, r.lostAt = true, now
		in.counters.lease.lost.Add(1)
		in.log.Log(events.LeaseLost).Dur("age_ms", in.lease.Proof(now).At).Send()
	case held && r.lost:
		r.lost = false
		in.log.Log(events.LeaseRegained).Dur("lost_ms", now-r.lostAt).Send()
	}
	r.held = held
}

// leaseVars adds the metrics of the authorization lease.
func (in *Instance) leaseVars(v map[string]any) {
	if !in.leaseNeeded() {
		return
	}
	c, now := &in.counters.lease, boottime.Now()
	p := in.lease.Proof(now)
	v["lease"] = map[string]any{"held": in.lease.Holds(in.desiredVersion(), now), "known": p.Known, "age_ms": p.At.Milliseconds(),
		"lost": c.lost.Value(), "asked": c.asked.Value(), "answered": c.answered.Value(), "failed": c.failed.Value(),
		"store_reads": c.storeReads.Value()}
}
