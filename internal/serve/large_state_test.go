package serve

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
	"jujubestile.example/jujubestile/platform/standin"
)

const (
	// regionInstances is the number of instances of a region of the larger
	// deployments, linkBytesPerSecond the capacity of their links: 10 Mbit/s.
	regionInstances    = 36
	linkBytesPerSecond = 10e6 / 8
	// inForceBound is the time within which a change has to be in force.
	inForceBound = 3 * time.Second
)

// encodedState returns an encoded desired state with that many routes. The routes
// of a state with fewer of them are the first ones of one with more.
func encodedState(version, count int) []byte {
	rnd := rand.New(rand.NewPCG(1, 2))
	name := func() string { return fmt.Sprintf("%07x", rnd.Uint32N(1<<28)) }
	var routes []standin.Route
	for range count {
		routes = append(routes, standin.Route{Name: "r-" + name(), Host: name()[:3] + ".example", Prefix: "/" + name() + "/" + name() + "/", Repeatable: true,
			Service: "s", Timeout: 3 * time.Second, Target: 400 * time.Millisecond})
	}
	return standin.EncodeDesiredState(version, 5, []string{"s"}, routes)
}

// encodedEndpoint returns the encoded entry of an endpoint.
func encodedEndpoint(state string) []byte {
	return fmt.Appendf(nil, `{"address":"127.0.0.1:1","info":{"service":"s","zone":"a1","capacity":4},"status":{"state":%q}}`, state)
}

// linkedInstances returns instances that fetch changes from each other over slow
// links, with a copy that holds the given items at a position. They do not call the
// store.
func linkedInstances(t *testing.T, n int, items []mirror.Item, at mirror.Position) []*Instance {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var out []*Instance
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr := netip.MustParseAddrPort(ln.Addr().String())
		in := New(Settings{Instance: model.InstanceID(fmt.Sprint("i", i)), Region: "a", Domain: "a1",
			Domains: map[model.Domain]model.Region{"a1": "a"}, Listen: Listen{Peer: addr, Requests: addr}},
			events.New(io.Discard, zerolog.Disabled, fmt.Sprint("i", i)))
		in.copy.Replace("", items, at)
		srv := peer.NewServer(peer.ServerOptions{})
		if err := srv.Register(stateService, &State{in}); err != nil {
			t.Fatal(err)
		}
		go func() { _ = srv.Serve(standin.NewSlowListener(ln, linkBytesPerSecond)) }()
		t.Cleanup(srv.Close)
		go in.catchUp(ctx)
		out = append(out, in)
	}
	return out
}

// exchangePresences delivers the presence of each instance to all others, as their
// messages do.
func exchangePresences(instances []*Instance) {
	for _, from := range instances {
		p := from.presence()
		for _, to := range instances {
			if to != from {
				deliver(to, p, time.Now())
			}
		}
	}
}

// deliver delivers the presence of an instance to another one.
func deliver(to *Instance, p fleet.Presence, now time.Time) {
	to.members.ReceiveFull(p, now)
	if to.behind(p.Position, p.Desired) {
		to.requestCatchUp()
	}
}

// Guards against a leaving endpoint that gets requests, and a desired state that is
// not in force, more than 3 s after the store accepted them: all instances of a
// region fetched a state of thousands of routes from the one that watches the
// store, whose link could not carry that, and the endpoint's change waited for it.
func TestChangesBesideALargeDesiredStateAreInTime(t *testing.T) {
	items := []mirror.Item{{Key: "op/config", Value: encodedState(1, 2822), Revision: 1},
		{Key: "servers/e", Value: encodedEndpoint("ready"), Revision: 2}}
	instances := linkedInstances(t, regionInstances, items, mirror.Position{Revision: 2})
	watcher := instances[0]
	change := func(key string, value []byte, at mirror.Revision) time.Time {
		watcher.copy.Apply("", []mirror.Event{{Item: mirror.Item{Key: key, Value: value, Revision: at}}}, mirror.Position{Revision: at})
		return time.Now()
	}
	exchangePresences(instances)
	stateAt := change("op/config", encodedState(2, 4222), 3)
	exchangePresences(instances)
	time.Sleep(200 * time.Millisecond)
	leavingAt := change("servers/e", encodedEndpoint("draining"), 4)
	awaitAll(t, instances, leavingAt.Add(inForceBound), "the endpoint leaves", func(in *Instance) bool {
		e, _ := in.table.Lookup("e")
		return e.Leaving
	})
	awaitAll(t, instances, stateAt.Add(inForceBound), "version 2 is in force", func(in *Instance) bool { return in.desiredVersion() == 2 })

	stateAt = change("op/config", encodedState(3, 4223), 5)
	awaitAll(t, instances, stateAt.Add(inForceBound), "version 3 is in force", func(in *Instance) bool { return in.desiredVersion() == 3 })
	for _, in := range instances {
		if m := in.state.Load().Routes(); m != 4223 {
			t.Fatalf("%s has %d routes", in.settings.Instance, m)
		}
	}
}

// awaitAll waits until ok holds for all instances. It reports an error for those for
// which it does not at the time end.
func awaitAll(t *testing.T, instances []*Instance, end time.Time, what string, ok func(*Instance) bool) {
	t.Helper()
	for {
		missing := 0
		for _, in := range instances {
			if !ok(in) {
				missing++
			}
		}
		if missing == 0 {
			return
		}
		if time.Now().After(end) {
			t.Errorf("%s: not so at %d of %d instances in time", what, missing, len(instances))
			return
		}
		exchangePresences(instances)
		time.Sleep(100 * time.Millisecond)
	}
}
