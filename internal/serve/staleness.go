package serve

import "time"

// An endpoint gets no request later than a bound after the store has acknowledged that
// it leaves. This is the budget, from the acknowledgement on:
//
//	change unknown here     until CompleteUntil is older than maxStaleness
//	request on its way      messageDelay, as its link is that of the messages
//	what cannot be seen     unseenDelay
//
// The copy of the store ages whatever the reason is for which changes do not arrive, so
// each state of failure ends in a refusal but one: in an outage of the store nobody has a
// change that others lack, and requests go on.

const (
	// defaultDrain is the bound if the settings have none. It is the shortest one of the
	// deployments.
	defaultDrain = Duration(2500 * time.Millisecond)
	// unseenDelay covers what is not measured: a delay that has begun since the last
	// round trip, at the sender of a message and here, one way between regions, and
	// a pause of the process between the last check and the send.
	unseenDelay = 700 * time.Millisecond
)

// maxStaleness returns how long ago this instance's copy of the store may have been
// complete for requests to be sent.
func (in *Instance) maxStaleness() time.Duration {
	drain := in.settings.Bounds.Drain
	if drain == 0 {
		drain = defaultDrain
	}
	return time.Duration(drain) - unseenDelay
}

// behindOthers reports whether changes may have been acknowledged for so long without
// being known here that requests must not be sent. Endpoints may have left, so callers
// have to use other instances.
func (in *Instance) behindOthers() bool {
	now := time.Now()
	delay := in.messageDelay(now)
	return now.Sub(in.copy.CompleteUntil(now.Add(-delay)))+delay > in.maxStaleness()
}
