package serve

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
	"jujubestile.example/jujubestile/platform"
)

// A record in the store lists which objects the endpoints of a region have
// recently handled. It is used when all instances of the region restart, which
// then do not know which endpoint has an object cached: a request at an endpoint
// without its object takes three times the work. The representative of the region
// writes the record.

const (
	// objectsInterval is the shortest time between two writes of the record.
	objectsInterval = 4 * time.Second
	// restoreWindow is how long after its start an instance uses the record.
	restoreWindow = 3 * time.Second
	// objectsBytesPerSecond bounds the rate of the writes, because the instances
	// that watch the store in other regions receive them too.
	objectsBytesPerSecond = 2 << 10
)

// saveRecentObjects periodically writes the record of the objects that the
// region's endpoints have recently handled.
func (in *Instance) saveRecentObjects(ctx context.Context) {
	pause := objectsInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = objectsInterval
		if !in.members.Represents(fleet.Group{Region: in.settings.Region}) || in.storeLost.Load() || in.leaving.Load() {
			continue
		}
		recent := in.table.RecentObjects(in.settings.Region)
		if len(recent) == 0 {
			continue
		}
		b, err := msgpack.Marshal(recent)
		if err == nil {
			_, err = in.store.Put(ctx, platform.ObjectsKey(in.settings.Region), b, 0)
		}
		if err != nil {
			in.log.Log(events.ObjectsNotStored).Err(err).Int("bytes", len(b)).Send()
		}
		pause = max(pause, time.Duration(len(b))*time.Second/objectsBytesPerSecond)
	}
}

// restoreRecentObjects loads the record that an instance of the region wrote
// before this process started.
func (in *Instance) restoreRecentObjects(c mirror.Event) {
	if in.objectsRestored || time.Since(in.started) > restoreWindow {
		return // What this process has observed since is more recent.
	}
	in.objectsRestored = true
	recent := map[model.EndpointID]steering.RecentObjects{}
	if err := msgpack.Unmarshal(c.Value, &recent); err != nil {
		in.log.Log(events.ObjectsNotStored).Err(err).Int64("revision", int64(c.Revision)).Send()
		return
	}
	in.table.RestoreRecentObjects(recent)
	in.log.Log(events.ObjectsRestored).Int("endpoints", len(recent)).Int64("revision", int64(c.Revision)).Send()
}
