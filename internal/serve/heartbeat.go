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
	// loadEvery is the shortest time between two reports of load to the own
	// failure domain, in one of up to smallDomain instances.
	loadEvery   = 50 * time.Millisecond
	smallDomain = 8
	// domainEvery is the time between two reports of a failure domain's load to
	// the others of its region, regionEvery that of a region's to the others.
	domainEvery = 50 * time.Millisecond
	regionEvery = 400 * time.Millisecond
	// wholeEvery is the time between two reports with all loads.
	wholeEvery = time.Second
	// nearFullEvery is the time between two full messages to the own failure
	// domain, regionFullEvery that to the own region while the store does not
	// list the instance.
	nearFullEvery   = 3 * time.Second
	regionFullEvery = 2 * time.Second
	// farFullFirst and farFullMost bound the time to the next full message to
	// all regions while the store does not list the instance; it doubles. The
	// store lists an instance within a second or two, also if all start, and
	// messages of all to all are too many.
	farFullFirst = 3 * time.Second
	farFullMost  = 24 * time.Second
)

// heartbeats is the state of the loop that reports to other instances.
type heartbeats struct {
	last steering.Loads
	// near, nearFull and regionFull are the times of the last messages.
	near, nearFull, regionFull time.Time
	// farFull is the time of the next message to all, farPause that to the one
	// after it.
	farFull        time.Time
	farPause       time.Duration
	domain, region groupBeat
}

// groupBeat is the state of the reports on one group.
type groupBeat struct {
	at, alive, whole time.Time
	loads            steering.Loads
}

// sendHeartbeats reports presence and load: to the own failure domain soon
// after a change, to others through speakers.
func (in *Instance) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(loadEvery)
	defer ticker.Stop()
	hb := heartbeats{farFull: in.started.Add(farFullFirst), farPause: farFullFirst}
	in.greetSeeds()
	for {
		select {
		case <-ctx.Done():
			in.sendFull(in.members.Known(), fleet.LoadUpdate{}, false)
			return
		case <-ticker.C:
		}
		now := time.Now()
		near := in.members.SameDomain()
		urgent := in.urgent.Swap(false)
		in.beatNear(&hb, near, urgent, now)
		in.beatFar(&hb, now)
		in.beatDomain(&hb.domain, len(near), urgent, now)
		in.beatRegion(&hb.region, urgent, now)
	}
}

// beatNear tells the own failure domain about this instance.
func (in *Instance) beatNear(hb *heartbeats, near []fleet.Presence, urgent bool, now time.Time) {
	loads := in.table.OwnLoads()
	quiet := now.Sub(hb.near)
	changed := !equal(loads, hb.last) && quiet >= scaled(loadEvery, len(near))
	full := now.Sub(hb.nearFull) >= nearFullEvery
	if !full && !urgent && !changed && quiet < fleet.HeartbeatInterval {
		return
	}
	news := fleet.LoadUpdate{Loads: loads, Seen: in.table.TakePlacements()}
	in.keepSeen(news.Seen)
	if full {
		in.sendFull(near, news, false)
		hb.nearFull = now
	} else {
		in.sendBrief(near, news)
	}
	hb.near, hb.last = now, loads
}

// scaled is a time between messages in a failure domain with so many other
// instances, so that the messages grow with their number and not its square.
func scaled(every time.Duration, others int) time.Duration {
	return every * time.Duration(1+others/smallDomain)
}

// beatFar tells other failure domains about this instance, as long as the store
// does not list it. Others are known from the store's list, and their state from
// reports.
func (in *Instance) beatFar(hb *heartbeats, now time.Time) {
	if in.announced.Load() {
		return
	}
	known := in.members.Known()
	switch {
	case !now.Before(hb.farFull):
		hb.farPause = min(2*hb.farPause, farFullMost)
		hb.farFull, hb.regionFull = now.Add(hb.farPause), now
		in.sendFull(known, fleet.LoadUpdate{}, false)
	case now.Sub(hb.regionFull) >= regionFullEvery:
		hb.regionFull = now
		in.sendFull(inRegion(known, in.settings.Region), fleet.LoadUpdate{}, false)
	default:
		return
	}
	if len(known) == 0 {
		in.greetSeeds()
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

// beatDomain reports on the own failure domain to the others of the region, if
// this instance speaks for it.
func (in *Instance) beatDomain(g *groupBeat, others int, urgent bool, now time.Time) {
	if now.Sub(g.at) < scaled(domainEvery, others) {
		return
	}
	seen := in.takeSeen()
	if !in.members.Represents(in.domain()) {
		return
	}
	r := in.report(g, in.domain(), urgent, now)
	r.Seen = fleet.SeenPairs(seen)
	if len(r.Alive) == 0 && len(r.Loads) == 0 && len(r.Seen) == 0 {
		return
	}
	b, err := fleet.EncodeReport(r, false)
	for _, other := range in.otherDomains() {
		in.send(in.members.Representatives(other), b, err)
	}
}

// beatRegion reports on the region to the other regions, if this instance
// speaks for it.
func (in *Instance) beatRegion(g *groupBeat, urgent bool, now time.Time) {
	if now.Sub(g.at) < regionEvery && !urgent {
		return
	}
	region := fleet.Group{Region: in.settings.Region}
	if !in.members.Represents(region) {
		return
	}
	b, err := fleet.EncodeReport(in.report(g, region, true, now), false)
	for _, d := range in.farDomains() {
		// One is enough: the next report replaces a lost one.
		if to := in.members.Representatives(d); len(to) > 0 {
			in.send(to[:1], b, err)
		}
	}
}

// report is what has changed in a group since the last report on it.
func (in *Instance) report(g *groupBeat, group fleet.Group, alive bool, now time.Time) fleet.Report {
	g.at = now
	r := in.members.Report(group, in.presence())
	if alive || now.Sub(g.alive) >= fleet.HeartbeatInterval {
		g.alive = now
	} else {
		r.Alive = nil
	}
	loads := in.groupLoads(group)
	if r.Whole = now.Sub(g.whole) >= wholeEvery; r.Whole {
		g.whole = now
		r.Loads = fleet.LoadPairs(loads)
	} else {
		r.Loads = fleet.LoadPairs(difference(g.loads, loads))
	}
	g.loads = loads
	return r
}

// groupLoads are the requests of all instances of the own failure domain or
// region.
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

// difference returns what changed between two states of loads.
func difference(before, now steering.Loads) steering.Loads {
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

func equal(a, b steering.Loads) bool { return len(a) == len(b) && len(difference(a, b)) == 0 }

// mostSeen bounds the sightings that wait for a report of the failure domain.
const mostSeen = 512

// keepSeen keeps sightings for the report of the failure domain.
func (in *Instance) keepSeen(seen []steering.Placement) {
	in.seenMu.Lock()
	defer in.seenMu.Unlock()
	in.seen = append(in.seen, seen...)
	if over := len(in.seen) - mostSeen; over > 0 {
		in.seen = in.seen[over:]
	}
}

func (in *Instance) takeSeen() []steering.Placement {
	in.seenMu.Lock()
	defer in.seenMu.Unlock()
	seen := in.seen
	in.seen = nil
	return seen
}

func (in *Instance) domain() fleet.Group {
	return fleet.Group{Region: in.settings.Region, Domain: in.settings.Domain}
}

// otherDomains are the other failure domains of the region.
func (in *Instance) otherDomains() []fleet.Group {
	var out []fleet.Group
	for d, r := range in.settings.Domains {
		if r == in.settings.Region && d != in.settings.Domain {
			out = append(out, fleet.Group{Region: r, Domain: d})
		}
	}
	return out
}

// farDomains are the failure domains of other regions.
func (in *Instance) farDomains() []fleet.Group {
	var out []fleet.Group
	for d, r := range in.settings.Domains {
		if r != in.settings.Region {
			out = append(out, fleet.Group{Region: r, Domain: d})
		}
	}
	return out
}

func (in *Instance) sendFull(to []fleet.Presence, n fleet.LoadUpdate, reply bool) {
	b, err := fleet.EncodeFull(in.presence(), n, reply)
	in.send(to, b, err)
}

func (in *Instance) sendBrief(to []fleet.Presence, n fleet.LoadUpdate) {
	b, err := fleet.EncodeBrief(in.presence(), n)
	in.send(to, b, err)
}

func (in *Instance) send(to []fleet.Presence, b []byte, err error) {
	if err != nil {
		in.log.Log(events.MalformedNews).Err(err).Send()
		return
	}
	for _, p := range to {
		in.socket.Send(p.Peer, b)
	}
}
