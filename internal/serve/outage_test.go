package serve

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// Guards against an endpoint that has gone and stays in use for the grace period
// because the store was lost to this instance only, and against dropping the live
// endpoints whose entries have lapsed because the store was lost to all.
func TestGracePeriodNeedsAnOutageForAll(t *testing.T) {
	const outage = 950 * time.Millisecond
	for _, test := range []struct {
		name string
		// ages are how long before the end of the outage other instances had a
		// response of the store.
		ages []time.Duration
		gone bool
	}{
		{"the store served others", []time.Duration{900 * time.Millisecond, 500 * time.Millisecond, 80 * time.Millisecond}, true},
		{"the store served nobody", nil, false},
		{"the last response was just after the outage began", []time.Duration{940 * time.Millisecond}, false},
	} {
		in := New(Settings{Domain: "d", Region: "r"}, events.New(io.Discard, zerolog.Disabled, "i0"))
		now := time.Now()
		in.table.Put(steering.Endpoint{ID: "e", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 1, Domain: "d"}, now)
		// Each fetch of changes reports the outage again.
		for range 3 {
			in.startOutageGrace(missingGrace, storeOutage{now.Add(-outage), now}, "")
		}
		in.applyMu.Lock()
		in.applyEndpoint("e", mirror.Event{Item: mirror.Item{Key: "servers/e", Revision: 2}, Deleted: true}, 0, now)
		in.applyMu.Unlock()
		for _, age := range test.ages {
			in.members.ReceiveFull(fleet.Presence{ID: "i1", Incarnation: 1, Region: "q", Domain: "c", CopyAge: age}, now)
		}
		in.removeMissing(now)
		if _, used := in.table.Lookup("e"); used == test.gone {
			t.Errorf("%s: the endpoint is in use: %t", test.name, used)
		}
		in.removeMissing(now.Add(missingGrace + 10*time.Millisecond))
		if _, used := in.table.Lookup("e"); used {
			t.Errorf("%s: the endpoint is in use after the grace period", test.name)
		}
	}
}

// Guards against an endpoint that has gone and stays in use for a grace period because
// all instances that watch the store were lost at the same moment: no entry lapses in
// the time until others take over, or while other instances report an outage that short.
func TestTimeWithoutAWatcherIsNoOutage(t *testing.T) {
	const heartbeat = 1500 * time.Millisecond
	for _, test := range []struct {
		silence time.Duration
		gone    bool
	}{
		{1400 * time.Millisecond, true},
		// Two reports of a live endpoint may be lost, and the third may come late.
		{1600 * time.Millisecond, false},
		{2 * heartbeat, false},
		{3 * heartbeat, false},
	} {
		for _, from := range []model.InstanceID{"", "i1"} {
			in := New(Settings{Domain: "d", Region: "r", Store: StoreSettings{Heartbeat: Duration(heartbeat)}}, events.New(io.Discard, zerolog.Disabled, "i0"))
			now := time.Now()
			in.table.Put(steering.Endpoint{ID: "e", Service: "s", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 1, Domain: "d"}, now)
			in.startOutageGrace(missingGrace, storeOutage{now.Add(-test.silence), now}, from)
			in.applyMu.Lock()
			in.applyEndpoint("e", mirror.Event{Item: mirror.Item{Key: "servers/e", Revision: 2}, Deleted: true}, 0, now)
			in.applyMu.Unlock()
			if _, used := in.table.Lookup("e"); used == test.gone {
				t.Errorf("after %s without a response of the store, reported by %q: the endpoint is in use: %t", test.silence, from, used)
			}
		}
	}
}
