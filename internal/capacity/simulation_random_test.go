package capacity

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "jujubestile.example/jujubestile/internal/fixedseed"

	"jujubestile.example/jujubestile/internal/model"
)

var simServices = []model.Service{"entries", "results"}

// step performs one random action.
func (sim *simulation) step() {
	n := sim.instances[rapid.IntRange(0, len(sim.instances)-1).Draw(sim.rt, "node")]
	op := rapid.SampledFrom([]string{
		"take", "take", "take", "take", "take", "release", "plan", "plan", "plan", "read", "read", "write", "write", "list",
		"time", "time", "time", "wait", "pause", "crash", "restart", "store", "rules", "platform",
	}).Draw(sim.rt, "op")
	switch op {
	case "time":
		sim.advance(time.Duration(rapid.IntRange(1, 2000).Draw(sim.rt, "ms")) * time.Millisecond)
		return
	case "wait":
		sim.runFor(time.Duration(rapid.IntRange(1, 80).Draw(sim.rt, "s")) * time.Second)
		return
	case "store":
		sim.down = !sim.down
		return
	case "rules":
		if sim.era == 0 {
			sim.changeRules()
			return
		}
		sim.restore()
		return
	}
	if sim.running(n) {
		sim.stepAt(n, op)
	} else if n.crashed && op == "restart" {
		sim.start(n)
	}
	sim.check()
}

func (sim *simulation) stepAt(n *simInstance, op string) {
	switch op {
	case "take":
		sim.take(n, rapid.SampledFrom(simServices).Draw(sim.rt, "service"), time.Duration(rapid.IntRange(1, 35000).Draw(sim.rt, "hold"))*time.Millisecond)
	case "release":
		if len(n.slots) > 0 {
			sim.release(n, rapid.IntRange(0, len(n.slots)-1).Draw(sim.rt, "slot"), rapid.Bool().Draw(sim.rt, "lost"))
		}
	case "plan":
		sim.plan(n)
	case "read":
		sim.read(n)
	case "write":
		sim.write(n, rapid.SampledFrom([]string{"ok", "ok", "ok", "lost", "late", "failed"}).Draw(sim.rt, "write"))
	case "list":
		sim.list(n, time.Duration(rapid.IntRange(0, 4900).Draw(sim.rt, "lag"))*time.Millisecond)
	case "pause":
		sim.pause(n, time.Duration(rapid.IntRange(1, 90).Draw(sim.rt, "pause"))*time.Second, rapid.Bool().Draw(sim.rt, "frozen"))
	case "crash":
		n.crashed = true
	case "platform":
		sim.togglePlatform(n)
	}
}

func (sim *simulation) pause(n *simInstance, d time.Duration, frozen bool) {
	n.pausedUntil = sim.now + d
	if frozen {
		n.frozen += d
	}
}

// togglePlatform removes an instance from the platform's list or lists it
// again, whether or not it runs.
func (sim *simulation) togglePlatform(n *simInstance) {
	if _, gone := sim.unlisted[n.id]; gone {
		delete(sim.unlisted, n.id)
		return
	}
	sim.unlisted[n.id] = sim.now
}

func (sim *simulation) changeRules() {
	svc := rapid.SampledFrom(simServices).Draw(sim.rt, "service")
	next := map[model.Service]int{}
	for s, c := range sim.caps {
		next[s] = c
	}
	next[svc] = rapid.IntRange(0, 6).Draw(sim.rt, "cap")
	sim.caps = next
	for _, n := range sim.instances {
		if !n.crashed {
			sim.deliver(n, n.incarnation, func() { sim.setRules(n) })
		}
	}
}

// runFor lets time pass. Every 3 s, the running instances read and write the
// record, read the platform's list and call their peers.
func (sim *simulation) runFor(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.advance(time.Second)
		for _, n := range sim.instances {
			if sim.running(n) && int(sim.now/time.Second)%3 == 0 {
				sim.read(n)
				sim.write(n, "ok")
				sim.list(n, 0)
				sim.plan(n)
			}
		}
	}
}

// Guards against a slot that two instances use, because the store was restored to a
// record in which another instance owns it. The rules do not change.
func TestSlotsInUseNeverExceedCapacityInRestore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, rt, 3, 1, map[model.Service]int{"entries": 4, "results": 2})
		sim.era = 1
		sim.fillHold = time.Duration(rapid.SampledFrom([]int{400, 9000, 29500}).Draw(rt, "hold all")) * time.Millisecond
		sim.runFor(15 * time.Second)
		for range rapid.IntRange(1, 3).Draw(rt, "moves") {
			sim.moveSlots()
			sim.restore()
			for range rapid.IntRange(1, 40).Draw(rt, "steps") {
				sim.step()
			}
		}
	})
}

// moveSlots makes an instance relinquish its slots, which others then claim, and
// replaces its process.
func (sim *simulation) moveSlots() {
	n := sim.instances[rapid.IntRange(0, 2).Draw(sim.rt, "leaves")]
	if !sim.running(n) {
		return
	}
	n.state.Leave(sim.clock(n))
	for range rapid.IntRange(1, 10).Draw(sim.rt, "steps") {
		sim.runFor(3 * time.Second)
		sim.setMembersWithout(n)
		sim.step()
	}
	if rapid.Bool().Draw(sim.rt, "replaced") {
		sim.start(n)
		sim.setMembersWithout(nil)
		sim.runFor(time.Duration(rapid.IntRange(0, 60).Draw(sim.rt, "s")) * time.Second)
	}
}

// setMembersWithout tells the instances of region a that all of them but one, which
// may be nil, are members.
func (sim *simulation) setMembersWithout(leaving *simInstance) {
	var home []model.InstanceID
	for _, n := range sim.instances {
		if n != leaving && n.region == "a" {
			home = append(home, n.id)
		}
	}
	for _, n := range sim.instances {
		if n != leaving && n.region == "a" && sim.running(n) {
			n.state.SetMembers(sim.clock(n), home)
		}
	}
}

// Guards against more requests in flight than slots at all instances together,
// and against link shares that sum to more than 1, while messages are lost or
// late and instances pause, crash, restart and get new rules. The test failed
// with each of these faults in the code:
//   - no check of a loan's end: "3 requests of results in flight, 2 slots
//     owned", after 12 cases;
//   - loans counted from the reply: 4 in flight and 3 owned, 38 cases;
//   - pauses ignored: 1 and 0, 425 cases;
//   - no wait after a restart: 4 and 3, 106 cases;
//   - reclaim without a mark in the record: 2 and 1, 44 cases;
//   - slots in use relinquished: 2 and 1, 11 cases;
//   - loans that end first at the lender: 5 and 4, 3 cases.
func TestSlotsInUseNeverExceedOwned(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(rt, rt, 3, 1, map[model.Service]int{"entries": 4, "results": 2})
		sim.fillHold = time.Duration(rapid.SampledFrom([]int{0, 400, 2000, 9000, 29500}).Draw(rt, "hold all")) * time.Millisecond
		if rapid.Bool().Draw(rt, "settled") {
			sim.runFor(15 * time.Second)
		}
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			sim.step()
		}
	})
}
