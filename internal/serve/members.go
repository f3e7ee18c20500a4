package serve

import (
	"context"
	"net/netip"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// receive handles the messages of other instances until the socket is closed.
func (in *Instance) receive(context.Context) { in.socket.Serve(in.handleMessage) }

// handleMessage updates the members, the loads and the placements from a message.
// It replies with a full message if the sender requests that or is a new process.
func (in *Instance) handleMessage(m fleet.Message) {
	delay := in.messageDelay(time.Now())
	m.AddDelay(delay)
	if m.Report != nil {
		in.handleReport(m, delay)
		return
	}
	if m.RateLimits != nil {
		in.handleRateLimits(m)
		return
	}
	if m.Departures != nil {
		in.handleDepartures(m)
		return
	}
	if m.Echo != nil {
		in.handleEcho(m)
		return
	}
	if m.QuotaAsk != nil || m.QuotaGrant != nil {
		in.handleQuotaMessage(m)
		return
	}
	now := time.Now()
	p, newProcess := m.Presence, false
	var changes []fleet.Change
	if m.Full {
		changes, newProcess = in.members.ReceiveFull(p, now)
	} else {
		var ok bool
		if p, changes, ok = in.members.ReceiveBrief(m.Brief, now); !ok {
			return // The sender is unknown until its next full message.
		}
	}
	if p.Domain == in.settings.Domain {
		in.setPeerLoads(p.ID, m)
		in.table.RecordPlacements(m.Update.Placements)
		in.table.MergeSpeeds(steering.ScopeDomain, m.Update.Speeds, now)
		in.queuePlacements(m.Update.Placements)
	}
	in.applyMemberChanges(changes)
	if newProcess {
		in.dropConnections(p.ID)
		in.sendRateLimitsTo(p)
		in.sendDeparturesTo(p)
	}
	if m.Reply || newProcess {
		in.sendFull([]fleet.Presence{p}, fleet.LoadUpdate{Loads: in.table.OwnLoads()}, false)
	}
	in.copy.HeardOf(p.Position, now.Add(-p.CopyAge), now.Add(delay-p.CopyAge))
	if in.behind(p.Position, p.Desired) {
		in.requestCatchUp()
	}
}

// handleReport updates the members, the loads and the placements from a report on
// another group. If this instance represents its failure domain, it relays the
// report within the domain. delay is how long the report may have waited on the way.
func (in *Instance) handleReport(m fleet.Message, delay time.Duration) {
	r, now := m.Report, time.Now()
	in.applyMemberChanges(in.members.ReceiveReport(*r, now))
	m.Update = r.Update()
	id := r.Group().AggregateID()
	if r.Whole {
		in.setPeerLoads(id, m)
	} else {
		in.table.UpdatePeerLoads(id, m.Update.Loads)
	}
	in.table.RecordPlacements(m.Update.Placements)
	in.table.MergeSpeeds(in.speedScope(r.Group()), m.Update.Speeds, now)
	in.groupReportedMu.Lock()
	in.groupReportedAt[id] = now
	in.groupReportedMu.Unlock()
	in.copy.HeardOf(r.Position(), now.Add(-r.CopyAge()), now.Add(delay-r.CopyAge()))
	if in.behind(r.Position(), r.Desired) {
		in.requestCatchUp()
	}
	if !m.Relayed && in.members.Represents(in.ownDomain()) {
		r.AddDelay(in.messageDelay(now))
		messages, err := fleet.EncodeReport(*r, true)
		in.send(in.members.SameDomain(), messages, err)
	}
}

// speedScope returns the scope of speeds in a report on a group.
func (in *Instance) speedScope(g fleet.Group) steering.SpeedScope {
	if g.Region == in.settings.Region {
		return steering.ScopeRegion
	}
	return steering.ScopeBeyond
}

// setPeerLoads replaces the loads of an instance or group that a message covers.
func (in *Instance) setPeerLoads(id model.InstanceID, m fleet.Message) {
	if m.High == 0 {
		in.table.SetPeerLoads(id, m.Update.Loads)
	} else {
		in.table.SetPeerLoadsWithin(id, m.Low, m.High, m.Update.Loads)
	}
}

// groupReportTTL is how long the loads of another group are used after its last
// report.
const groupReportTTL = 2 * time.Second

// expireGroups drops the loads of groups whose last report is too old.
func (in *Instance) expireGroups(now time.Time) {
	in.groupReportedMu.Lock()
	defer in.groupReportedMu.Unlock()
	for id, at := range in.groupReportedAt {
		if now.Sub(at) > groupReportTTL {
			delete(in.groupReportedAt, id)
			in.table.SetPeerLoads(id, nil)
		}
	}
}

// behind reports whether another instance has a later position of the store or a
// newer desired state.
func (in *Instance) behind(at mirror.Position, version desired.Version) bool {
	own, _ := in.copy.Position(time.Now())
	return fleet.Presence{Position: own, Desired: in.desiredVersion()}.Behind(at, version)
}

// dropConnections closes the connections to an instance that has fallen silent or
// started again. If its machine has lost power or was cut off, nothing else closes them:
// the next calls would wait for retransmissions, or for the resets of a process that
// does not know the connections, and the instance would count as a failed source.
func (in *Instance) dropConnections(id model.InstanceID) { in.peers.Remove(id) }

// applyMemberChanges logs changes of other instances and updates the live
// instances in the routing table.
func (in *Instance) applyMemberChanges(changes []fleet.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		event := events.InstanceSeen
		switch c.Kind {
		case "silent":
			event = events.InstanceSilent
			in.table.SetPeerLoads(c.ID, nil)
			in.dropConnections(c.ID)
		case "leaving":
			event = events.InstanceLeaving
		}
		in.log.Log(event).Str("other", string(c.ID)).Str("domain", string(c.Domain)).
			Uint64("incarnation", uint64(c.Incarnation)).Send()
	}
	in.updateInstances()
}

// updateInstances passes the other instances on to the routing table.
func (in *Instance) updateInstances() {
	in.table.SetInstances(in.members.Instances(in.self()))
}

// self returns this instance as one that may own endpoints.
func (in *Instance) self() steering.Instance {
	return steering.Instance{ID: in.settings.Instance, Region: in.settings.Region}
}

const (
	// maintenanceInterval is the time between two rounds of maintain.
	maintenanceInterval = 100 * time.Millisecond
	// sweepInterval is the time between two searches for idle connections.
	sweepInterval = time.Second
)

// maintain runs the periodic tasks: it marks instances as silent, drops group
// loads and unconfirmed crashes that are too old, removes endpoints whose entries
// have stayed missing, applies what was deferred after a restore of the store, checks that
// the instance is listed, and closes idle connections.
func (in *Instance) maintain(ctx context.Context) {
	in.updateInstances()
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		in.applyMemberChanges(in.members.Tick(now))
		in.budget.SetInstances(in.instanceCount())
		in.expireGroups(now)
		in.crashes.expire(now)
		in.settleRestore(now)
		in.checkListed()
		if now.Sub(in.started) < startupWindow {
			in.setInitialRemoteShare()
		}
		in.removeMissing(now)
		if now.Sub(swept) >= sweepInterval {
			swept = now
			in.client.Sweep()
		}
	}
}

// removeMissing removes the endpoints whose entries have stayed missing.
func (in *Instance) removeMissing(now time.Time) {
	in.applyMu.Lock()
	defer in.applyMu.Unlock()
	for _, id := range in.table.RemoveMissing(in.endNeedlessGrace(now)) {
		in.client.Drop(id)
		in.entries.remove(id, now)
		in.log.Log(events.EndpointChanged).Str("endpoint", string(id)).Str("change", "gone").Send()
	}
}

const (
	// startupWindow is how long after its start an instance checks whether it has
	// joined a region that already serves requests. It is below settledAfter, so
	// that instances that start together do not take each other for settled.
	startupWindow = 5 * time.Second
	// initialRemoteShare is the share of requests that may initially run in other
	// regions if all instances start together. It may be large because there is
	// no earlier window with a smaller share, from which it would count as a shift.
	initialRemoteShare = 0.35
)

// setInitialRemoteShare sets the share of requests that may initially run in
// other regions: initialRemoteShare, or 0 if this region was already serving
// requests when this instance started.
func (in *Instance) setInitialRemoteShare() {
	share := initialRemoteShare
	if in.members.RegionSettled() {
		share = 0
	}
	in.table.SetInitialRemoteShare(share)
}

// contactSeeds sends a full message that asks for a reply to the seeds of the
// settings.
func (in *Instance) contactSeeds() {
	var to []fleet.Presence
	for _, a := range in.seeds() {
		to = append(to, fleet.Presence{Peer: a})
	}
	in.sendFull(to, fleet.LoadUpdate{}, true)
}

// seeds returns the peer addresses of the seeds, without this instance: their IP
// addresses with this instance's peer port, which is the same on all instances.
func (in *Instance) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	self := in.settings.Listen.Peer
	for _, s := range in.settings.Seeds {
		if s.Addr() != self.Addr() {
			out = append(out, netip.AddrPortFrom(s.Addr(), self.Port()))
		}
	}
	return out
}
