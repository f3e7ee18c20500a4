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
	// tickEvery is how often the router looks at caps and links of waiting
	// requests.
	tickEvery = 50 * time.Millisecond
	// announceEvery is how often the own record is brought up to date.
	announceEvery = 500 * time.Millisecond
	// notReadyAfter is how long after the start a missing rules revision is
	// logged.
	notReadyAfter = 10 * time.Second
)

// applyRules puts each new rules revision in force.
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

// drainByRules follows drain rules for this instance. A drain by an operator's
// command stays until it is withdrawn by one.
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

// housekeep does the periodic work of the instance.
func (d *Daemon) housekeep(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
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
		d.settleShifts()
		d.noteReady(now, started)
		if now.Sub(announced) >= announceEvery {
			announced = now
			d.noteMembers(now)
			d.announce()
		}
	}
}

// noteMembers takes the changes of the members since the last call.
func (d *Daemon) noteMembers(now time.Time) {
	view := d.members.View()
	if view.Seq != d.seenSeq {
		d.seenSeq = view.Seq
		d.past.note(now, view.Members)
	}
	if view.TopologySeq != d.seenShape {
		d.seenShape = view.TopologySeq
		d.logStates(view)
		d.noteRegions(now, view)
	}
}

// settleShifts tells the router that it knows where shifts stand: a peer has
// answered, or the rules came from the store and no peer lives.
func (d *Daemon) settleShifts() {
	if d.handover.Ready() {
		return
	}
	if d.rules.Contacted() || d.rules.Ready() && len(d.alive()) == 0 {
		d.handover.MarkReady()
	}
}

// noteReady logs when the instance begins to take work, or can't.
func (d *Daemon) noteReady(now, started time.Time) {
	if d.IsReady() {
		if !d.ready.Swap(true) {
			d.log.Log(events.Ready).Uint64("revision", d.rules.Head().Revision).Send()
			if !d.drained.Load() {
				d.members.Undrain()
			}
		}
		return
	}
	if now.Sub(started) > notReadyAfter && !d.ready.Load() && !d.notReadyLogged.Swap(true) {
		d.log.Log(events.NotReady).Send()
	}
}

// IsReady reports whether the instance takes work.
func (d *Daemon) IsReady() bool {
	ready, _ := d.readiness()
	return ready
}

// noteRegions tells the router which regions have failed: all their instances
// are dead, while this instance trusts its own measurements.
func (d *Daemon) noteRegions(now time.Time, view *membership.View) {
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

// announce brings the own member record up to date.
func (d *Daemon) announce() {
	prefix := d.ledger.Prefix()
	d.members.SetKeyPrefix(prefix, witnessOf(prefix) != witnessOf(d.lastPrefix))
	d.lastPrefix = prefix
	d.members.SetLoadClass(d.loadClass())
}

// witnessOf returns the witness's part of a key prefix.
func witnessOf(prefix string) string {
	parts := strings.Split(prefix, ".")
	if len(parts) < 5 {
		return ""
	}
	return strings.Join(parts[len(parts)-3:], ".")
}

// loadClass is the use of the instance's slots, from 0 to
// membership.MaxLoadClass. Waiting requests count as use.
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
