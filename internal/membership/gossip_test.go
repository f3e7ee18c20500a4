package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Guards against news that does not reach all instances within 1 s. Fails if
// changes are not announced to waiting neighbours, or not passed on.
func TestDrainSpreads(t *testing.T) {
	for _, size := range []int{20, 100, 500} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			simulate(t, size, nil, func(c *cluster) {
				c.nodes["r0-0"].Drain()
				took := c.until("drain", time.Second, func(n *Node) bool { return state(n, "r0-0") == StateLeaving })
				t.Logf("drain known after %v, %d steps of %v", took, took/(latency+coalesce), latency+coalesce)
				c.nodes["r0-0"].Undrain()
				c.until("undrain", time.Second, func(n *Node) bool { return state(n, "r0-0") == StateAlive })
			})
		})
	}
}

// Guards against a crashed instance that stays in use.
func TestCrash(t *testing.T) {
	simulate(t, 20, nil, func(c *cluster) {
		c.stops["r0-0"]()
		delete(c.stops, "r0-0")
		took := c.until("suspicion", 3*time.Second, func(n *Node) bool { return state(n, "r0-0") != StateAlive })
		dead := c.until("death", 4*time.Second, func(n *Node) bool { return state(n, "r0-0") == StateDead })
		t.Logf("suspect after %v, dead after %v", took, took+dead)
		for _, n := range c.nodes {
			if alive(n) != 19 {
				t.Errorf("%s sees %d alive, want 19", n.self().ID, alive(n))
			}
		}
	})
}

// Guards against a suspicion that its subject does not withdraw, and against
// taking a member out of use for one broken path. Fails without refutations
// and, in the second part, without asking other members.
func TestFalseAlarmIsWithdrawn(t *testing.T) {
	simulate(t, 20, nil, func(c *cluster) {
		n := c.nodes["r0-3"]
		n.mu.Lock()
		n.table.RecordFailure(time.Now().Add(-SuspectAfter), "r0-0")
		suspected := n.table.Suspect(time.Now(), "r0-0")
		n.broadcastLocked()
		n.mu.Unlock()
		if !suspected {
			t.Fatal("not suspected")
		}
		time.Sleep(300 * time.Millisecond)
		c.until("refutation", 0, func(n *Node) bool { return state(n, "r0-0") == StateAlive })
		if c.nodes["r0-0"].self().Version < 2 {
			t.Error("no new version")
		}
		neighbour := c.someNeighbour("r0-0")
		c.setBlocked(func(a, b model.InstanceID) bool {
			return (a == "r0-0" && b == neighbour) || (a == neighbour && b == "r0-0")
		})
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			c.until("one broken path", 0, func(n *Node) bool { return state(n, "r0-0") == StateAlive })
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

// Guards against a process that was paused and stays dead for the others after
// it runs again, and against its own view breaking down. The pause starts just
// after all long polls have started, so that only pings can detect it in time.
// Fails without pings, refutations, distrust, or pings of the other neighbours
// before a suspicion.
func TestPauseAndReturn(t *testing.T) {
	simulate(t, 20, nil, func(c *cluster) {
		time.Sleep(200 * time.Millisecond)
		c.setBlocked(func(a, b model.InstanceID) bool { return a == "r0-0" || b == "r0-0" })
		others := func(want ...State) func(*Node) bool {
			return func(n *Node) bool { return n.self().ID == "r0-0" || slices.Contains(want, state(n, "r0-0")) }
		}
		suspect := c.until("suspicion", 5500*time.Millisecond, others(StateSuspect, StateDead))
		dead := c.until("death", 4*time.Second, others(StateDead))
		t.Logf("silent instance suspect after %v, dead after %v", suspect, suspect+dead)
		time.Sleep(10 * time.Second)
		if n := alive(c.nodes["r0-0"]); n != 20 {
			t.Errorf("the paused one sees %d alive, want its last view of 20", n)
		}
		c.setBlocked(func(_, _ model.InstanceID) bool { return false })
		c.until("return", 5*time.Second, func(n *Node) bool { return alive(n) == 20 })
	})
}

// Guards against islands that stay apart after regions lost each other for a
// minute, when each side still has the records of the other one as dead, or
// for an hour, when it has none; and against members that look dead to their
// own region while the islands join. Fails without attempts to reach listed
// members and, for a minute, without DeadAfter for deaths that come by gossip.
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
	took := c.until("merge", 30*time.Second, func(n *Node) bool {
		for _, m := range n.View().Members {
			if m.State == StateDead && m.ID[:2] == n.self().ID[:2] {
				c.t.Errorf("%s sees %s of its own region dead", n.self().ID, m.ID)
			}
		}
		return alive(n) == 18
	})
	c.t.Logf("merged after %v", took)
}

// Guards against a member that no instance has as its neighbour and that stays
// alive for all of them after it is gone. Fails without pings of random
// members.
func TestUnwatchedMember(t *testing.T) {
	simulate(t, 30, nil, func(c *cluster) {
		ghost := c.unwatched()
		c.rules.Lock()
		c.list = append(c.list, model.EntryInstance{ID: ghost.ID})
		c.rules.Unlock()
		c.nodes["r0-0"].mergeMembers([]Member{ghost}, "")
		c.until("its record", time.Second, func(n *Node) bool { return state(n, ghost.ID) == StateAlive })
		took := c.until("its death", 2*time.Minute, func(n *Node) bool { return state(n, ghost.ID) == StateDead })
		t.Logf("a member without neighbours is dead after %v", took)
	})
}

// unwatched returns a member that no instance would choose as its neighbour.
func (c *cluster) unwatched() Member {
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

// Guards against a restarted instance that is taken for its predecessor, and
// against old messages of that one. Fails if records are not ordered by
// incarnation first.
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
		c.until("restart", 5*time.Second, func(n *Node) bool {
			m, _ := n.View().Get("r0-0")
			return m.Incarnation > old.Incarnation && m.State == StateAlive && alive(n) == 20
		})
		old.Version = 1000
		old.Leaving = true
		c.nodes["r1-1"].mergeMembers([]Member{old}, "r1-4")
		time.Sleep(2 * time.Second)
		c.until("old message ignored", 0, func(n *Node) bool { return state(n, "r0-0") == StateAlive })
	})
}

// Guards against trusting the own measurement when most neighbours look dead,
// and against never trusting it when some are. Fails without distrust.
func TestHalfOfNeighboursSilent(t *testing.T) {
	simulate(t, 30, nil, func(c *cluster) {
		n := c.nodes["r0-0"]
		n.mu.Lock()
		near, far := n.table.Neighbours()
		n.mu.Unlock()
		all := append(append([]model.InstanceID{}, near...), far...)
		silent := map[model.InstanceID]bool{all[0]: true, all[1]: true, all[2]: true}
		c.setBlocked(func(a, b model.InstanceID) bool {
			return (a == "r0-0" && silent[b]) || (b == "r0-0" && silent[a])
		})
		time.Sleep(20 * time.Second)
		if v := n.View(); !v.Distrusted || alive(n) != 30 || n.Stats()["suspicions"] != 0 {
			t.Errorf("distrusted %v, %d alive, %d suspicions; want the last view", v.Distrusted, alive(n), n.Stats()["suspicions"])
		}
		c.setBlocked(func(a, b model.InstanceID) bool { return a == all[0] || a == all[1] || b == all[0] || b == all[1] })
		time.Sleep(20 * time.Second)
		if state(n, all[0]) != StateDead || state(n, all[1]) != StateDead || n.View().Distrusted {
			t.Error("two silent neighbours of five are not dead")
		}
	})
}

// Guards against a member that stays alive because another instance now answers
// at its address. Fails if pings are not checked for whom they are meant.
func TestAddressReused(t *testing.T) {
	simulate(t, 20, nil, func(c *cluster) {
		c.stops["r0-0"]()
		delete(c.stops, "r0-0")
		c.rules.Lock()
		c.nodes["r0-0"] = c.nodes["r1-1"]
		c.rules.Unlock()
		c.until("death", 8*time.Second, func(n *Node) bool { return state(n, "r0-0") == StateDead })
	})
}

// Guards against soft updates that never arrive or that all instances send at
// the same time, and against an urgent key prefix that waits. Fails if the
// times between updates are not random, or if urgent prefixes wait.
func TestSoftUpdates(t *testing.T) {
	simulate(t, 20, nil, func(c *cluster) {
		for _, n := range c.nodes {
			n.SetLoadClass(3)
			n.SetRulesRevision(7)
			n.SetKeyPrefix("later", false)
		}
		c.nodes["r0-0"].SetKeyPrefix("now", true)
		prefix := func(n *Node) bool { m, _ := n.View().Get("r0-0"); return m.KeyPrefix == "now" }
		c.until("urgent prefix", time.Second, prefix)
		updated := func(n *Node) bool { m := n.self(); return m.LoadClass == 3 && m.RulesRevision == 7 }
		time.Sleep(DeferredUpdateInterval(20) / 2)
		count := 0
		for _, n := range c.nodes {
			if updated(n) {
				count++
			}
		}
		if count < 3 || count > 17 {
			t.Errorf("%d of 20 sent their update in half of the interval", count)
		}
		c.until("updates", DeferredUpdateInterval(20), func(n *Node) bool {
			for _, m := range n.View().Members {
				if m.LoadClass != 3 || m.RulesRevision != 7 || m.KeyPrefix == "" {
					return false
				}
			}
			return true
		})
	})
}

// Guards against idle traffic over its budget of 500 bytes/s for each
// instance, and records what a change costs.
func TestTraffic(t *testing.T) {
	for _, size := range []int{20, 100, 500} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			simulate(t, size, fourTopics, func(c *cluster) {
				c.count.Store(true)
				time.Sleep(30 * time.Second) // the type descriptions
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
				// Each byte that is sent is also received.
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
