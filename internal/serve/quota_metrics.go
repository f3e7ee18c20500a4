package serve

import (
	"cmp"
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/boottime"
	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/quota"
)

// tenantMetrics are the counters of one tenant at this instance. Sent is the number of
// attempts that had a token or will have one, Local and Extra are those among them that
// used the local share or had no token yet.
type tenantMetrics struct {
	Rate           float64 `json:"rate_per_s"`
	Burst          float64 `json:"burst"`
	Received       int64   `json:"received"`
	Sent           int64   `json:"sent"`
	OverQuota      int64   `json:"over_quota"`
	NoOwner        int64   `json:"no_owner"`
	TooManyWaiting int64   `json:"too_many_waiting"`
	Local          int64   `json:"local"`
	Extra          int64   `json:"extra"`
	Held           int     `json:"held"`
}

func (m *tenantMetrics) add(c quota.Counts) {
	m.Received += c.Received
	m.Sent += c.Taken
	m.OverQuota += c.OverQuota
	m.NoOwner += c.NoOwner
	m.TooManyWaiting += c.TooManyWaiting
	m.Local += c.Local
	m.Extra += c.Extra
	m.Held += c.Held
}

// metrics returns the counters by tenant: those of the tenants with the most requests
// by name, and the sum of all others.
func (q *quotas) metrics() map[string]*tenantMetrics {
	q.mu.Lock()
	defer q.mu.Unlock()
	counts := q.holder.Counts(boottime.Now())
	var ids []quota.TenantID
	for id := range counts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b quota.TenantID) int {
		return cmp.Or(cmp.Compare(counts[b].Received, counts[a].Received), cmp.Compare(a, b))
	})
	out := map[string]*tenantMetrics{}
	for _, id := range ids {
		name, known := q.names[id]
		limit := q.limited[id]
		if !known || len(out) >= maxTenantNames {
			name, limit = otherTenants, quota.Limit{}
		}
		if out[name] == nil {
			out[name] = &tenantMetrics{Rate: limit.Rate, Burst: limit.Burst}
		}
		out[name].add(counts[id])
	}
	return out
}

// logRefusal logs a refused request, with at most quotaLinesPerSecond. It reports
// whether the tenant has used up its quota; otherwise no owner has answered.
func (q *quotas) logRefusal(t *desired.Tenant) (overQuota bool) {
	q.mu.Lock()
	overQuota = q.holder.OverQuota(quota.IDOf(t.Name), boottime.Now())
	q.mu.Unlock()
	event, limiter := events.QuotaOwnersSilent, &q.silent
	if overQuota {
		event, limiter = events.TenantOverQuota, &q.overQuota
	}
	if ok, suppressed := limiter.Allow(time.Now()); ok {
		q.in.log.Log(event).Str("tenant", t.Name).Float64("rate_per_s", t.Rate).Float64("burst", t.Burst).Int("suppressed", suppressed).Send()
	}
	return overQuota
}
