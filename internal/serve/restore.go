package serve

import (
	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
)

// storeRestored records that the store has come back in another era. from is the
// instance that reported it, or empty for the store.
func (in *Instance) storeRestored(from model.InstanceID, before, now mirror.Position) {
	in.counters.storeRestored.Add(1)
	in.log.Log(events.StoreRestored).Str("from", origin(from)).Object("before", before).Object("store", now).Send()
	if from == "" {
		in.startMissingGrace(missingGrace)
	}
}

// origin names the source of changes in the log.
func origin(from model.InstanceID) string {
	if from == "" {
		return "store"
	}
	return string(from)
}
