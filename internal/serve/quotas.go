package serve

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/boottime"
	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/quota"
)

var _ forward.Quota = (*quotas)(nil)

// quotas enforces the quotas of tenants together with other instances; see package
// quota.
type quotas struct {
	in   *Instance
	self uint32
	// changed wakes up run: a request waits, or the quotas have changed.
	changed chan struct{}

	mu     sync.Mutex
	holder *quota.Holder
	owner  *quota.Owner
	// names has the names of all tenants, limited those with a quota.
	names    map[quota.TenantID]string
	limited  map[quota.TenantID]quota.Limit
	viewedAt time.Duration
	// overQuota and silent limit the log lines on refusals.
	overQuota, silent events.Limiter
}

const (
	// quotaInterval is the time between two looks for messages that are due.
	quotaInterval = 20 * time.Millisecond
	// quotaBatchDelay is the time for which a message waits for other requests.
	quotaBatchDelay = time.Millisecond
	// quotaViewInterval is the time between two updates of the owners.
	quotaViewInterval = 100 * time.Millisecond
	// quotaSettle is how long after its start an instance owns no slice and uses no
	// local share. When all instances start for the first time, each first sees itself
	// alone and would take the whole quota for its own.
	quotaSettle = time.Second
	// quotaLinesPerSecond bounds the log lines on refusals of each kind.
	quotaLinesPerSecond = 1
	// maxTenantNames bounds the tenants that the metrics name; the rest is summed.
	maxTenantNames = 100
	// otherTenants is the name of that sum.
	otherTenants = "(other)"
)

func newQuotas(in *Instance) *quotas {
	self := fleet.WireID(in.settings.Instance)
	// Message numbers grow with the start time, so that they increase over restarts.
	seq := uint32(in.started.UnixMilli())
	return &quotas{in: in, self: self, changed: make(chan struct{}, 1), holder: quota.NewHolder(self, seq, newRand()), owner: quota.NewOwner(newRand()),
		overQuota: events.Limiter{PerSecond: quotaLinesPerSecond}, silent: events.Limiter{PerSecond: quotaLinesPerSecond}}
}

// usedRate and usedBurst are the parts of a tenant's rate and burst for which tokens are
// granted. The rest is for further attempts of its requests, which count but are charged
// after they were sent.
const usedRate, usedBurst = 0.9, 0.5

// setTenants puts the quotas of a desired state in force.
func (q *quotas) setTenants(tenants []desired.Tenant) {
	names, limited := map[quota.TenantID]string{}, map[quota.TenantID]quota.Limit{}
	for _, t := range tenants {
		id := quota.IDOf(t.Name)
		names[id] = t.Name
		if t.Rate > 0 {
			limited[id] = quota.Limit{Rate: usedRate * t.Rate, Burst: usedBurst * t.Burst}
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.names, q.limited = names, limited
	q.holder.SetLimits(limited, boottime.Now())
	q.holder.KeepCounts(func(id quota.TenantID) bool { return names[id] != "" })
	q.owner.SetLimits(limited)
	q.wake()
}

func (q *quotas) wake() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// run sends the messages about quotas until the context ends. It sleeps while no
// tenant has a quota.
func (q *quotas) run(ctx context.Context) {
	ticker := time.NewTicker(quotaInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.changed:
			time.Sleep(quotaBatchDelay)
		case <-ticker.C:
		}
		q.mu.Lock()
		active := len(q.limited) > 0
		if active {
			q.step(boottime.Now())
		}
		q.mu.Unlock()
		if !active {
			select {
			case <-ctx.Done():
				return
			case <-q.changed:
			}
		}
	}
}

// step runs what is due. The lock is held.
func (q *quotas) step(now time.Duration) {
	if now-q.viewedAt >= quotaViewInterval {
		q.viewedAt = now
		q.updateOwners(now)
	}
	q.owner.Tick(now)
	q.holder.Tick(now)
	q.sendAsks(now)
}

// updateOwners derives the owners of slices from the instances that are alive. The
// lock is held.
func (q *quotas) updateOwners(now time.Duration) {
	var members []quota.Member
	for _, m := range q.in.members.Instances(q.in.self()) {
		if !m.Silent && !(m.ID == q.in.settings.Instance && q.in.leaving.Load()) {
			members = append(members, quota.Member{ID: string(m.ID), Region: string(m.Region)})
		}
	}
	var owners [quota.SliceCount]quota.Owned
	owned := map[quota.Slice]bool{}
	for s, i := range quota.Owners(members, q.regions()) {
		if i < 0 {
			continue
		}
		id := fleet.WireID(model.InstanceID(members[i].ID))
		owners[s] = quota.Owned{Owner: id, Known: true, Near: members[i].Region == string(q.in.settings.Region)}
		owned[quota.Slice(s)] = id == q.self
	}
	q.holder.SetOwners(owners)
	if time.Since(q.in.started) < quotaSettle {
		q.holder.SetInstances(unknownInstances)
		return
	}
	listed := q.in.instanceCount()
	q.holder.SetInstances(listed)
	q.owner.SetOwned(owned, q.in.members.CountAlive()+1, listed, now)
}

// unknownInstances is a number of instances among which a local share is too small to
// be used.
const unknownInstances = 1 << 30

// regions returns the names of all regions in the settings, in order.
func (q *quotas) regions() []string {
	all := map[string]bool{}
	for _, r := range q.in.settings.Domains {
		all[string(r)] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// sendAsks sends the messages to owners that are due. Those to this instance itself
// are answered at once, which may lead to others. The lock is held.
func (q *quotas) sendAsks(now time.Duration) {
	for range quota.SliceCount {
		own := false
		for _, m := range q.holder.Asks(now) {
			if m.To == q.self {
				if g, ok := q.owner.Answer(q.self, m.Ask, now); ok {
					q.holder.Receive(g, now)
					own = true
				}
				continue
			}
			if p, ok := q.in.members.ByWireID(m.To); ok {
				b, err := fleet.EncodeQuotaAsk(m.Ask)
				q.in.send([]fleet.Presence{p}, [][]byte{b}, err)
			}
		}
		if !own {
			return
		}
	}
}

// handleQuotaMessage handles a message about quotas.
func (in *Instance) handleQuotaMessage(m fleet.Message) {
	q := in.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	now := boottime.Now()
	if m.QuotaGrant != nil {
		q.holder.Receive(*m.QuotaGrant, now)
		q.sendAsks(now)
		return
	}
	from, known := in.members.ByWireID(m.QuotaAsk.From)
	if !known {
		return // The holder asks again once it is known.
	}
	if g, ok := q.owner.Answer(q.self, *m.QuotaAsk, now); ok {
		b, err := fleet.EncodeQuotaGrant(g)
		in.send([]fleet.Presence{from}, [][]byte{b}, err)
	}
}

// Take implements forward.Quota. It may wait for an owner's answer for some tens of
// milliseconds.
func (q *quotas) Take(ctx context.Context, t *desired.Tenant, _ time.Time) (ok bool, retryAfter time.Duration) {
	type decision struct {
		ok         bool
		retryAfter time.Duration
	}
	id := quota.IDOf(t.Name)
	q.mu.Lock()
	ok, w, retryAfter := q.holder.Take(id, boottime.Now())
	if w == nil {
		q.mu.Unlock()
		return q.decided(t, ok, retryAfter)
	}
	decided := make(chan decision, 1)
	w.Wake = func(ok bool, retryAfter time.Duration) { decided <- decision{ok, retryAfter} }
	q.mu.Unlock()
	q.wake()
	select {
	case d := <-decided:
		return q.decided(t, d.ok, d.retryAfter)
	case <-ctx.Done():
		return q.leave(id, w, func() bool { d := <-decided; return d.ok })
	}
}

// decided logs a refusal. One that is only due to the start of all instances is over
// after quotaSettle.
func (q *quotas) decided(t *desired.Tenant, ok bool, retryAfter time.Duration) (bool, time.Duration) {
	if ok {
		return true, 0
	}
	if scarce := q.logRefusal(t); !scarce {
		retryAfter += max(0, quotaSettle-time.Since(q.in.started))
	}
	return false, retryAfter
}

// leave ends the wait of a request whose caller has disconnected. If it has been
// given a token in the meantime, that is given back.
func (q *quotas) leave(id quota.TenantID, w *quota.Waiter, granted func() bool) (bool, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.holder.Leave(id, w) && granted() {
		q.holder.Refund(id, boottime.Now())
	}
	return false, 0
}

// Charge implements forward.Quota. The attempt is not refused: an
// owner takes its token afterwards.
func (q *quotas) Charge(t *desired.Tenant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.Charge(quota.IDOf(t.Name), boottime.Now())
}

// Refund implements forward.Quota.
func (q *quotas) Refund(t *desired.Tenant) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder.Refund(quota.IDOf(t.Name), boottime.Now())
}
