package serve

import (
	"context"
	"net/netip"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/steering"
)

// receive takes the messages of other instances.
func (in *Instance) receive(context.Context) { in.socket.Serve(in.heard) }

func (in *Instance) heard(m fleet.Message) {
	if m.Report != nil {
		in.heardReport(m.Report, m.Relayed)
		return
	}
	now := time.Now()
	p, fresh := m.Presence, false
	var changes []fleet.Change
	if m.Full {
		changes, fresh = in.members.ReceiveFull(p, now)
	} else {
		var ok bool
		if p, changes, ok = in.members.ReceiveBrief(m.Brief, now); !ok {
			return // Its next full message tells who it is.
		}
	}
	if p.Domain == in.settings.Domain {
		in.table.SetPeerLoads(p.ID, m.Update.Loads)
		in.table.RecordPlacements(m.Update.Seen)
		in.keepSeen(m.Update.Seen)
	}
	in.memberChanges(changes)
	if m.Reply || fresh {
		in.sendFull([]fleet.Presence{p}, fleet.LoadUpdate{Loads: in.table.OwnLoads()}, false)
	}
	if at, _ := in.copy.Position(now); p.Revision > at {
		in.askChanges()
	}
}

// heardReport takes a report on another group and passes it on in the own
// failure domain.
func (in *Instance) heardReport(r *fleet.Report, passed bool) {
	now := time.Now()
	in.memberChanges(in.members.ReceiveReport(*r, now))
	news := r.Update()
	name := r.Group().AggregateID()
	if r.Whole {
		in.table.SetPeerLoads(name, news.Loads)
	} else {
		in.table.UpdatePeerLoads(name, news.Loads)
	}
	in.table.RecordPlacements(news.Seen)
	in.groupsMu.Lock()
	in.groups[name] = now
	in.groupsMu.Unlock()
	if at, _ := in.copy.Position(now); r.Revision > at {
		in.askChanges()
	}
	if !passed && in.members.Represents(in.domain()) {
		b, err := fleet.EncodeReport(*r, true)
		in.send(in.members.SameDomain(), b, err)
	}
}

// groupAge is how long a report of another group counts.
const groupAge = 2 * time.Second

// expireGroups forgets the loads of groups that are not heard any more.
func (in *Instance) expireGroups(now time.Time) {
	in.groupsMu.Lock()
	defer in.groupsMu.Unlock()
	for name, at := range in.groups {
		if now.Sub(at) > groupAge {
			delete(in.groups, name)
			in.table.SetPeerLoads(name, nil)
		}
	}
}

func (in *Instance) askChanges() {
	select {
	case in.behind <- struct{}{}:
	default:
	}
}

// memberChanges logs changes of other instances and adapts the shares.
func (in *Instance) memberChanges(changes []fleet.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		event := events.InstanceSeen
		switch c.Kind {
		case "silent":
			event = events.InstanceSilent
			in.table.SetPeerLoads(c.ID, nil)
		case "leaving":
			event = events.InstanceLeaving
		}
		in.log.Log(event).Str("other", string(c.ID)).Str("domain", string(c.Domain)).
			Uint64("incarnation", uint64(c.Incarnation)).Send()
	}
	self := steering.Instance{ID: in.settings.Instance, Region: in.settings.Region}
	in.table.SetInstances(in.members.Instances(self))
}

const (
	// houseEvery is the time between two rounds of small tasks.
	houseEvery = 100 * time.Millisecond
	// sweepEvery is the time between two looks for idle connections.
	sweepEvery = time.Second
)

// housekeep notes silent instances and lapsed entries, and closes idle
// connections.
func (in *Instance) housekeep(ctx context.Context) {
	self := steering.Instance{ID: in.settings.Instance, Region: in.settings.Region}
	in.table.SetInstances(in.members.Instances(self))
	ticker := time.NewTicker(houseEvery)
	defer ticker.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		in.memberChanges(in.members.Tick(now))
		in.budget.SetInstances(in.instanceCount())
		in.expireGroups(now)
		in.crashes.expire(now)
		if now.Sub(in.started) < startTime {
			in.setStartShare()
		}
		for _, id := range in.table.RemoveMissing(now) {
			in.client.Drop(id)
			in.log.Log(events.EndpointChanged).Str("endpoint", string(id)).Str("change", "gone").Send()
		}
		if now.Sub(swept) >= sweepEvery {
			swept = now
			in.client.Sweep()
		}
	}
}

const (
	// startTime is how long after its start an instance looks whether it joins
	// a fleet at work. It is below settledAfter.
	startTime = 5 * time.Second
	// startShare is the share of requests that may leave the region at first if
	// all instances start together: no share before it was smaller.
	startShare = 0.35
)

func (in *Instance) setStartShare() {
	share := startShare
	if in.members.RegionSettled() {
		share = 0
	}
	in.table.SetInitialRemoteShare(share)
}

// greetSeeds sends a message to the seeds of the settings, which answer.
func (in *Instance) greetSeeds() {
	var to []fleet.Presence
	for _, a := range in.seeds() {
		to = append(to, fleet.Presence{Peer: a})
	}
	in.sendFull(to, fleet.LoadUpdate{}, true)
}

// seeds are the peer addresses of the seeds other than this instance.
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
