package daemon

import (
	"jujubestile.example/jujubestile/internal/configsync"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
)

var rulesEvents = map[configsync.EventKind]events.Event{
	configsync.EventStoreBehind: events.RulesStoreBehind,
	configsync.EventForked:      events.RulesForked,
	configsync.EventInvalid:     events.RulesInvalid,
	configsync.EventStoreDown:   events.StoreUnavailable,
	configsync.EventStoreUp:     events.StoreAvailable,
	configsync.EventHistory:     events.RulesHistoryFailed,
}

// logRulesEvent logs an event of configsync. Rules that come into force are logged
// by apply, whether they came from the store or from a peer.
func (d *Daemon) logRulesEvent(e configsync.Event) {
	kind, ok := rulesEvents[e.Kind]
	if !ok {
		return
	}
	d.log.Log(kind).Str("key", configsync.Key).Uint64("in_force", e.InForce.Revision).Uint64("stored", e.Stored.Revision).Err(e.Err).Send()
}

// logRPCPanic logs a panic in a method that another instance called.
func (d *Daemon) logRPCPanic(method string, value any, stack []byte) {
	d.log.Log(events.MethodPanic).Str("method", method).Interface("panic", value).Bytes("stack", stack).Send()
}

// logDeadMembers logs the members that have become dead or recovered since the
// last call. Only maintain calls it.
func (d *Daemon) logDeadMembers(view *membership.View) {
	dead := make(map[model.InstanceID]bool)
	for _, s := range view.Members {
		if s.State != membership.StateDead {
			if d.dead[s.ID] {
				d.log.Log(events.MemberRecovered).Str("member", string(s.ID)).Send()
			}
			continue
		}
		dead[s.ID] = true
		if !d.dead[s.ID] {
			d.log.Log(events.MemberDead).Str("member", string(s.ID)).Str("domain", string(s.Domain)).Send()
		}
	}
	d.dead = dead
}

var memberEvents = map[membership.EventKind]events.Event{
	membership.EventSuspected:  events.MemberSuspected,
	membership.EventRefuted:    events.SuspicionRefuted,
	membership.EventDistrust:   events.MeasurementsDistrusted,
	membership.EventTrust:      events.MeasurementsTrusted,
	membership.EventPaused:     events.ProcessPaused,
	membership.EventSuperseded: events.LaterIncarnationSeen,
	membership.EventMalformed:  events.MalformedUpdate,
}

// logMembershipEvent logs an event of the membership.
func (d *Daemon) logMembershipEvent(e membership.Event) {
	d.log.Log(memberEvents[e.Kind]).Str("member", string(e.Member)).Str("detail", e.Detail).Send()
}
