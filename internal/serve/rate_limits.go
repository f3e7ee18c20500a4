package serve

import (
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/model"
)

// An endpoint in need names a rate limit for all instances together in its
// responses. The instance that owns the endpoint sends all requests that the limit
// allows; see package steering. The others have to know of the limit, also those that
// have had no response of the endpoint, and one that has restarted.

// rateLimitInterval is the time between two messages of a representative with the
// rate limits that it knows. There are none while no endpoint names one.
const rateLimitInterval = time.Second

// recordRateLimit records the rate limit in a response of an endpoint.
func (in *Instance) recordRateLimit(id model.EndpointID, perSecond float64, named bool) {
	if !in.table.RecordRateLimit(id, perSecond, named, time.Now()) {
		return
	}
	in.logRateLimit(id, "response")
	in.rateLimitsChanged.Store(true)
}

// logRateLimit logs the rate limit of an endpoint that has begun, ended or changed.
func (in *Instance) logRateLimit(id model.EndpointID, source string) {
	perSecond, named := in.table.RateLimit(id)
	in.log.Log(events.EndpointRateLimited).Str("endpoint", string(id)).Bool("limited", named).
		Float64("per_s", perSecond).Str("source", source).Send()
}

// sendRateLimits sends the known rate limits to this failure domain and to the
// representatives of the others: at once after a response has shown a change, and
// regularly if this instance represents its failure domain.
func (in *Instance) sendRateLimits(hb *heartbeatState, now time.Time) {
	changed := in.rateLimitsChanged.Swap(false)
	due := now.Sub(hb.lastRateLimits) >= rateLimitInterval && in.members.Represents(in.ownDomain())
	if !changed && !due {
		return
	}
	hb.lastRateLimits = now
	limits := in.table.RateLimits(now)
	if len(limits) == 0 {
		return
	}
	messages, err := fleet.EncodeRateLimits(limits, false)
	in.sendToGroups(messages, err, changed)
}

// sendToGroups sends messages to this failure domain, to the representatives of the
// other domains of the region and, if urgent is set or this instance represents the
// region, to one representative of each domain of other regions.
func (in *Instance) sendToGroups(messages [][]byte, err error, urgent bool) {
	in.send(in.members.SameDomain(), messages, err)
	for _, d := range in.otherDomains() {
		in.send(in.members.Representatives(d), messages, err)
	}
	if !urgent && !in.members.Represents(fleet.Group{Region: in.settings.Region}) {
		return
	}
	for _, d := range in.domainsOfOtherRegions() {
		if to := in.members.Representatives(d); len(to) > 0 {
			in.send(to[:1], messages, err)
		}
	}
}

// handleRateLimits takes over rate limits that another instance knows. If this
// instance represents its failure domain, it relays changes within the domain.
func (in *Instance) handleRateLimits(m fleet.Message) {
	now := time.Now()
	changed := in.table.MergeRateLimits(m.RateLimits, now)
	for _, id := range changed {
		in.logRateLimit(id, "instance")
	}
	if len(changed) > 0 && !m.Relayed && in.members.Represents(in.ownDomain()) {
		messages, err := fleet.EncodeRateLimits(in.table.RateLimits(now), true)
		in.send(in.members.SameDomain(), messages, err)
	}
}

// sendRateLimitsTo sends the known rate limits to a new process.
func (in *Instance) sendRateLimitsTo(p fleet.Presence) {
	if limits := in.table.RateLimits(time.Now()); len(limits) > 0 {
		messages, err := fleet.EncodeRateLimits(limits, true)
		in.send([]fleet.Presence{p}, messages, err)
	}
}
