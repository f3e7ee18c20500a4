package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Guards against changes that do not reach all instances within 1 s, because
// waiting polls get no reply on a change or changes are not passed on.
func TestDrainSpreads(t *testing.T) {
	for _, size := range []int{20, 100, 500} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			simulate(t, size, nil, func(c *cluster) {
				c.nodes["r0-0"].Drain()
				took := c.waitUntil("drain", time.Second, func(n *Node) bool { return state(n, "r0-0") == StateLeaving })
				t.Logf("drain known after %v, %d steps of %v", took, took/(latency+coalesceDelay), latency+coalesceDelay)
				c.nodes["r0-0"].Undrain()
				c.waitUntil("undrain", time.Second, func(n *Node) bool { return state(n, "r0-0") == StateAlive })
			})
		})
	}
}

// Guards against a crashed instance that is not declared dead.
func TestCrash(t *testing.T) {
	simulate(t, 20, nil, func(c *cluster) {
		c.stops["r0-0"]()
		delete(c.stops, "r0-0")
		took := c.waitUntil("suspicion", 3*time.Second, func(n *Node) bool { return state(n, "r0-0") != StateAlive })
		dead := c.waitUntil("death", 4*time.Second, func(n *Node) bool { return state(n, "r0-0") == StateDead })
		t.Logf("suspect after %v, dead after %v", took, took+dead)
		for _, n := range c.nodes {
			if alive(n) != 19 {
				t.Errorf("%s sees %d alive, want 19", n.self().ID, alive(n))
			}
		}
	})
}

// Guards against a false suspicion that the suspected member does not refute,
// and, in the second part, against a suspicion because of a single broken network
// path, which occurs if other members are not asked to ping the member.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	simulate(t, 20, nil, func(c *cluster) {
		n := c.nodes["r0-3"]
		n.mu.Lock()
		n.table.RecordFailure(time.Now().Add(-SuspectAfter), "r0-0")
		suspected := n.table.Suspect(time.Now(), "r0-0")
		n.broadcastLocked()
		n.mu.Unlock()
		if !suspected {
			t.Fatal("Suspect did not mark the member as suspect")
		}
		time.Sleep(300 * time.Millisecond)
		c.waitUntil("refutation", 0, func(n *Node) bool { return state(n, "r0-0") == StateAlive })
		if c.nodes["r0-0"].self().Version < 2 {
			t.Error("the suspected member has not written a new version")
		}
		neighbour := c.someNeighbour("r0-0")
		c.setBlocked(func(a, b model.InstanceID) bool {
			return (a == "r0-0" && b == neighbour) || (a == neighbour && b == "r0-0")
		})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			c.waitUntil("one broken path", 0, func(n *Node) bool { return state(n, "r0-0") == StateAlive })
		}
	})
}

func (c *cluster) someNeighbour(id model.InstanceID) model.InstanceID {
	n := c.nodes[id]
	n.mu.Lock()
	defer n.mu.Unlock()
	near, _ := n.table.Neighbours()
	return near[0]
}

// Guards against a paused process that stays dead for the others after it runs
// again, or that declares the others dead itself. The pause is simulated by
// blocked calls. It starts just after all long polls have started, so that only
// pings can detect it in time. Fails without pings, refutations, Distrusted or
// the pings of all other neighbours before a suspicion.
func TestPauseAndRecovery(t *testing.T) {
	simulate(t, 20, nil, func(c *cluster) {
		time.Sleep(200 * time.Millisecond)
		c.setBlocked(func(a, b model.InstanceID) bool { return a == "r0-0" || b == "r0-0" })
		others := func(want ...State) func(*Node) bool {
			return func(n *Node) bool { return n.self().ID == "r0-0" || slices.Contains(want, state(n, "r0-0")) }
		}
		suspect := c.waitUntil("suspicion", 5500*time.Millisecond, others(StateSuspect, StateDead))
		dead := c.waitUntil("death", 4*time.Second, others(StateDead))
		t.Logf("unresponsive instance suspect after %v, dead after %v", suspect, suspect+dead)
		time.Sleep(10 * time.Second)
		if n := alive(c.nodes["r0-0"]); n != 20 {
			t.Errorf("the paused instance shows %d alive, want its last view with 20", n)
		}
		c.setBlocked(func(_, _ model.InstanceID) bool { return false })
		c.waitUntil("return", 5*time.Second, func(n *Node) bool { return alive(n) == 20 })
	})
}

// Guards against the two sides of a network partition between regions that do not
// merge after its end: after a minute each side still has the members of the
// other one as dead, after an hour it has no record of them. Without reachLoop
// the sides stay separate. Also guards against members that are shown as dead in
// their own region during the merge, which occurs after a minute if stateOf does
// not wait for DeadAfter when a member is declared dead by gossip.
func TestPartitionAndMerge(t *testing.T) {
	for _, length := range []time.Duration{time.Minute, time.Hour} {
		t.Run(length.String(), func(t *testing.T) {
			simulate(t, 18, nil, func(c *cluster) { partition(c, length) })
		})
	}
}

func partition(c *cluster, length time.Duration) {
	c.setBlocked(func(a, b model.InstanceID) bool { return (a[:2] == "r0") != (b[:2] == "r0") })
	time.Sleep(length)
	for id, n := range c.nodes {
		want := 12
		if id[:2] == "r0" {
			want = 6
		}
		if alive(n) != want {
			c.t.Errorf("%s sees %d alive in the partition, want %d", id, alive(n), want)
		}
	}
	c.setBlocked(func(_, _ model.InstanceID) bool { return false })
	took := c.waitUntil("merge", 30*time.Second, func(n *Node) bool {
		for _, m := range n.View().Members {
			if m.State == StateDead && m.ID[:2] == n.self().ID[:2] {
				c.t.Errorf("%s sees %s of its own region dead", n.self().ID, m.ID)
			}
		}
		return alive(n) == 18
	})
	c.t.Logf("merged after %v", took)
}

// Guards against a member that no instance has as its neighbour and that is
// shown as alive by all of them after its end. Only pings of random members
// detect it.
func TestUnmonitoredMember(t *testing.T) {
	simulate(t, 30, nil, func(c *cluster) {
		absent := c.unmonitored()
		c.mu.Lock()
		c.list = append(c.list, model.EntryInstance{ID: absent.ID})
		c.mu.Unlock()
		c.nodes["r0-0"].mergeMembers([]Member{absent}, "")
		c.waitUntil("its record", time.Second, func(n *Node) bool { return state(n, absent.ID) == StateAlive })
		took := c.waitUntil("its death", 2*time.Minute, func(n *Node) bool { return state(n, absent.ID) == StateDead })
		t.Logf("a member that is not a neighbour of any instance is dead after %v", took)
	})
}

// unmonitored returns a member that no instance chooses as its neighbour.
func (c *cluster) unmonitored() Member {
	for i := 0; ; i++ {
		m := Member{ID: model.InstanceID(fmt.Sprint("ghost-", i)), Region: "r0", Domain: "r0-a", Incarnation: 1, Version: 1}
		chosen := false
		for _, n := range c.nodes {
			n.mu.Lock()
			x := NewTable(time.Now(), n.table.Self())
			for _, r := range n.table.rows {
				x.Merge(time.Now(), r.member, "")
			}
			n.mu.Unlock()
			x.Merge(time.Now(), m, "")
			near, far := x.Neighbours()
			chosen = chosen || slices.Contains(near, m.ID) || slices.Contains(far, m.ID)
		}
		if !chosen {
			return m
		}
	}
}

// Guards against a restarted instance that is mistaken for its previous
// incarnation, and against delayed messages of that incarnation that override its
// record. Both occur if records are not ordered by incarnation first.
func TestRestart(t *testing.T) {
	simulate(t, 20, nil, func(c *cluster) {
		old := c.nodes["r0-0"].self()
		c.nodes["r0-0"].Drain()
		time.Sleep(time.Second)
		c.stops["r0-0"]()
		time.Sleep(time.Second)
		fresh := old
		fresh.Version = 0
		c.start(fresh, nil)
		c.waitUntil("restart", 5*time.Second, func(n *Node) bool {
			m, _ := n.View().Get("r0-0")
			return m.Incarnation > old.Incarnation && m.State == StateAlive && alive(n) == 20
		})
		old.Version = 1000
		old.Leaving = true
		c.nodes["r1-1"].mergeMembers([]Member{old}, "r1-4")
		time.Sleep(2 * time.Second)
		c.waitUntil("old message ignored", 0, func(n *Node) bool { return state(n, "r0-0") == StateAlive })
	})
}

// Guards against an instance that declares neighbours dead although more than half
// of them do not respond, so that the fault is likely its own, and against one that
// does not declare them dead when fewer do not respond.
func TestHalfOfNeighboursUnresponsive(t *testing.T) {
	simulate(t, 30, nil, func(c *cluster) {
		n := c.nodes["r0-0"]
		n.mu.Lock()
		near, far := n.table.Neighbours()
		n.mu.Unlock()
		all := append(append([]model.InstanceID{}, near...), far...)
		unresponsive := map[model.InstanceID]bool{all[0]: true, all[1]: true, all[2]: true}
		c.setBlocked(func(a, b model.InstanceID) bool {
			return (a == "r0-0" && unresponsive[b]) || (b == "r0-0" && unresponsive[a])
		})
		time.Sleep(20 * time.Second)
		if v := n.View(); !v.Distrusted || alive(n) != 30 || n.Stats()["suspicions"] != 0 {
			t.Errorf("distrusted %v, %d alive, %d suspicions; want the last view", v.Distrusted, alive(n), n.Stats()["suspicions"])
		}
		c.setBlocked(func(a, b model.InstanceID) bool { return a == all[0] || a == all[1] || b == all[0] || b == all[1] })
		time.Sleep(20 * time.Second)
		if state(n, all[0]) != StateDead || state(n, all[1]) != StateDead || n.View().Distrusted {
			t.Error("two unresponsive neighbours of five are not dead")
		}
	})
}

// Guards against a stopped member that stays alive because another instance now
// responds at its address, which occurs if the receiver of a ping does not check
// that it is the intended one.
func TestAddressReused(t *testing.T) {
	simulate(t, 20, nil, func(c *cluster) {
		c.stops["r0-0"]()
		delete(c.stops, "r0-0")
		c.mu.Lock()
		c.nodes["r0-0"] = c.nodes["r1-1"]
		c.mu.Unlock()
		c.waitUntil("death", 8*time.Second, func(n *Node) bool { return state(n, "r0-0") == StateDead })
	})
}

// Guards against deferred updates that are never sent, or that all instances send
// at the same time because the times between updates are not random, and against
// an urgent key prefix that is deferred.
func TestSpreadOfDeferredUpdates(t *testing.T) {
	simulate(t, 20, nil, func(c *cluster) {
		for _, n := range c.nodes {
			n.SetLoadClass(3)
			n.SetRulesRevision(7)
			n.SetKeyPrefix("later", false)
		}
		c.nodes["r0-0"].SetKeyPrefix("now", true)
		prefix := func(n *Node) bool { m, _ := n.View().Get("r0-0"); return m.KeyPrefix == "now" }
		c.waitUntil("urgent prefix", time.Second, prefix)
		updated := func(n *Node) bool { m := n.self(); return m.LoadClass == 3 && m.RulesRevision == 7 }
		time.Sleep(DeferredUpdateInterval(20) / 2)
		count := 0
		for _, n := range c.nodes {
			if updated(n) {
				count++
			}
		}
		if count < 3 || count > 17 {
			t.Errorf("%d of 20 instances sent their update in half of the interval, want 3 to 17", count)
		}
		c.waitUntil("updates", DeferredUpdateInterval(20), func(n *Node) bool {
			for _, m := range n.View().Members {
				if m.LoadClass != 3 || m.RulesRevision != 7 || m.KeyPrefix == "" {
					return false
				}
			}
			return true
		})
	})
}

// Guards against idle traffic over the budget of 500 bytes/s per instance, and
// logs the traffic that a change causes.
func TestTraffic(t *testing.T) {
	for _, size := range []int{20, 100, 500} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			simulate(t, size, fourTopics, func(c *cluster) {
				c.counting.Store(true)
				time.Sleep(30 * time.Second) // gob's type descriptions are sent in this time
				c.bytes.Store(0)
				const period = 20
				time.Sleep(period * time.Second)
				idle := float64(c.bytes.Load()) / period / float64(size)
				c.bytes.Store(0)
				const changes = 4
				for i := range changes {
					if i%2 == 0 {
						c.nodes["r0-0"].Drain()
					} else {
						c.nodes["r0-0"].Undrain()
					}
					time.Sleep(2 * time.Second)
				}
				change := (float64(c.bytes.Load()) - 2*changes*idle*float64(size)) / changes / float64(size)
				// Each byte that is sent by one instance is received by another.
				t.Logf("%d instances: idle %.0f bytes/s sent and as many received, %.0f of each per change", size, idle, change)
				if 2*idle > 500 {
					t.Errorf("idle %.0f bytes/s sent and received, want at most 500", 2*idle)
				}
			})
		})
	}
}

type fixedTopic string

func (f fixedTopic) Name() string               { return string(f) }
func (f fixedTopic) Digest() []byte             { return make([]byte, MaxDigestBytes) }
func (f fixedTopic) News([]byte) []byte         { return nil }
func (f fixedTopic) Merge([]byte) (bool, error) { return false, nil }

func fourTopics() []Topic {
	return []Topic{fixedTopic("a"), fixedTopic("b"), fixedTopic("c"), fixedTopic("d")}
}
