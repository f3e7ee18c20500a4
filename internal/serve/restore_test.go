package serve_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"jujubestile.example/jujubestile/platform/standin"
)

// restoredCluster starts three instances and endpoints, lets lose write to the
// store what a restore then loses, and restores the store after an outage. written
// is called before the store responds again.
func restoredCluster(t *testing.T, endpoints int, lose, written func(*cluster)) *cluster {
	t.Helper()
	c := newCluster(t, 3, endpoints)
	saved := c.store.Copy()
	c.writeOther(50)
	lose(c)
	c.inForce("the last changes are in force", "/lost/", 200)
	c.store.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(300 * time.Millisecond)
	c.store.Restore(saved)
	written(c)
	c.store.SetFaults(standin.StoreFaults{})
	return c
}

// writeOther advances the store by n revisions.
func (c *cluster) writeOther(n int) {
	for range n {
		c.store.Put("other/key", nil)
	}
}

// inForce waits until each instance answers a request on the path with the
// status.
func (c *cluster) inForce(what, path string, want int) {
	c.t.Helper()
	for _, in := range c.instances {
		c.eventually(what, func() bool { _, code, _ := c.send(in, "GET", path+"x"); return code == want })
	}
}

// sendAll sends a request to each instance every 20 ms for a time and fails the
// test unless all are answered with status 200.
func (c *cluster) sendAll(path string, d time.Duration) {
	c.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, in := range c.instances {
			if _, code, body := c.send(in, "GET", path+"x"); code != 200 {
				c.t.Fatalf("%s: status %d %s on %s", in.settings.Instance, code, body, path)
			}
		}
	}
}

// Guards against a desired state that goes back, or is no longer replaced by newer
// ones, after the store was restored from a copy.
func TestRestoredStoreDesiredState(t *testing.T) {
	lose := func(c *cluster) { c.writeState("s", "/lost/") }
	write := func(c *cluster) { c.writeState("s", "/lost/", "/new/") }
	t.Run("revision unknown to the store", func(t *testing.T) {
		c := restoredCluster(t, 3, lose, func(*cluster) {})
		c.sendAll("/lost/", time.Second)
		late := c.start(3)
		c.eventually("a late instance has the lost state", func() bool { _, code, _ := c.send(late, "GET", "/lost/x"); return code == 200 })
		write(c)
		c.inForceSoon("/new/")
	})
	t.Run("revision given out again", func(t *testing.T) {
		c := restoredCluster(t, 3, lose, func(c *cluster) { write(c); c.writeOther(200) })
		c.inForceSoon("/new/")
		if n := strings.Count(c.logs.String(), `"event":205`); n != 3 {
			t.Errorf("%d events of a restored store, want 3", n)
		}
	})
}

// inForceSoon fails the test unless all instances serve the path within 2.5 s.
func (c *cluster) inForceSoon(path string) {
	c.t.Helper()
	written := time.Now()
	c.inForce("a new state is in force", path, 200)
	if took := time.Since(written); took > 2500*time.Millisecond {
		c.t.Errorf("in force after %s, want 2.5 s", took)
	}
}

// Guards against requests to endpoints that became leaving or had gone in the
// seconds that a restore of the store loses, and against dropping one that was
// added in them.
func TestRestoredStoreEndpoints(t *testing.T) {
	c := restoredCluster(t, 2, func(c *cluster) {
		c.addEndpoint("e2", "b1")
		c.store.PutEndpoint(c.endpoints[0], c.endpoints[0].Addr(), true, 0)
		c.store.RemoveEndpoint("e1")
		time.Sleep(600 * time.Millisecond)
		c.writeState("s", "/lost/")
	}, func(*cluster) {})
	restored := time.Now()
	c.sendAll("/safe/", 1500*time.Millisecond)
	c.store.PutEndpoint(c.endpoints[2], c.endpoints[2].Addr(), false, 0)
	c.sendAll("/safe/", 1500*time.Millisecond)
	for i, e := range c.endpoints[:2] {
		if e.LastStart().After(restored) {
			t.Errorf("endpoint e%d got a request after the restore", i)
		}
	}
	c.store.PutEndpoint(c.endpoints[1], c.endpoints[1].Addr(), false, 0)
	time.Sleep(600 * time.Millisecond)
	c.store.PutEndpoint(c.endpoints[2], c.endpoints[2].Addr(), true, 0)
	time.Sleep(600 * time.Millisecond)
	c.sendAll("/safe/", 200*time.Millisecond) // By the endpoint that reports again.
}

// Guards against an evacuation that ends because a restore of the store has lost
// it, one that comes back although it has ended, and either of them lasting longer
// than its writer takes to write again.
func TestRestoredStoreEvacuations(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.store.Evacuate("b1", true)
	time.Sleep(500 * time.Millisecond)
	saved := c.store.Copy()
	c.store.Evacuate("b1", false)
	c.store.Evacuate("a1", true)
	time.Sleep(500 * time.Millisecond)
	c.store.Restore(saved)
	c.writeOther(10)
	restored := time.Now()
	c.sendAll("/safe/", 1800*time.Millisecond)
	if c.endpoints[0].LastStart().After(restored) {
		t.Error("the evacuation of a1 has ended")
	}
	if strings.Count(c.logs.String(), `"domain":"b1","evacuated":true`) != 3 {
		t.Error("the evacuation of b1 came back before its writer had the time to end it again")
	}
	c.eventually("the evacuations of the restored store are in force", func() bool {
		logs := c.logs.String()
		return strings.Count(logs, `"domain":"b1","evacuated":true`) == 6 && strings.Count(logs, `"domain":"a1","evacuated":false`) == 3
	})
}

// Guards against an instance that is missing in the restored store, and against
// one that ends the lease of another because both were granted the same ID.
func TestRestoredStoreAnnouncements(t *testing.T) {
	c := newCluster(t, 2, 2)
	listed := func(want ...string) func() bool {
		return func() bool {
			var keys []string
			for _, id := range want {
				keys = append(keys, "jujubestile/instances/"+id)
			}
			return slices.Equal(c.store.Keys("jujubestile/instances/"), keys)
		}
	}
	c.eventually("two instances are listed", listed("i0", "i1"))
	saved := c.store.Copy()
	third := c.start(2)
	c.eventually("three instances are listed", listed("i0", "i1", "i2"))
	c.store.SetFaults(standin.StoreFaults{Down: true})
	c.store.Restore(saved)
	c.store.SetFaults(standin.StoreFaults{})
	c.start(3)
	c.eventually("all instances are listed", listed("i0", "i1", "i2", "i3"))
	third.stop()
	<-third.done
	if !listed("i0", "i1", "i3")() {
		t.Error(fmt.Sprint("listed: ", c.store.Keys("jujubestile/instances/")))
	}
}
