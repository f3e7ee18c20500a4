package serve

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/store"
	"jujubestile.example/jujubestile/platform"
)

// The desired state can be a thousand times larger than any other change. Instances
// therefore fetch it apart from the changes of the store, so that these do not wait
// for it, and as the difference to the one that they have.
//
// The position of a copy of the store can thus cover desired states that the instance
// has not got yet. What the copy knows of their last change (mirror.Copy.OutOfBandAt) and
// the position up to which this instance has considered them (encodedStates.held) are kept
// apart: as long as the former is later, a desired state is missing, see missing_state.go.

// DesiredArgs asks for the desired state in force if its version is above Have, and for
// the rejected one if it is later than Held.
type DesiredArgs struct {
	Have desired.Version
	Held mirror.Position
}

// DesiredReply is the reply to DesiredArgs. It has no state if there is no newer one.
type DesiredReply struct {
	State packedState
	// Held is the position up to which the sender has considered every desired state. It
	// is zero if the sender does not tell.
	Held mirror.Position
	// Rejected is the desired state at Held, compressed, if the sender has rejected it.
	Rejected []byte
}

// Desired is the RPC method that returns a newer desired state.
func (s *State) Desired(args DesiredArgs, reply *DesiredReply) error {
	var err error
	*reply, err = s.in.states.reply(args.Have, args.Held)
	return errors.Trace(err)
}

// fetchDesired fetches a newer desired state from another instance. It reports
// whether there was one, or whether the other instance has shown that the one in force is
// the newest up to a later position.
func (in *Instance) fetchDesired(ctx context.Context, from model.InstanceID) bool {
	started := time.Now()
	have, held := in.desiredVersion(), in.states.held()
	var reply DesiredReply
	err := in.peers.Call(ctx, from, stateService+".Desired", DesiredArgs{Have: have, Held: held}, &reply)
	if err == nil {
		err = in.takeDesired(from, have, reply)
	}
	if err != nil {
		in.fetchFailed(ctx, from, err)
		return false
	}
	if reply.State.Version <= have {
		return held.Before(in.states.held())
	}
	in.counters.statesFetched.Add(1)
	in.counters.stateBytesFetched.Add(int64(len(reply.State.Packed)))
	in.log.Log(events.StateFetched).Str("from", string(from)).Uint64("state", uint64(reply.State.Version)).
		Uint64("base", uint64(reply.State.Base)).Int("bytes", len(reply.State.Packed)).Dur("took_ms", time.Since(started)).Send()
	return in.desiredVersion() > have
}

// takeDesired puts a fetched desired state in force, and records what the other instance
// has considered, for which this one had a version in force.
func (in *Instance) takeDesired(from model.InstanceID, have desired.Version, reply DesiredReply) error {
	var encoded, rejected []byte
	var err error
	if reply.State.Version > have {
		if encoded, err = in.states.unpack(reply.State); err != nil {
			return errors.Trace(err)
		}
	}
	if len(reply.Rejected) > 0 {
		if rejected, err = decompress(reply.Rejected, nil); err != nil {
			return errors.Trace(err)
		}
	}
	in.applyMu.Lock()
	defer in.applyMu.Unlock()
	if encoded != nil {
		in.adopt(encoded, reply.Held, from)
	}
	switch {
	case rejected != nil:
		in.adopt(rejected, reply.Held, from)
	case encoded == nil:
		in.states.hold(reply.Held)
	}
	return nil
}

// desiredVersion returns the version of the desired state in force, or 0.
func (in *Instance) desiredVersion() desired.Version {
	if s := in.state.Load(); s != nil {
		return s.Version
	}
	return 0
}

// adoptChange applies a change of the desired state that the store has returned, unless
// this instance has considered it before. applyMu is held.
func (in *Instance) adoptChange(c mirror.Event, era model.Era) {
	at := mirror.Position{Era: era, Revision: c.Revision}
	switch {
	case !in.states.held().Before(at):
	case c.Deleted:
		in.states.hold(at) // The state in force stays.
	default:
		in.adopt(c.Value, at, "")
	}
}

// readDesired reads the desired state from the store and puts it in force if it is newer.
// It returns the position of its last change, without a revision if there is no state.
func (in *Instance) readDesired(ctx context.Context) (mirror.Position, error) {
	known := in.copy.OutOfBandAt()
	value, changed, err := in.store.DesiredState(ctx)
	if errors.Is(err, store.ErrNotFound) {
		in.states.hold(known)
		return changed, nil
	}
	if err != nil {
		return mirror.Position{}, errors.Trace(err)
	}
	in.takeRead(value, changed, known)
	return changed, nil
}

// takeRead puts a desired state that was read from the store in force if it is newer.
// changed is the position of its last change. The position known was known before the
// call, so the state is the newest one up to there as well.
func (in *Instance) takeRead(value []byte, changed, known mirror.Position) {
	at := changed
	if at.Before(known) {
		at = known
	}
	in.applyMu.Lock()
	defer in.applyMu.Unlock()
	in.adopt(value, at, "")
}

// adopt puts an encoded desired state in force if it is newer than the current
// one. at is the position up to which it is the newest one, or zero if that is not known.
// applyMu is held.
func (in *Instance) adopt(encoded []byte, at mirror.Position, from model.InstanceID) {
	next, err := in.decoder.Decode(encoded)
	outdated := at != mirror.Position{} && at.Before(in.states.held())
	switch {
	case err != nil && outdated:
		in.log.Log(events.OlderStateIgnored).Err(err).Uint64("in_force", uint64(in.desiredVersion())).
			Str("from", origin(from)).EmbedObject(at).Send()
	case err != nil:
		in.rejectState(err, encoded, at, from)
		in.states.reject(encoded, at)
	case outdated:
		in.adoptValid(next, encoded, at, from)
		in.noteUnreadable()
	default:
		in.adoptValid(next, encoded, at, from)
		in.rejected.Store(nil)
		in.states.hold(at)
	}
}

// adoptValid is adopt for a valid state, without a record of what was considered.
func (in *Instance) adoptValid(next *desired.State, encoded []byte, at mirror.Position, from model.InstanceID) {
	old := in.state.Load()
	if old != nil && next.Version == old.Version {
		in.lease.Adopted(old.Version)
	}
	if old != nil && next.Version <= old.Version {
		if next.Version < old.Version {
			in.log.Log(events.OlderStateIgnored).Uint64("state", uint64(next.Version)).Uint64("in_force", uint64(old.Version)).
				Str("from", origin(from)).EmbedObject(at).Send()
		}
		return
	}
	in.table.SetServices(next.Services)
	in.quotas.setTenants(next.Tenants)
	in.state.Store(next)
	in.lease.Adopted(next.Version)
	in.states.add(next.Version, encoded)
	in.log.Log(events.StateAdopted).Uint64("state", uint64(next.Version)).Int("routes", next.Routes()).Int("bytes", len(encoded)).
		Str("from", origin(from)).EmbedObject(at).Send()
	in.heartbeatNow.Store(true)
}

// rejectedState describes a desired state that cannot be put in force because it is
// invalid.
type rejectedState struct {
	// Since is when this instance first rejected a state without having taken
	// another one since.
	Since time.Time `json:"since"`
	// Revision is the store's revision of the state that was rejected last.
	Revision mirror.Revision `json:"revision"`
	// Name is the route or service that is invalid and Field its field, or empty if
	// the state as a whole is.
	Name  string `json:"name,omitempty"`
	Field string `json:"field,omitempty"`
	Error string `json:"error"`
}

// rejectState logs an invalid desired state and keeps the reason for the metrics.
// The state in force stays, but API keys are no longer judged by it once the
// authorization lease ends, unless the invalid state is known to have them all. applyMu
// is held.
func (in *Instance) rejectState(err error, encoded []byte, at mirror.Position, from model.InstanceID) {
	r := &rejectedState{Since: time.Now(), Revision: at.Revision, Error: err.Error()}
	if old := in.rejected.Load(); old != nil {
		r.Since = old.Since
	}
	var field *desired.FieldError
	if errors.As(err, &field) {
		r.Name, r.Field = field.Name, field.Field
	}
	in.rejected.Store(r)
	in.setUnreadable(encoded)
	in.counters.statesRejected.Add(1)
	in.log.Log(events.StateRejected).Err(err).Str("name", r.Name).Str("field", r.Field).Time("since", r.Since).
		Uint64("in_force", uint64(in.desiredVersion())).Str("from", origin(from)).EmbedObject(at).Send()
}

// setUnreadable tells the lease whether a rejected state may have removed keys.
func (in *Instance) setUnreadable(rejected []byte) {
	state := in.state.Load()
	in.lease.SetUnreadable(state == nil || state.KeysRequired && !platform.KeepsKeys(rejected, state))
}

// noteUnreadable tells the lease again that the newest state is rejected, if it is, after
// an older one has come into force.
func (in *Instance) noteUnreadable() {
	if rejected := in.states.newestRejected(); rejected != nil {
		in.setUnreadable(rejected)
	}
}
