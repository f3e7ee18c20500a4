package serve

import (
	"time"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/model"
)

// The entries of live endpoints lapse while the store is down and are back soon after
// its return, so endpoints whose entries are missing stay in use for a grace period.
// An instance with a slow machine or link may lose the store while it serves the other
// instances. No entry lapses then, and those that are missing are of endpoints that
// have gone. The grace period therefore ends as soon as it is known that the store
// responded to other instances all the while. Nor does an entry lapse while an endpoint
// is silent for a short time only, such as that between the loss of the instances that
// watch the store and the takeover by others.

// storeOutage is a time in which the store responded neither to this instance nor to
// the one from which it has fetched changes.
type storeOutage struct{ from, to time.Time }

// join returns a time that covers two outages, or zero if the first one is: then the
// grace period has another reason, which stands.
func (o storeOutage) join(other storeOutage) storeOutage {
	if o == (storeOutage{}) {
		return o
	}
	if other.from.Before(o.from) {
		o.from = other.from
	}
	if other.to.After(o.to) {
		o.to = other.to
	}
	return o
}

const (
	// maxResponseGap is the longest time between two responses of a store that is not
	// down, as far as other instances report them.
	maxResponseGap = 900 * time.Millisecond
	// harmlessHeartbeats is the length of an outage in which no entry lapses, in
	// heartbeats of endpoints. It loses one report of each endpoint at most. An entry
	// lapses after three heartbeats without a report, so two lost reports and a late
	// third one are enough.
	harmlessHeartbeats = 1
)

// maxHarmlessSilence returns the longest time without a known response of the store to
// any instance after which no entry can have lapsed.
func (in *Instance) maxHarmlessSilence() time.Duration {
	return max(maxResponseGap, harmlessHeartbeats*time.Duration(in.settings.Store.Heartbeat))
}

// harmless reports whether no entry can have lapsed in an outage.
func (in *Instance) harmless(o storeOutage) bool {
	return in.members.LongestStoreSilence(o.from, o.to) <= in.maxHarmlessSilence()
}

// startMissingGrace starts the grace period for missing endpoint entries, or
// extends it, so that it lasts at least d from now.
func (in *Instance) startMissingGrace(d time.Duration, reason string, from model.InstanceID) {
	in.applyMu.Lock()
	defer in.applyMu.Unlock()
	in.outage = storeOutage{}
	in.extendMissingGrace(d, reason, from)
}

// startOutageGrace is startMissingGrace for a grace period that may turn out to be
// unnecessary. It does nothing if the outage is known to be harmless.
func (in *Instance) startOutageGrace(d time.Duration, o storeOutage, from model.InstanceID) {
	if d <= 0 || in.harmless(o) {
		return
	}
	in.applyMu.Lock()
	defer in.applyMu.Unlock()
	if time.Now().Before(in.missingGraceUntil) {
		o = in.outage.join(o)
	}
	in.outage = o
	in.extendMissingGrace(d, graceAfterOutage, from)
}

// Reasons for a grace period in event 850.
const (
	graceAfterOutage  = "outage"
	graceAfterRestore = "restored"
	graceUnknown      = "unknown"
)

// extendMissingGrace makes the grace period last at least d from now. applyMu is held.
// A period that another instance has reported is logged once.
func (in *Instance) extendMissingGrace(d time.Duration, reason string, from model.InstanceID) {
	now := time.Now()
	if until := now.Add(d); until.After(in.missingGraceUntil) {
		if from == "" || !now.Before(in.missingGraceUntil) {
			in.logGrace("begins", reason, from, d)
		}
		in.missingGraceUntil = until
	}
}

func (in *Instance) logGrace(phase, reason string, from model.InstanceID, left time.Duration) {
	line := in.log.Log(events.MissingGrace).Str("phase", phase).Str("reason", reason).Str("from", origin(from)).Dur("left_ms", left)
	if o := in.outage; o != (storeOutage{}) {
		line = line.Dur("outage_ms", o.to.Sub(o.from)).Dur("silence_ms", in.members.LongestStoreSilence(o.from, o.to))
	}
	line.Send()
}

// endNeedlessGrace ends the grace period if no entry can have lapsed. It returns the end
// that the period would have had, or now.
func (in *Instance) endNeedlessGrace(now time.Time) time.Time {
	until := in.missingGraceUntil
	if in.outage == (storeOutage{}) || !now.Before(until) || !in.harmless(in.outage) {
		return now
	}
	in.logGrace("needless", graceAfterOutage, "", until.Sub(now))
	in.outage, in.missingGraceUntil = storeOutage{}, time.Time{}
	return until
}
