package serve

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/logtest"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/peer"
	"jujubestile.example/jujubestile/platform"
	"jujubestile.example/jujubestile/platform/standin"
)

// configApply is the time within which a desired state has to be in force on all
// instances that reach the store.
const configApply = 2500 * time.Millisecond

// watchedFleet is a set of instances. The first one of each region, the holder, follows
// the store by the steps of the test; the others run their own loops.
type watchedFleet struct {
	t       *testing.T
	store   *standin.Store
	holders []*holder
	others  []*Instance
	logs    *logtest.Buffer
}

// holder is an instance that gives its changes to others, but no desired state.
type holder struct {
	*Instance
	state *withheldState
	srv   *peer.Server
	lost  atomic.Bool
}

// withheldState answers calls for changes at once and holds those for desired states. Once
// it is silent it holds all calls.
type withheldState struct {
	*State
	silent atomic.Bool
	// given is set while desired states are not withheld.
	given atomic.Bool
	end   context.Context
	// stop ends the calls that wait.
	stop context.CancelFunc
}

var errWithheld = errors.New("withheld")

func (s *withheldState) Changes(args ChangesArgs, reply *Changes) error {
	if s.silent.Load() {
		<-s.end.Done()
		return errWithheld
	}
	return s.State.Changes(args, reply)
}

func (s *withheldState) Desired(args DesiredArgs, reply *DesiredReply) error {
	if s.given.Load() {
		return s.State.Desired(args, reply)
	}
	<-s.end.Done()
	return errWithheld
}

// newWatchedFleet starts a holder and two other instances in each of the regions, with
// version 1 in force.
func newWatchedFleet(t *testing.T, regions ...model.Region) *watchedFleet {
	t.Helper()
	store, err := standin.StartStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	f := &watchedFleet{t: t, store: store, logs: &logtest.Buffer{}}
	f.writeState(1)
	for _, region := range regions {
		ids := []model.InstanceID{instanceIn(region, 0), instanceIn(region, 1), instanceIn(region, 2)}
		slices.SortFunc(ids, func(a, b model.InstanceID) int {
			return cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b)))
		})
		f.addHolder(ids[0], region) // The first of the region to watch the store.
		for _, id := range ids[1:] {
			in, ln := f.newInstance(id, region)
			f.serve(ln, &State{in})
			f.others = append(f.others, in)
		}
	}
	for _, h := range f.holders {
		f.list(h)
	}
	f.exchange()
	for _, in := range f.others {
		f.start(in)
	}
	go func() {
		for t.Context().Err() == nil {
			time.Sleep(20 * time.Millisecond)
			f.exchange()
		}
	}()
	f.await("version 1 is in force", time.Now().Add(configApply), func(in *Instance) bool { return in.desiredVersion() == 1 })
	time.Sleep(300 * time.Millisecond) // The other instances have ended their own calls of the store.
	return f
}

func instanceIn(region model.Region, n int) model.InstanceID {
	return model.InstanceID(fmt.Sprint(region, n))
}

func (f *watchedFleet) newInstance(id model.InstanceID, region model.Region) (*Instance, net.Listener) {
	f.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	addr, domain := netip.MustParseAddrPort(ln.Addr().String()), model.Domain(region+"1")
	in := New(Settings{Instance: id, Region: region, Domain: domain, Listen: Listen{Peer: addr, Requests: addr},
		Domains: map[model.Domain]model.Region{"a1": "a", "b1": "b"},
		Store:   StoreSettings{Address: netip.MustParseAddrPort(f.store.Addr())}}, events.New(f.logs, zerolog.DebugLevel, string(id)))
	return in, ln
}

func (f *watchedFleet) serve(ln net.Listener, receiver any) *peer.Server {
	f.t.Helper()
	srv := peer.NewServer(peer.ServerOptions{})
	if err := srv.Register(stateService, receiver); err != nil {
		f.t.Fatal(err)
	}
	go func() { _ = srv.Serve(ln) }() // Ends with Close.
	f.t.Cleanup(srv.Close)
	return srv
}

func (f *watchedFleet) addHolder(id model.InstanceID, region model.Region) {
	in, ln := f.newInstance(id, region)
	s := &withheldState{State: &State{in}}
	s.end, s.stop = context.WithCancel(f.t.Context())
	f.holders = append(f.holders, &holder{Instance: in, state: s, srv: f.serve(ln, s)})
}

// start runs the loops of an instance that follow the store and other instances.
func (f *watchedFleet) start(in *Instance) {
	for _, loop := range []func(context.Context){in.followStore, in.catchUp, in.maintain, in.repairState} {
		go loop(f.t.Context())
	}
}

func (f *watchedFleet) writeState(version int) { f.store.Put("op/config", encodedState(version, 20)) }

// list reads the whole store at a holder, follow its changes.
func (f *watchedFleet) list(h *holder) {
	f.t.Helper()
	items, at, err := h.store.List(f.t.Context())
	if err != nil {
		f.t.Fatal(err)
	}
	h.copy.Replace("", items, at)
}

func (f *watchedFleet) follow(h *holder) mirror.Position {
	f.t.Helper()
	after, _ := h.copy.Position(time.Now())
	changes, at, err := h.store.Watch(f.t.Context(), after, time.Second)
	if err != nil {
		f.t.Fatal(err)
	}
	h.copy.Apply("", changes, at)
	return at
}

// exchange delivers the presence of each instance to all others, as their messages do. A
// holder that is not lost counts as watching the store.
func (f *watchedFleet) exchange() {
	now := time.Now()
	for _, h := range f.holders {
		p := h.presence()
		p.Watching, p.CopyAge = true, 0
		for _, in := range f.others {
			if !h.lost.Load() {
				deliver(in, p, now)
			}
		}
	}
	for _, from := range f.others {
		for _, to := range f.others {
			if from != to {
				deliver(to, from.presence(), now)
			}
		}
	}
}

// lose ends a holder. A silent one answers nothing more; otherwise its connections are
// reset.
func (h *holder) lose(silent bool) {
	h.lost.Store(true)
	if h.state.silent.Store(silent); !silent {
		h.state.stop()
		h.srv.Close()
	}
}

// await waits until ok holds for all other instances. It fails the test at the time end.
func (f *watchedFleet) await(what string, end time.Time, ok func(*Instance) bool) {
	f.t.Helper()
	for {
		var missing []model.InstanceID
		for _, in := range f.others {
			if !ok(in) {
				missing = append(missing, in.settings.Instance)
			}
		}
		if len(missing) == 0 {
			return
		}
		if time.Now().After(end) {
			f.t.Fatalf("%s: not so in time at %v", what, missing)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// changeAndPass writes a version, lets the holders have it, and waits until the others have
// passed its revision without having got it. It returns the time of the write.
func (f *watchedFleet) changeAndPass(version int) time.Time {
	f.t.Helper()
	f.writeState(version)
	written := time.Now()
	for _, h := range f.holders {
		at := f.follow(h)
		f.await("the copies have passed the revision", written.Add(configApply), func(in *Instance) bool {
			own, _ := in.copy.Position(time.Now())
			return in.settings.Region != h.settings.Region || !own.Before(at)
		})
	}
	for _, in := range f.others {
		if int(in.desiredVersion()) >= version {
			f.t.Fatalf("%s has version %d already", in.settings.Instance, version)
		}
	}
	return written
}

// Guards against a desired state that is lost with the instances that have got it from the
// store, although the copies of all others have passed its revision.
func TestDesiredStateLostWithItsHolders(t *testing.T) {
	for name, test := range map[string]struct {
		regions []model.Region
		silent  bool
	}{
		"killed":             {[]model.Region{"a"}, false},
		"without power":      {[]model.Region{"a"}, true},
		"of several regions": {[]model.Region{"a", "b"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newWatchedFleet(t, test.regions...)
			written := f.changeAndPass(2)
			for _, h := range f.holders {
				h.lose(test.silent)
			}
			f.await("version 2 is in force", written.Add(configApply), func(in *Instance) bool { return in.desiredVersion() == 2 })
		})
	}
}

// Guards against a state that stays missing because it was lost while the store was down:
// it is in force in time once the store is back.
func TestDesiredStateLostInAnOutageOfTheStore(t *testing.T) {
	f := newWatchedFleet(t, "a")
	f.changeAndPass(2)
	f.store.SetFaults(standin.StoreFaults{Down: true})
	f.holders[0].lose(false)
	time.Sleep(4 * time.Second)
	f.store.SetFaults(standin.StoreFaults{})
	f.await("version 2 is in force", time.Now().Add(configApply), func(in *Instance) bool { return in.desiredVersion() == 2 })
}

// Guards against the last of two changes in a row being taken for fetched because the
// first one was.
func TestLastOfTwoDesiredStatesIsLost(t *testing.T) {
	f := newWatchedFleet(t, "a")
	h := f.holders[0]
	h.state.given.Store(true)
	f.writeState(2)
	f.follow(h)
	f.await("version 2 is in force", time.Now().Add(configApply), func(in *Instance) bool { return in.desiredVersion() == 2 })
	h.state.given.Store(false)
	written := f.changeAndPass(3)
	h.lose(true)
	f.await("version 3 is in force", written.Add(configApply), func(in *Instance) bool { return in.desiredVersion() == 3 })
}

// Guards against a new instance that the store does not answer, and that takes a copy which
// covers a state for the state itself.
func TestNewInstanceLearnsThatADesiredStateIsMissing(t *testing.T) {
	f := newWatchedFleet(t, "a")
	written := f.changeAndPass(2)
	f.holders[0].lose(false)
	in, ln := f.newInstance("a9", "a")
	in.store = platform.NewStore("127.0.0.1:1", storeTransport())
	f.serve(ln, &State{in})
	for _, other := range f.others {
		deliver(in, other.presence(), time.Now())
		in.fetchChanges(t.Context(), other.settings.Instance)
	}
	if known, missing := in.missingPosition(); !missing || known == (mirror.Position{}) {
		t.Errorf("missing %t, last change known at %+v", missing, known)
	}
	go in.catchUp(t.Context())
	for in.desiredVersion() != 2 {
		if time.Since(written) > configApply {
			t.Fatalf("version %d is in force", in.desiredVersion())
		}
		for _, other := range f.others {
			deliver(in, other.presence(), time.Now())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a state that counts as missing for good because it was written again with
// the version in force, and against every instance reading that one from the store.
func TestDesiredStateWrittenAgainIsNotMissing(t *testing.T) {
	f := newWatchedFleet(t, "a")
	h := f.holders[0]
	h.state.given.Store(true)
	reads := f.store.Reads()
	f.writeState(1)
	at := f.follow(h)
	f.await("no state is missing", time.Now().Add(configApply), func(in *Instance) bool {
		_, missing := in.missingPosition()
		own, _ := in.copy.Position(time.Now())
		return !missing && !own.Before(at)
	})
	if n := f.store.Reads() - reads; n > 0 {
		t.Errorf("the state was read %d times from the store", n)
	}
}
