package proctest

import (
	"syscall"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/standin"
)

// loadRate is how many requests a second the tests send. The endpoints carry
// several times as much, so that refusals come from the failure alone.
const loadRate = 100

func standardFleet(t *testing.T) *fleet {
	f := newFleet(t, fleetConfig{entries: 6, endpoints: 12, serviceTime: 20 * time.Millisecond})
	f.awaitReady(f.entries...)
	return f
}

// Guards against work that runs twice, or is reported as not run and ran, when
// an entry instance is killed with requests in flight and its callers go to
// another one.
func TestKilledInstance(t *testing.T) {
	f := standardFleet(t)
	l := startLoad(t, f, loadRate)
	time.Sleep(time.Second)
	f.entries[0].signal(syscall.SIGKILL)
	f.entries[4].signal(syscall.SIGKILL)
	time.Sleep(5 * time.Second)
	sum := l.finish(f)
	if sum.answered < 9*(sum.answered+sum.notRun+sum.unknown)/10 {
		t.Errorf("answered %d, want at least 9 of 10", sum.answered)
	}
}

// Guards against a paused instance that goes on, after its keys were closed
// and its slots were used by others, as if no time had passed.
func TestPausedInstance(t *testing.T) {
	f := standardFleet(t)
	l := startLoad(t, f, loadRate)
	time.Sleep(time.Second)
	f.entries[1].signal(syscall.SIGSTOP)
	time.Sleep(7 * time.Second)
	f.entries[1].signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	l.finish(f)
	f.awaitReady(f.entries[1])
}

// Guards against planned stops that cut requests, refuse them visibly, or end
// with a failure: all instances are replaced one after another under load.
func TestReplaceAllInstances(t *testing.T) {
	f := standardFleet(t)
	l := startLoad(t, f, loadRate)
	time.Sleep(500 * time.Millisecond)
	for _, p := range f.entries {
		p.signal(syscall.SIGTERM)
		select {
		case err := <-p.done:
			if err != nil {
				t.Errorf("%s ended with %v", p.id, err)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%s did not end", p.id)
		}
		f.start(p)
		f.awaitReady(p)
	}
	time.Sleep(500 * time.Millisecond)
	if sum := l.finish(f); sum.notRun != 0 || sum.unknown != 0 {
		t.Errorf("not run %d, unknown %d: callers noticed the replacement", sum.notRun, sum.unknown)
	}
}

// Guards against a store outage that stops traffic, and against a new instance
// that takes no work, or the wrong rules, while only its peers can tell it the
// rules. An instance dies during the outage.
func TestStoreOutage(t *testing.T) {
	f := standardFleet(t)
	f.kv.SetFaults(standin.Faults{Down: true})
	l := startLoad(t, f, loadRate)
	time.Sleep(time.Second)
	f.entries[3].signal(syscall.SIGKILL)
	time.Sleep(time.Second)
	f.start(f.entries[3])
	f.awaitReady(f.entries[3])
	time.Sleep(2 * time.Second)
	sum := l.finish(f)
	if sum.answered < 9*(sum.answered+sum.notRun+sum.unknown)/10 {
		t.Errorf("answered %d, want at least 9 of 10", sum.answered)
	}
}

// Guards against new work at an endpoint that the platform has listed as
// leaving for 3 s, with the store down as well.
func TestLeavingEndpoint(t *testing.T) {
	f := standardFleet(t)
	l := startLoad(t, f, loadRate)
	time.Sleep(time.Second)
	f.kv.SetFaults(standin.Faults{Down: true})
	rec := f.records[0]
	rec.State = "leaving"
	f.platform.PutEndpoint(rec)
	f.platform.Publish()
	began := time.Now()
	last := f.endpoints[0].TotalRuns()
	lastAt := time.Duration(0)
	for time.Since(began) < 6*time.Second {
		if n := f.endpoints[0].TotalRuns(); n != last {
			last, lastAt = n, time.Since(began)
		}
		time.Sleep(5 * time.Millisecond)
	}
	l.finish(f)
	t.Logf("last new request %s after the endpoint was listed as leaving", lastAt.Round(time.Millisecond))
	if lastAt > 3*time.Second {
		t.Errorf("new request after %s, bound 3 s", lastAt)
	}
}

// Guards against a request that takes down one endpoint after another while
// its caller sends it again through other instances.
func TestCrashingRequest(t *testing.T) {
	f := standardFleet(t)
	l := startLoad(t, f, loadRate)
	time.Sleep(500 * time.Millisecond)
	for i := range 20 {
		post(t, "http://"+f.entries[i%len(f.entries)].entryAddr+"/v1/services/entries"+standin.CrashPath, "boom")
		time.Sleep(100 * time.Millisecond)
	}
	l.finish(f)
	crashed := 0
	for _, e := range f.endpoints {
		if e.Crashed() {
			crashed++
		}
	}
	t.Logf("%d of %d endpoints crashed", crashed, len(f.endpoints))
	if crashed > 4 {
		t.Errorf("%d endpoints crashed, want at most 3 and one in flight", crashed)
	}
}

// Guards against a drain by an operator that lookups do not follow, also while
// the store is down.
func TestOperatorDrain(t *testing.T) {
	f := standardFleet(t)
	f.kv.SetFaults(standin.Faults{Down: true})
	victim := f.entries[0]
	if _, err := f.control(f.entries[5]).SetDraining(t.Context(), victim.id, true, "test"); err != nil {
		t.Fatal(err)
	}
	for _, p := range f.entries[1:] {
		eventually(t, time.Second, "lookup at "+string(p.id)+" without "+string(victim.id), func() bool {
			return !named(t, f, p, victim.id)
		})
	}
	if _, err := f.control(f.entries[5]).SetDraining(t.Context(), victim.id, false, "test"); err != nil {
		t.Fatal(err)
	}
	eventually(t, 2*time.Second, "lookup that names the instance again", func() bool { return named(t, f, f.entries[1], victim.id) })
}

// named reports whether a lookup at p names the instance for its own region.
func named(t *testing.T, f *fleet, p *process, id model.InstanceID) bool {
	entries, err := f.control(p).Entries(t.Context(), "10.1.0.1")
	if err != nil {
		return true
	}
	for _, e := range entries.Entries {
		if e.Instance == id {
			return true
		}
	}
	return false
}
