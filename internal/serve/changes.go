package serve

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/platform"
)

// stateService is the RPC service name under which State is registered.
const stateService = "State"

// State is the RPC receiver that serves this instance's copy of the store, and
// takes crash reports, from other instances.
type State struct{ in *Instance }

// ChangesArgs asks for the changes after a position.
type ChangesArgs struct {
	After mirror.Revision
	Era   model.Era
	// Desired is the version of the caller's desired state. DesiredApart means that
	// it fetches desired states with a call of their own.
	Desired      desired.Version
	DesiredApart bool
}

// Changes is the reply to ChangesArgs: changes of the store, or a full copy of it
// if the change log does not reach back to the requested position. It lacks the
// records of objects, and of the desired state it has the position only.
type Changes struct {
	Events []mirror.Event
	// Whole means that Packed holds a full copy and replaces Events.
	Whole  bool
	Packed []byte
	// At and Era are the position that the receiver reaches with this reply. Age is
	// the age of the sender's copy of the store, or 0 if it does not tell.
	At  mirror.Revision
	Era model.Era
	Age time.Duration
	// DesiredAt is the position of the last change of the desired state that the sender
	// knows of. It is zero if the sender does not tell.
	DesiredAt mirror.Position
	// Desired is the desired state in force, as the store encoded it, for a caller
	// that has an older one and does not fetch it apart.
	Desired []byte
	// Grace is the remaining time of the grace period for missing endpoint
	// entries after an outage of the store. It is not positive if there is none.
	Grace time.Duration
	// OutageFrom and OutageTo are how long ago the outage began and ended, if it is
	// the only reason for the grace period; otherwise both are 0.
	OutageFrom, OutageTo time.Duration
	// Members lists the live instances. It is set only if the caller has no
	// copy yet.
	Members []fleet.Presence
}

// Changes is the RPC method that returns the changes after a position.
func (s *State) Changes(args ChangesArgs, reply *Changes) error {
	after := mirror.Position{Era: args.Era, Revision: args.After}
	reply.Age = max(s.in.copy.Age(time.Now()), 1)
	var at mirror.Position
	var covered bool
	if reply.Events, at, covered = s.in.copy.Since(after); !covered && after.Before(at) {
		reply.Whole = true
		var err error
		if reply.Packed, at, err = s.in.packed.get(s.in.copy); err != nil {
			return errors.Trace(err)
		}
	}
	reply.At, reply.Era, reply.DesiredAt = at.Revision, at.Era, s.in.copy.OutOfBandAt()
	reply.Events = withoutUnshared(reply.Events)
	s.in.applyMu.Lock()
	reply.Grace = time.Until(s.in.missingGraceUntil)
	if o := s.in.outage; o != (storeOutage{}) {
		reply.OutageFrom, reply.OutageTo = time.Since(o.from), time.Since(o.to)
	}
	s.in.applyMu.Unlock()
	if !args.DesiredApart {
		reply.Desired = s.in.states.newerThan(args.Desired)
	}
	if after == (mirror.Position{}) {
		reply.Members = s.in.members.Alive()
	}
	return nil
}

// isDesired reports whether a key is that of the desired state, which is out of band in
// copies of the store because it is large.
func isDesired(key string) bool { return platform.RecordOf(key).Desired }

// unshared reports whether instances do not send the record of a key with the
// changes: that of objects, which only a starting instance needs.
func unshared(key string) bool { return platform.RecordOf(key).Objects != "" }

// maxSharedValue bounds the values that instances send to each other, in bytes. Entries
// of endpoints and instances have some hundred. Larger ones are of other writers and
// cannot be read; a message with many of them would exceed its limit, and its receivers
// would no longer follow the store.
const maxSharedValue = 8 << 10

// withoutUnshared filters out the changes that instances do not send. Values that are
// too large are sent empty, which cannot be read either.
func withoutUnshared(changes []mirror.Event) []mirror.Event {
	out := slices.DeleteFunc(slices.Clone(changes), func(c mirror.Event) bool { return unshared(c.Key) })
	for i := range out {
		out[i].Value = sharedValue(out[i].Value)
	}
	return out
}

func sharedValue(v []byte) []byte {
	if len(v) > maxSharedValue {
		return nil
	}
	return v
}

// sharedItems filters the items that instances do not send out of a full copy.
// Those that do not watch the store hold outdated ones or none.
func sharedItems(items []mirror.Item) []mirror.Item {
	out := slices.DeleteFunc(slices.Clone(items), func(it mirror.Item) bool { return unshared(it.Key) })
	for i := range out {
		out[i].Value = sharedValue(out[i].Value)
	}
	return out
}

// fetchChanges fetches the changes after the position of this instance's copy from
// another instance. It reports whether there were any.
func (in *Instance) fetchChanges(ctx context.Context, from model.InstanceID) bool {
	started := time.Now()
	before, _ := in.copy.Position(started)
	args := ChangesArgs{After: before.Revision, Era: before.Era, Desired: in.desiredVersion(), DesiredApart: true}
	var c Changes
	err := in.peers.Call(ctx, from, stateService+".Changes", args, &c)
	in.callEnded(started, err)
	if err == nil {
		err = in.takeChanges(from, before, c)
	}
	if err != nil {
		in.fetchFailed(ctx, from, err)
		return false
	}
	if c.Age > 0 {
		in.copy.Confirm(mirror.Position{Era: c.Era, Revision: c.At}, started.Add(-c.Age))
	}
	at, _ := in.copy.Position(time.Now())
	return before.Before(at)
}

// takeChanges applies the changes that another instance returned for a position.
func (in *Instance) takeChanges(from model.InstanceID, before mirror.Position, c Changes) error {
	for _, p := range c.Members {
		in.members.SetListed(p, true)
	}
	at := mirror.Position{Era: c.Era, Revision: c.At}
	if before.Before(at) {
		if err := in.applyChanges(from, before, at, c); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// applyChanges applies changes that lead from one position to a later one.
func (in *Instance) applyChanges(from model.InstanceID, before, at mirror.Position, c Changes) error {
	switch now := time.Now(); {
	case c.Grace > 0 && c.OutageFrom > c.OutageTo:
		in.startOutageGrace(c.Grace, storeOutage{now.Add(-c.OutageFrom), now.Add(-c.OutageTo)}, from)
	case c.Grace > 0:
		in.startMissingGrace(c.Grace, graceUnknown, from)
	}
	in.counters.changesFetched.Add(1)
	in.copy.AnnounceOutOfBand(c.DesiredAt)
	if !c.Whole {
		in.copy.Apply(from, c.Events, at)
	} else {
		items, err := unpack(c.Packed)
		if err != nil {
			return errors.Trace(err)
		}
		if before != (mirror.Position{}) && before.Era < at.Era {
			in.storeRestored(from, before, at)
		}
		in.copy.Replace(from, items, at)
	}
	in.log.Log(events.ChangesFetched).Str("from", string(from)).EmbedObject(at).Object("before", before).
		Bool("whole", c.Whole).Int("changes", len(c.Events)).Send()
	return nil
}
