package proctest

import (
	"syscall"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/standin"
)

// loadRate is the number of requests per second that the tests send. The
// endpoints have capacity for several times as many, so that refusals result
// from the failure alone.
const loadRate = 100

func standardFleet(t *testing.T) *fleet {
	f := newFleet(t, fleetConfig{instances: 6, endpoints: 12, serviceTime: 20 * time.Millisecond})
	f.awaitReady(f.instances...)
	return f
}

// Guards against requests that run twice, or run although they are reported as
// not run, when entry instances are killed with requests in flight and their
// callers switch to other instances.
func TestKilledInstance(t *testing.T) {
	f := standardFleet(t)
	l := startLoad(t, f, loadRate)
	time.Sleep(time.Second)
	f.instances[0].signal(syscall.SIGKILL)
	f.instances[4].signal(syscall.SIGKILL)
	time.Sleep(5 * time.Second)
	sum := l.finish(f)
	if sum.answered < 9*(sum.answered+sum.notRun+sum.unknown)/10 {
		t.Errorf("answered %d, want at least 9 of 10", sum.answered)
	}
}

// Guards against a paused instance that continues as if no time had passed, after
// others have closed its idempotency keys and used its slots.
func TestPausedInstance(t *testing.T) {
	f := standardFleet(t)
	l := startLoad(t, f, loadRate)
	time.Sleep(time.Second)
	f.instances[1].signal(syscall.SIGSTOP)
	time.Sleep(7 * time.Second)
	f.instances[1].signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	l.finish(f)
	f.awaitReady(f.instances[1])
}

// Guards against graceful shutdowns that interrupt requests, let callers see
// refusals, or exit with an error: all instances are restarted one after another
// under load.
func TestReplaceAllInstances(t *testing.T) {
	f := standardFleet(t)
	l := startLoad(t, f, loadRate)
	time.Sleep(500 * time.Millisecond)
	for _, p := range f.instances {
		p.signal(syscall.SIGTERM)
		select {
		case err := <-p.exited:
			if err != nil {
				t.Errorf("%s exited with %v", p.id, err)
			}
		case <-time.After(20 * time.Second):
			t.Fatalf("%s did not exit within 20 s", p.id)
		}
		f.start(p)
		f.awaitReady(p)
	}
	time.Sleep(500 * time.Millisecond)
	if sum := l.finish(f); sum.notRun != 0 || sum.unknown != 0 {
		t.Errorf("not run %d, unknown %d, want 0: callers noticed the restarts", sum.notRun, sum.unknown)
	}
}

// Guards against a store outage that stops traffic, and against an instance that
// does not become ready, or uses the wrong rules, if it starts during the outage
// and can get the rules only from its peers.
func TestStoreOutageWithKilledInstance(t *testing.T) {
	f := standardFleet(t)
	f.kv.SetFaults(standin.Faults{Down: true})
	l := startLoad(t, f, loadRate)
	time.Sleep(time.Second)
	f.instances[3].signal(syscall.SIGKILL)
	time.Sleep(time.Second)
	f.start(f.instances[3])
	f.awaitReady(f.instances[3])
	time.Sleep(2 * time.Second)
	sum := l.finish(f)
	if sum.answered < 9*(sum.answered+sum.notRun+sum.unknown)/10 {
		t.Errorf("answered %d, want at least 9 of 10", sum.answered)
	}
}

// Guards against new requests at an endpoint more than 3 s after the platform has
// listed it as leaving, also while the store is down.
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
		t.Errorf("new request after %s, want at most 3 s", lastAt)
	}
}

// Guards against a request that crashes one endpoint after another while its
// caller retries it through other instances.
func TestCrashingRequest(t *testing.T) {
	f := standardFleet(t)
	l := startLoad(t, f, loadRate)
	time.Sleep(500 * time.Millisecond)
	for i := range 20 {
		post(t, "http://"+f.instances[i%len(f.instances)].entryAddr+"/v1/services/entries"+standin.CrashPath, "boom")
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
		t.Errorf("%d endpoints crashed, want at most 3 and one more by a request in flight", crashed)
	}
}

// Guards against lookups that return an instance which an operator has drained,
// also while the store is down.
func TestOperatorDrain(t *testing.T) {
	f := standardFleet(t)
	f.kv.SetFaults(standin.Faults{Down: true})
	drained := f.instances[0]
	if _, err := f.control(f.instances[5]).SetDraining(t.Context(), drained.id, true, "test"); err != nil {
		t.Fatal(err)
	}
	for _, p := range f.instances[1:] {
		eventually(t, time.Second, "lookup at "+string(p.id)+" without "+string(drained.id), func() bool {
			return !lookupContains(t, f, p, drained.id)
		})
	}
	if _, err := f.control(f.instances[5]).SetDraining(t.Context(), drained.id, false, "test"); err != nil {
		t.Fatal(err)
	}
	eventually(t, 2*time.Second, "lookup that returns the instance again", func() bool { return lookupContains(t, f, f.instances[1], drained.id) })
}

// lookupContains reports whether a lookup at p, for a caller in the region of the
// instance, returns the instance.
func lookupContains(t *testing.T, f *fleet, p *process, id model.InstanceID) bool {
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
