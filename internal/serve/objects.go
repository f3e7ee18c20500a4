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

// Which endpoint knows which object is worth keeping when all instances of a
// region restart: a request that goes elsewhere takes three times the work.
// The region's speaker writes it to the store.

const (
	// objectsEvery is the shortest time between two writes.
	objectsEvery = 4 * time.Second
	// recallTime is how long after its start an instance takes the record.
	recallTime = 3 * time.Second
	// objectsRate bounds the bytes a second that the writes take, as other
	// regions' watchers receive them.
	objectsRate = 2 << 10
)

// saveObjects writes what is known of the objects of the region's endpoints.
func (in *Instance) saveObjects(ctx context.Context) {
	pause := objectsEvery
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = objectsEvery
		if !in.members.Represents(fleet.Group{Region: in.settings.Region}) || in.storeLost.Load() || in.leaving.Load() {
			continue
		}
		known := in.table.RecentObjects(in.settings.Region)
		if len(known) == 0 {
			continue
		}
		b, err := msgpack.Marshal(known)
		if err == nil {
			err = in.store.Put(ctx, platform.ObjectsKey(in.settings.Region), b, 0)
		}
		if err != nil {
			in.log.Log(events.ObjectsNotKept).Err(err).Int("bytes", len(b)).Send()
		}
		pause = max(pause, time.Duration(len(b))*time.Second/objectsRate)
	}
}

// recallObjects takes what an earlier process of the region wrote.
func (in *Instance) recallObjects(c mirror.Event) {
	if in.recalled || time.Since(in.started) > recallTime {
		return // The process knows more by now.
	}
	in.recalled = true
	known := map[model.EndpointID]steering.RecentObjects{}
	if err := msgpack.Unmarshal(c.Value, &known); err != nil {
		in.log.Log(events.ObjectsNotKept).Err(err).Int64("revision", int64(c.Revision)).Send()
		return
	}
	in.table.RestoreRecentObjects(known)
	in.log.Log(events.ObjectsRecalled).Int("endpoints", len(known)).Int64("revision", int64(c.Revision)).Send()
}

// withoutObjects leaves out what only a starting instance needs.
func withoutObjects(changes []mirror.Event) []mirror.Event {
	out := changes[:0:0]
	for _, c := range changes {
		if platform.RecordOf(c.Key).Objects == "" {
			out = append(out, c)
		}
	}
	return out
}

// itemsWithoutObjects leaves out the same of a copy: instances that do not watch
// the store have old records of it.
func itemsWithoutObjects(items []mirror.Item) []mirror.Item {
	out := items[:0:0]
	for _, it := range items {
		if platform.RecordOf(it.Key).Objects == "" {
			out = append(out, it)
		}
	}
	return out
}
