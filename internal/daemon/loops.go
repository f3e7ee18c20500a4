package daemon

import (
	"context"
	"strings"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/lookup"
	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

const (
	// tickInterval is the time between two calls of Router.Tick, which wakes
	// requests that wait for a shift cap or a link between regions.
	tickInterval = 50 * time.Millisecond
	// announceInterval is the time between two updates of the instance's own
	// member record.
	announceInterval = 500 * time.Millisecond
	// notReadyDelay is the time after the start at which an instance that is
	// still not ready logs that.
	notReadyDelay = 10 * time.Second
)

// applyRules applies each new rules revision.
func (d *Daemon) applyRules(ctx context.Context) {
	updates, stop := d.rules.Subscribe()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case set := <-updates:
			d.apply(set)
		}
	}
}

func (d *Daemon) apply(set *rules.Set) {
	now := time.Now()
	d.router.SetRules(now, set)
	d.admission.SetMinimum(set.Minimum)
	d.lookups.SetRules(set, lookup.Distances{d.settings.Region: d.settings.Distances})
	d.roster.SetDrained(now, set.DrainEndpoints, set.DrainDomains)
	head := d.rules.Head()
	d.setServices(set, head.Revision)
	d.members.SetRulesRevision(head.Revision)
	d.members.Notify(d.rules.Name())
	d.log.Log(events.RulesInForce).Uint64("revision", head.Revision).Str("author", head.Author).Str("edit", head.EditID).Send()
	d.drainByRules(set)
}

// drainByRules starts or ends a drain of this instance when a rules revision
// changes whether the instance is drained. Other revisions do not affect a drain
// that an operator has started or ended.
func (d *Daemon) drainByRules(set *rules.Set) {
	drained := set.InstanceDrained(d.settings.Instance, d.settings.Domain)
	if was := d.drainedByRules.Swap(drained); was == drained {
		return
	}
	if drained {
		d.Drain()
	} else {
		d.Undrain()
	}
}

// maintain runs the periodic tasks of the instance.
func (d *Daemon) maintain(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	started := time.Now()
	var announced time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		d.router.Tick(now)
		d.markPositionsReady()
		d.updateReady(now, started)
		if now.Sub(announced) >= announceInterval {
			announced = now
			d.updateMembers(now)
			d.announce()
		}
	}
}

// updateMembers processes the changes of the members since the last call.
func (d *Daemon) updateMembers(now time.Time) {
	view := d.members.View()
	if view.Seq != d.seenSeq {
		d.seenSeq = view.Seq
		d.incarnations.update(now, view.Members)
	}
	if view.TopologySeq != d.seenTopology {
		d.seenTopology = view.TopologySeq
		d.logDeadMembers(view)
		d.updateRegions(now, view)
	}
}

// markPositionsReady marks the positions of traffic shifts as known once a peer
// has been in contact, or the rules are in force and no peer is alive.
func (d *Daemon) markPositionsReady() {
	if d.positions.Ready() {
		return
	}
	if d.rules.Contacted() || d.rules.Ready() && len(d.alivePeers()) == 0 {
		d.positions.MarkReady()
	}
}

// updateReady logs when the instance becomes ready, and makes lookups return it
// unless it is drained. It also logs if the instance does not become ready
// within notReadyDelay.
func (d *Daemon) updateReady(now, started time.Time) {
	if d.IsReady() {
		if !d.ready.Swap(true) {
			d.log.Log(events.Ready).Uint64("revision", d.rules.Head().Revision).Send()
			if d.drained.Load() {
				d.members.Drain()
			} else {
				d.members.Undrain()
			}
		}
		return
	}
	if now.Sub(started) > notReadyDelay && !d.ready.Load() && !d.notReadyLogged.Swap(true) {
		d.log.Log(events.NotReady).Send()
	}
}

// IsReady reports whether the instance accepts requests.
func (d *Daemon) IsReady() bool {
	ready, _ := d.readiness()
	return ready
}

// updateRegions reports to the router which other regions have failed. A region
// has failed if all its instances are dead. Nothing is reported while this
// instance distrusts its own measurements.
func (d *Daemon) updateRegions(now time.Time, view *membership.View) {
	if view.Distrusted {
		return
	}
	live := make(map[model.Region]bool)
	for _, s := range view.Members {
		live[s.Region] = live[s.Region] || s.State != membership.StateDead
	}
	for region, ok := range live {
		if region != d.settings.Region {
			d.router.SetRegionFailed(now, region, !ok)
		}
	}
}

// announce updates the instance's own member record.
func (d *Daemon) announce() {
	prefix := d.ledger.Prefix()
	d.members.SetKeyPrefix(prefix, witnessOf(prefix) != witnessOf(d.lastPrefix))
	d.lastPrefix = prefix
	d.members.SetLoadClass(d.loadClass())
}

// witnessOf returns the part of a key prefix that names the witness.
func witnessOf(prefix string) string {
	parts := strings.Split(prefix, ".")
	if len(parts) < 5 {
		return ""
	}
	return strings.Join(parts[len(parts)-3:], ".")
}

// loadClass returns the utilization of the instance's slots, from 0 to
// membership.MaxLoadClass. Waiting requests count as using a slot.
func (d *Daemon) loadClass() uint8 {
	set := d.rules.Rules()
	if set == nil {
		return 0
	}
	now := time.Now()
	var used, slots int
	for s := range set.Services {
		load := d.admission.Load(s)
		for i := range load.InFlight {
			used += load.InFlight[i] + load.Waiting[i]
		}
		slots += d.router.Slots(now, s)
	}
	if slots == 0 {
		return 0
	}
	return uint8(min(used*membership.MaxLoadClass/slots, membership.MaxLoadClass))
}

// Revision returns the rules revision in force.
func (d *Daemon) Revision() uint64 {
	return d.rules.Head().Revision
}
