package serve

import (
	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/platform"
)

// desiredRecord holds the desired state in force as the store encoded it. After a
// restore the store may hold an older one, so other instances cannot always get
// it from a copy of the store.
type desiredRecord struct {
	decoder platform.DesiredDecoder
	encoded []byte
	version desired.Version
	// copied is the version in this instance's copy of the store.
	copied desired.Version
}

// newerThan returns the desired state in force if its version is above that of
// another instance. It returns nil if that instance gets it with the changes of
// the store, which is the case if they include the store's desired state and that
// is the one in force.
func (d *desiredRecord) newerThan(version desired.Version, included bool) []byte {
	if d.version <= version || included && d.copied == d.version {
		return nil
	}
	return d.encoded
}

// desiredVersion returns the version of the desired state in force, or 0.
func (in *Instance) desiredVersion() desired.Version {
	if s := in.state.Load(); s != nil {
		return s.Version
	}
	return 0
}

// adopt puts an encoded desired state in force if it is newer than the current
// one. It returns its version, or 0 if it cannot be decoded. applyMu is held.
func (in *Instance) adopt(encoded []byte, at mirror.Position, from model.InstanceID) desired.Version {
	next, err := in.desired.decoder.Decode(encoded)
	if err != nil {
		in.log.Log(events.StateRejected).Err(err).Str("from", origin(from)).EmbedObject(at).Send()
		return 0
	}
	old := in.state.Load()
	if old != nil && next.Version <= old.Version {
		if next.Version < old.Version {
			in.log.Log(events.OlderStateIgnored).Uint64("state", uint64(next.Version)).Uint64("in_force", uint64(old.Version)).
				Str("from", origin(from)).EmbedObject(at).Send()
		}
		return next.Version
	}
	in.table.SetServices(next.Services)
	in.state.Store(next)
	in.desired.encoded, in.desired.version = encoded, next.Version
	in.log.Log(events.StateAdopted).Uint64("state", uint64(next.Version)).Int("routes", next.Routes()).
		Str("from", origin(from)).EmbedObject(at).Send()
	in.heartbeatNow.Store(true)
	return next.Version
}
