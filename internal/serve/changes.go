package serve

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
)

// stateService is the RPC service name under which State is registered.
const stateService = "State"

// State is the RPC receiver that serves this instance's copy of the store, and
// takes crash reports, from other instances.
type State struct{ in *Instance }

// ChangesArgs asks for the changes after a position, and for the desired state in
// force if its version is above Desired.
type ChangesArgs struct {
	After   mirror.Revision
	Era     model.Era
	Desired desired.Version
}

// Changes is the reply to ChangesArgs: changes of the store, or a full copy of it
// if the change log does not reach back to the requested position.
type Changes struct {
	Events []mirror.Event
	// Whole means that Packed holds a full copy and replaces Events.
	Whole  bool
	Packed []byte
	// At and Era are the position that the receiver reaches with this reply.
	At  mirror.Revision
	Era model.Era
	// Desired is the desired state in force, as the store encoded it. It is empty
	// if the caller has it or gets it with the changes.
	Desired []byte
	// Grace is the remaining time of the grace period for missing endpoint
	// entries after an outage of the store. It is not positive if there is none.
	Grace time.Duration
	// Members lists the live instances. It is set only if the caller has no
	// copy yet.
	Members []fleet.Presence
}

// Changes is the RPC method that returns the changes after a position.
func (s *State) Changes(args ChangesArgs, reply *Changes) error {
	after := mirror.Position{Era: args.Era, Revision: args.After}
	var at mirror.Position
	var covered bool
	if reply.Events, at, covered = s.in.copy.Since(after); !covered && after.Before(at) {
		reply.Whole = true
		var err error
		if reply.Packed, at, err = s.in.packed.get(s.in.copy); err != nil {
			return errors.Trace(err)
		}
	}
	reply.At, reply.Era = at.Revision, at.Era
	reply.Events = withoutObjects(reply.Events)
	s.in.applyMu.Lock()
	reply.Grace = time.Until(s.in.missingGraceUntil)
	reply.Desired = s.in.desired.newerThan(args.Desired, after.Before(at))
	s.in.applyMu.Unlock()
	if after == (mirror.Position{}) {
		reply.Members = s.in.members.Alive()
	}
	return nil
}

const (
	// catchUpInterval is the time between two rounds of comparing positions with
	// other instances, if no message shows a later one sooner.
	catchUpInterval = 300 * time.Millisecond
	// watchDeliveryWait is how long an instance that watches the store itself
	// waits for its watch to deliver a change before it asks other instances.
	watchDeliveryWait = 300 * time.Millisecond
	// catchUpTimeout bounds one Changes call.
	catchUpTimeout = time.Second
	// maxCatchUpSources is how many instances one round asks at most.
	maxCatchUpSources = 2
)

// catchUp fetches changes from instances with a later position. Usually that is
// the instance that watches the store for the region; while the store does not
// respond it can be any instance.
func (in *Instance) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-in.catchUpNow:
		case <-time.After(catchUpInterval):
		}
		if _, age := in.copy.Position(time.Now()); age == 0 && !in.storeLost.Load() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(watchDeliveryWait):
			}
		}
		for _, from := range in.changeSources() {
			if in.fetchChanges(ctx, from) {
				break
			}
		}
	}
}

// changeSources returns instances with a later position or a newer desired state.
// While the copy is empty
// and no such instance is known, it returns the seeds.
func (in *Instance) changeSources() []model.InstanceID {
	var out []model.InstanceID
	for _, p := range in.members.Ahead(in.presence()) {
		out = append(out, p.ID)
	}
	if len(out) == 0 && !in.copy.Loaded() {
		for _, s := range in.seeds() {
			out = append(out, model.InstanceID(s.String()))
		}
	}
	return out[:min(len(out), maxCatchUpSources)]
}

// fetchChanges fetches the changes after the position of this instance's copy, or
// a newer desired state, from another instance. It reports whether there were any.
func (in *Instance) fetchChanges(ctx context.Context, from model.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	before, _ := in.copy.Position(time.Now())
	args := ChangesArgs{After: before.Revision, Era: before.Era, Desired: in.desiredVersion()}
	var c Changes
	err := in.peers.Call(ctx, from, stateService+".Changes", args, &c)
	if err == nil {
		err = in.takeChanges(from, before, c)
	}
	if err != nil {
		in.log.Log(events.ChangesFetchFailed).Str("from", string(from)).Err(err).Send()
		return false
	}
	at, _ := in.copy.Position(time.Now())
	return before.Before(at) || in.desiredVersion() > args.Desired
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
	if len(c.Desired) > 0 {
		in.applyMu.Lock()
		in.adopt(c.Desired, at, from)
		in.applyMu.Unlock()
	}
	return nil
}

// applyChanges applies changes that lead from one position to a later one.
func (in *Instance) applyChanges(from model.InstanceID, before, at mirror.Position, c Changes) error {
	if c.Grace > 0 {
		in.startMissingGrace(c.Grace)
	}
	in.counters.changesFetched.Add(1)
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
