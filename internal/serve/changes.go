package serve

import (
	"context"
	"time"

	"github.com/juju/errors"

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

// ChangesArgs asks for the changes after a revision.
type ChangesArgs struct{ After mirror.Revision }

// Changes is the reply to ChangesArgs: changes of the store, or a full copy of it
// if the change log does not reach back to the requested revision.
type Changes struct {
	Events []mirror.Event
	// Whole means that Packed holds a full copy and replaces Events.
	Whole  bool
	Packed []byte
	// At is the revision that the receiver reaches with this reply.
	At mirror.Revision
	// Grace is the remaining time of the grace period for missing endpoint
	// entries after an outage of the store. It is not positive if there is none.
	Grace time.Duration
	// Members lists the live instances. It is set only if the caller has no
	// copy yet.
	Members []fleet.Presence
}

// Changes is the RPC method that returns the changes after args.After.
func (s *State) Changes(args ChangesArgs, reply *Changes) error {
	var covered bool
	var at mirror.Position
	if reply.Events, at, covered = s.in.copy.Since(args.After); !covered && at.Revision > args.After {
		reply.Whole = true
		var err error
		if reply.Packed, at, err = s.in.packed.get(s.in.copy); err != nil {
			return errors.Trace(err)
		}
	}
	reply.At = at.Revision
	reply.Events = withoutObjects(reply.Events)
	s.in.applyMu.Lock()
	reply.Grace = time.Until(s.in.missingGraceUntil)
	s.in.applyMu.Unlock()
	if args.After == 0 {
		reply.Members = s.in.members.Alive()
	}
	return nil
}

const (
	// catchUpInterval is the time between two rounds of comparing revisions with
	// other instances, if no message shows a later revision sooner.
	catchUpInterval = 300 * time.Millisecond
	// watchDeliveryWait is how long an instance that watches the store itself
	// waits for its watch to deliver a change before it asks other instances.
	watchDeliveryWait = 300 * time.Millisecond
	// catchUpTimeout bounds one Changes call.
	catchUpTimeout = time.Second
	// maxCatchUpSources is how many instances one round asks at most.
	maxCatchUpSources = 2
)

// catchUp fetches changes from instances with a later revision. Usually that is
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

// changeSources returns instances with a later revision. While the copy is empty
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

// fetchChanges fetches the changes after the revision of this instance's copy from
// another instance. It reports whether the copy has advanced.
func (in *Instance) fetchChanges(ctx context.Context, from model.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	before, _ := in.copy.Position(time.Now())
	var c Changes
	if err := in.peers.Call(ctx, from, stateService+".Changes", ChangesArgs{before.Revision}, &c); err != nil {
		in.log.Log(events.ChangesFetchFailed).Str("from", string(from)).Err(err).Send()
		return false
	}
	for _, p := range c.Members {
		in.members.SetListed(p, true)
	}
	if c.At <= before.Revision {
		return false
	}
	if c.Grace > 0 {
		in.startMissingGrace(c.Grace)
	}
	in.counters.changesFetched.Add(1)
	if c.Whole {
		items, err := unpack(c.Packed)
		if err != nil {
			in.log.Log(events.ChangesFetchFailed).Str("from", string(from)).Err(err).Send()
			return false
		}
		in.copy.Replace(from, items, mirror.Position{Era: before.Era, Revision: c.At})
	} else {
		in.copy.Apply(from, c.Events, mirror.Position{Era: before.Era, Revision: c.At})
	}
	in.log.Log(events.ChangesFetched).Str("from", string(from)).Int64("revision", int64(c.At)).
		Int64("before", int64(before.Revision)).Bool("whole", c.Whole).Int("changes", len(c.Events)).Send()
	return true
}
