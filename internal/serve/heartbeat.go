package serve

import (
	"context"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

const (
	// loadInterval is the shortest time between two messages about changed loads
	// to this failure domain, as long as it has fewer than smallDomainSize
	// other instances; see scaledInterval.
	loadInterval    = 50 * time.Millisecond
	smallDomainSize = 8
	// domainReportInterval is the time between two reports of a failure domain to
	// the other domains of its region, regionReportInterval that between two
	// reports of a region to the other regions.
	domainReportInterval = 50 * time.Millisecond
	regionReportInterval = 400 * time.Millisecond
	// wholeReportInterval is the time between two reports that list all loads;
	// those between them list only the loads that changed.
	wholeReportInterval = time.Second
	// domainFullInterval is the time between two full messages to this failure
	// domain, regionFullInterval that between two to this region while the
	// store does not list the instance.
	domainFullInterval = 3 * time.Second
	regionFullInterval = 2 * time.Second
	// allFullMinInterval and allFullMaxInterval bound the time between two full
	// messages to all regions while the store does not list the instance; it
	// doubles from one to the other. The messages are rare because they grow with
	// the square of the number of instances, and because the store lists an
	// instance within a second or two even if all instances start at once.
	allFullMinInterval = 3 * time.Second
	allFullMaxInterval = 24 * time.Second
)

// heartbeatState is the state of the loop in sendHeartbeats.
type heartbeatState struct {
	lastLoads steering.Loads
	// lastOwn is when this instance last sent its state to its failure domain,
	// lastDomainFull when it last did so in a full message, and lastRegionFull
	// when it last sent a full message to its region.
	lastOwn, lastDomainFull, lastRegionFull time.Time
	// nextAllFull is when the next full message to all regions is due, and
	// allFullInterval the interval that ends then.
	nextAllFull     time.Time
	allFullInterval time.Duration
	domain, region  groupReportState
	// speeds selects those for this failure domain.
	speeds steering.SpeedFeed
	// lastRateLimits is when this instance last sent the rate limits of endpoints.
	lastRateLimits time.Time
	// lastDepartures is when it last sent the departures of endpoints.
	lastDepartures time.Time
	// lastEcho is when it last sent an echo, and messagesDelayed is set while messages
	// of others arrive late.
	lastEcho        time.Time
	messagesDelayed bool
}

// groupReportState is the state of this instance's reports on one group: its
// failure domain or its region.
type groupReportState struct {
	// last is when the last report was made, lastAlive when the last one that
	// lists the live instances, and lastWhole when the last one with all loads.
	last, lastAlive, lastWhole time.Time
	// loads are the loads of the group at the time of the last report.
	loads steering.Loads
	// speeds selects those for the receivers of the reports.
	speeds steering.SpeedFeed
}

// sendHeartbeats reports presence and load until the context ends. Each instance
// sends messages to its own failure domain soon after a change; representatives
// send group reports to other domains and regions.
func (in *Instance) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	hb := heartbeatState{nextAllFull: in.started.Add(allFullMinInterval), allFullInterval: allFullMinInterval}
	hb.domain.speeds.Scope, hb.region.speeds.Scope = steering.ScopeDomain, steering.ScopeRegion
	in.contactSeeds()
	for {
		select {
		case <-ctx.Done():
			in.sendFull(in.members.Known(), fleet.LoadUpdate{}, false)
			return
		case <-ticker.C:
		}
		now := time.Now()
		domainPeers := in.members.SameDomain()
		urgent := in.heartbeatNow.Swap(false)
		in.sendOwnHeartbeat(&hb, domainPeers, urgent, now)
		in.sendFullBeyondDomain(&hb, now)
		in.reportDomain(&hb.domain, len(domainPeers), urgent, now)
		in.reportRegion(&hb.region, urgent, now)
		in.sendRateLimits(&hb, now)
		in.sendDepartures(&hb, now)
		in.sendEcho(&hb, now)
		in.logPaceChanges(now)
	}
}

// sendOwnHeartbeat sends this instance's state to its own failure domain, if its
// loads have changed, a heartbeat is due, or urgent is set.
func (in *Instance) sendOwnHeartbeat(hb *heartbeatState, domainPeers []fleet.Presence, urgent bool, now time.Time) {
	loads := in.table.OwnLoads()
	sinceLast := now.Sub(hb.lastOwn)
	full := now.Sub(hb.lastDomainFull) >= domainFullInterval
	var speeds []steering.Speed
	due := sinceLast >= scaledInterval(loadInterval, len(domainPeers))
	if due || full || urgent {
		speeds = in.table.SpeedNews(&hb.speeds, now)
	}
	changed := due && (len(speeds) > 0 || !equalLoads(loads, hb.lastLoads))
	if !full && !urgent && !changed && sinceLast < fleet.HeartbeatInterval {
		return
	}
	update := fleet.LoadUpdate{Loads: loads, Placements: in.table.TakePlacements(), Speeds: speeds}
	in.queuePlacements(update.Placements)
	if full {
		in.sendFull(domainPeers, update, false)
		hb.lastDomainFull = now
	} else {
		in.sendBrief(domainPeers, update)
	}
	hb.lastOwn, hb.lastLoads = now, loads
}

// scaledInterval returns the message interval for a failure domain with the given
// number of other instances. It grows with that number, so that the number of
// messages grows linearly and not with its square.
func scaledInterval(interval time.Duration, others int) time.Duration {
	return interval * time.Duration(1+others/smallDomainSize)
}

// sendFullBeyondDomain sends full messages to other failure domains as long as
// the store does not list this instance. An instance that is listed needs none:
// others learn its address from the store and its state from group reports.
func (in *Instance) sendFullBeyondDomain(hb *heartbeatState, now time.Time) {
	if in.announced.Load() {
		return
	}
	known := in.members.Known()
	switch {
	case !now.Before(hb.nextAllFull):
		hb.allFullInterval = min(2*hb.allFullInterval, allFullMaxInterval)
		hb.nextAllFull, hb.lastRegionFull = now.Add(hb.allFullInterval), now
		in.sendFull(known, fleet.LoadUpdate{}, false)
	case now.Sub(hb.lastRegionFull) >= regionFullInterval:
		hb.lastRegionFull = now
		in.sendFull(inRegion(known, in.settings.Region), fleet.LoadUpdate{}, false)
	default:
		return
	}
	if len(known) == 0 {
		in.contactSeeds()
	}
}

func inRegion(all []fleet.Presence, region model.Region) []fleet.Presence {
	var out []fleet.Presence
	for _, p := range all {
		if p.Region == region {
			out = append(out, p)
		}
	}
	return out
}

// reportDomain reports on this failure domain to the other domains of the
// region, if this instance represents it.
func (in *Instance) reportDomain(g *groupReportState, others int, urgent bool, now time.Time) {
	if now.Sub(g.last) < scaledInterval(domainReportInterval, others) {
		return
	}
	placements := in.takePlacements()
	if !in.members.Represents(in.ownDomain()) {
		return
	}
	r := in.buildReport(g, in.ownDomain(), urgent, now)
	r.Seen = fleet.PlacementPairs(placements)
	if len(r.Alive) == 0 && len(r.Loads) == 0 && len(r.Seen) == 0 && len(r.Speeds) == 0 {
		return
	}
	messages, err := fleet.EncodeReport(r, false)
	for _, other := range in.otherDomains() {
		in.send(in.members.Representatives(other), messages, err)
	}
}

// reportRegion reports on this region to the other regions, if this instance
// represents it.
func (in *Instance) reportRegion(g *groupReportState, urgent bool, now time.Time) {
	if now.Sub(g.last) < regionReportInterval && !urgent {
		return
	}
	region := fleet.Group{Region: in.settings.Region}
	if !in.members.Represents(region) {
		return
	}
	messages, err := fleet.EncodeReport(in.buildReport(g, region, true, now), false)
	for _, d := range in.domainsOfOtherRegions() {
		// One receiver is enough: the next report makes up for a lost one.
		if to := in.members.Representatives(d); len(to) > 0 {
			in.send(to[:1], messages, err)
		}
	}
}

// buildReport returns a report on a group and updates g. It leaves out the speeds that
// the receivers know, the live instances unless alive is set or a heartbeat is due, and the loads that have
// not changed unless all loads are due.
func (in *Instance) buildReport(g *groupReportState, group fleet.Group, alive bool, now time.Time) fleet.Report {
	g.last = now
	r := in.members.Report(group, in.presence(), now)
	r.AddDelay(in.messageDelay(now))
	if alive || now.Sub(g.lastAlive) >= fleet.HeartbeatInterval {
		g.lastAlive = now
	} else {
		r.Alive = nil
	}
	r.Speeds = in.table.SpeedNews(&g.speeds, now)
	loads := in.groupLoads(group)
	if r.Whole = now.Sub(g.lastWhole) >= wholeReportInterval; r.Whole {
		g.lastWhole = now
		r.Loads = fleet.LoadPairs(loads)
	} else {
		r.Loads = fleet.LoadPairs(changedLoads(g.loads, loads))
	}
	g.loads = loads
	return r
}

// groupLoads returns the sum of the requests in flight from all instances of this
// failure domain or region.
func (in *Instance) groupLoads(group fleet.Group) steering.Loads {
	var peers []model.InstanceID
	for _, p := range in.members.SameDomain() {
		peers = append(peers, p.ID)
	}
	if group.Domain == "" {
		for _, other := range in.otherDomains() {
			peers = append(peers, other.AggregateID())
		}
	}
	return in.table.LoadsWith(peers)
}

// changedLoads returns the loads that differ between two states. Endpoints that
// no longer have requests are listed with 0.
func changedLoads(before, now steering.Loads) steering.Loads {
	out := steering.Loads{}
	for w, n := range now {
		if before[w] != n {
			out[w] = n
		}
	}
	for w, n := range before {
		if _, ok := now[w]; !ok && n != 0 {
			out[w] = 0
		}
	}
	return out
}

func equalLoads(a, b steering.Loads) bool { return len(a) == len(b) && len(changedLoads(a, b)) == 0 }

// maxQueuedPlacements bounds the queue of placements for the next report on the
// failure domain.
const maxQueuedPlacements = 512

// queuePlacements adds placements to the queue for the next report on the failure
// domain. The oldest ones are dropped if the queue is full.
func (in *Instance) queuePlacements(placements []steering.Placement) {
	in.placementsMu.Lock()
	defer in.placementsMu.Unlock()
	in.placements = append(in.placements, placements...)
	if over := len(in.placements) - maxQueuedPlacements; over > 0 {
		in.placements = in.placements[over:]
	}
}

// takePlacements empties the queue of placements and returns its content.
func (in *Instance) takePlacements() []steering.Placement {
	in.placementsMu.Lock()
	defer in.placementsMu.Unlock()
	placements := in.placements
	in.placements = nil
	return placements
}

func (in *Instance) ownDomain() fleet.Group {
	return fleet.Group{Region: in.settings.Region, Domain: in.settings.Domain}
}

// otherDomains returns the other failure domains of the region.
func (in *Instance) otherDomains() []fleet.Group {
	var out []fleet.Group
	for d, r := range in.settings.Domains {
		if r == in.settings.Region && d != in.settings.Domain {
			out = append(out, fleet.Group{Region: r, Domain: d})
		}
	}
	return out
}

// domainsOfOtherRegions returns the failure domains of all other regions.
func (in *Instance) domainsOfOtherRegions() []fleet.Group {
	var out []fleet.Group
	for d, r := range in.settings.Domains {
		if r != in.settings.Region {
			out = append(out, fleet.Group{Region: r, Domain: d})
		}
	}
	return out
}

// sentPresence returns the state of this instance for a message, which waits on the link
// like those that arrive.
func (in *Instance) sentPresence() fleet.Presence {
	p := in.presence()
	p.CopyAge += in.messageDelay(time.Now())
	return p
}

// sendFull sends a full message; reply requests a full message in return.
func (in *Instance) sendFull(to []fleet.Presence, update fleet.LoadUpdate, reply bool) {
	messages, err := fleet.EncodeFull(in.sentPresence(), update, reply)
	in.send(to, messages, err)
}

func (in *Instance) sendBrief(to []fleet.Presence, update fleet.LoadUpdate) {
	messages, err := fleet.EncodeBrief(in.sentPresence(), update)
	in.send(to, messages, err)
}

// send sends encoded messages, or logs the error of their encoding.
func (in *Instance) send(to []fleet.Presence, messages [][]byte, err error) {
	if err != nil {
		in.log.Log(events.MalformedUpdate).Err(err).Send()
		return
	}
	for _, p := range to {
		for _, b := range messages {
			in.socket.Send(p.Peer, b)
		}
	}
}
