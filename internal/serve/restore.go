package serve

import (
	"slices"
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
)

// A store that is restored from a copy loses its last changes. Their writers write
// them again within seconds. Until then this instance keeps to what it knows where
// the order of two values is known: the version of a desired state, and the
// reports of an endpoint's process. Evacuations have no order, so those that
// differ between the copy and the restored store change only after the grace
// period.

// storeRestored records, once for each era, that the store has come back in another
// era. from is the instance that reported it, or empty for the store.
func (in *Instance) storeRestored(from model.InstanceID, before, now mirror.Position) {
	if from == "" {
		in.startMissingGrace(missingGrace, graceAfterRestore, "")
	}
	in.applyMu.Lock()
	known := in.restoredEra >= now.Era
	in.restoredEra = max(in.restoredEra, now.Era)
	in.applyMu.Unlock()
	if known {
		return
	}
	in.counters.storeRestored.Add(1)
	in.log.Log(events.StoreRestored).Str("from", origin(from)).Object("before", before).Object("store", now).Send()
	select {
	case in.storeRestores <- struct{}{}:
	default:
	}
}

// origin names the source of changes in the log.
func origin(from model.InstanceID) string {
	if from == "" {
		return "store"
	}
	return string(from)
}

// evacuations holds what is known of evacuations beside the routing table.
type evacuations struct {
	// ended has, for failure domains whose evacuation has ended, the revision at
	// which it was written.
	ended map[model.Domain]mirror.Revision
	// written has the revisions of the evacuations in force.
	written map[model.Domain]mirror.Revision
	// deferred holds changes that take effect after the grace period.
	deferred map[model.Domain]mirror.Event
}

func newEvacuations() evacuations {
	return evacuations{map[model.Domain]mirror.Revision{}, map[model.Domain]mirror.Revision{}, map[model.Domain]mirror.Event{}}
}

// applyEvacuation updates the routing table from a change of an evacuation. In a
// restored store an evacuation that is missing may have been lost, and one that
// has ended may have come back. Such changes are deferred. applyMu is held.
func (in *Instance) applyEvacuation(d model.Domain, c mirror.Event, restored bool, now time.Time) {
	ev := &in.evacuations
	returned := !c.Deleted && ev.ended[d] != 0 && c.Revision <= ev.ended[d]
	if restored && now.Before(in.missingGraceUntil) && (c.Deleted || returned) {
		ev.deferred[d] = c
		return
	}
	delete(ev.deferred, d)
	if c.Deleted {
		ev.ended[d] = ev.written[d]
		delete(ev.written, d)
	} else {
		ev.written[d] = c.Revision
		delete(ev.ended, d)
	}
	in.table.SetEvacuated(d, !c.Deleted)
	in.log.Log(events.DomainEvacuated).Str("domain", string(d)).Bool("evacuated", !c.Deleted).
		Int64("revision", int64(c.Revision)).Send()
}

// settleRestore applies the changes that were deferred after a restore of the
// store, once the writers have had the time to write again.
func (in *Instance) settleRestore(now time.Time) {
	in.applyMu.Lock()
	defer in.applyMu.Unlock()
	in.entries.expire(now)
	if now.Before(in.missingGraceUntil) || in.awaitsStore(now) {
		return
	}
	for d, c := range in.evacuations.deferred {
		in.applyEvacuation(d, c, false, now)
	}
	for id, h := range in.entries.due(now) {
		in.applyEndpoint(id, h.event, h.era, now)
	}
}

// awaitTime is how long after the grace period changes stay deferred while the
// store answers no instance, so that it cannot be written again.
const awaitTime = 10 * time.Second

// awaitsStore reports whether the store is unavailable to this instance, no other
// instance watches it, and awaitTime has not passed. applyMu is held.
func (in *Instance) awaitsStore(now time.Time) bool {
	return in.storeLost.Load() && now.Before(in.missingGraceUntil.Add(awaitTime)) &&
		!slices.ContainsFunc(in.members.Alive(), func(p fleet.Presence) bool { return p.Watching })
}
