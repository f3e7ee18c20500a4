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

// stateService is the name of the calls between instances.
const stateService = "State"

// State serves the instance's copy of the store to other instances.
type State struct{ in *Instance }

// ChangesArgs asks for what came after a revision.
type ChangesArgs struct{ After mirror.Revision }

// Changes are changes of the store, or a whole copy if the log of changes does
// not reach back so far.
type Changes struct {
	Events []mirror.Event
	// Whole means that Packed is a whole copy.
	Whole  bool
	Packed []byte
	At     mirror.Revision
	// Grace is how much longer missing endpoint entries may come back.
	Grace   time.Duration
	Members []fleet.Presence
}

// Changes implements the call.
func (s *State) Changes(args ChangesArgs, reply *Changes) error {
	var covered bool
	if reply.Events, reply.At, covered = s.in.copy.Since(args.After); !covered && reply.At > args.After {
		reply.Whole = true
		var err error
		if reply.Packed, reply.At, err = s.in.packed.of(s.in.copy); err != nil {
			return errors.Trace(err)
		}
	}
	reply.Events = withoutObjects(reply.Events)
	s.in.applying.Lock()
	reply.Grace = time.Until(s.in.graceUntil)
	s.in.applying.Unlock()
	if args.After == 0 {
		reply.Members = s.in.members.Alive()
	}
	return nil
}

const (
	// catchUpEvery is the time between two looks at other instances' copies,
	// if no message has shown a later revision.
	catchUpEvery = 300 * time.Millisecond
	// watcherPatience is how long an instance that follows the store itself
	// waits for a change that others have.
	watcherPatience = 300 * time.Millisecond
	// catchUpTimeout bounds a call for changes.
	catchUpTimeout = time.Second
	// catchUpSources is how many instances are asked in one round.
	catchUpSources = 2
)

// catchUp takes changes from instances that have seen a later revision: from
// the watcher of the region, and from any while the store does not answer.
func (in *Instance) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-in.behind:
		case <-time.After(catchUpEvery):
		}
		if _, age := in.copy.Position(time.Now()); age == 0 && !in.storeLost.Load() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(watcherPatience):
			}
		}
		for _, from := range in.sources() {
			if in.takeChanges(ctx, from) {
				break
			}
		}
	}
}

// sources are instances with later changes; the seeds, if none is known.
func (in *Instance) sources() []model.InstanceID {
	var out []model.InstanceID
	for _, p := range in.members.Ahead(in.presence()) {
		out = append(out, p.ID)
	}
	if len(out) == 0 && !in.copy.Loaded() {
		for _, s := range in.seeds() {
			out = append(out, model.InstanceID(s.String()))
		}
	}
	return out[:min(len(out), catchUpSources)]
}

func (in *Instance) takeChanges(ctx context.Context, from model.InstanceID) bool {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	before, _ := in.copy.Position(time.Now())
	var c Changes
	if err := in.peers.Call(ctx, from, stateService+".Changes", ChangesArgs{before}, &c); err != nil {
		in.log.Log(events.ChangesMissed).Str("from", string(from)).Err(err).Send()
		return false
	}
	for _, p := range c.Members {
		in.members.SetListed(p, true)
	}
	if c.At <= before {
		return false
	}
	if c.Grace > 0 {
		in.startGrace(c.Grace)
	}
	in.counters.snapshots.Add(1)
	if c.Whole {
		items, err := unpack(c.Packed)
		if err != nil {
			in.log.Log(events.ChangesMissed).Str("from", string(from)).Err(err).Send()
			return false
		}
		in.copy.Replace(items, c.At)
	} else {
		in.copy.Apply(c.Events, c.At)
	}
	in.log.Log(events.ChangesTaken).Str("from", string(from)).Int64("revision", int64(c.At)).
		Int64("before", int64(before)).Bool("whole", c.Whole).Int("changes", len(c.Events)).Send()
	return true
}
