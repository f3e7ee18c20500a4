package ledger

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "jujubestile.example/jujubestile/internal/fixedseed"

	"jujubestile.example/jujubestile/internal/model"
)

// step is one event of a simulated history.
type step struct {
	Kind  string
	Node  int
	Other int
	Key   int
	Wait  time.Duration
}

var stepKinds = []string{
	"request", "request", "request", "request", "resend", "resend", "resend", "resend", "resend",
	"lookup", "crash", "pause", "cut", "handover", "outage", "epochs", "own",
}

func drawSteps(t *rapid.T) []step {
	draw := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:  rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			Node:  rapid.IntRange(0, 3).Draw(t, "node"),
			Other: rapid.IntRange(0, 3).Draw(t, "other"),
			Key:   rapid.IntRange(0, 7).Draw(t, "key"),
			Wait:  time.Duration(rapid.SampledFrom([]int{0, 0, 1, 5, 200, 1500}).Draw(t, "wait")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(draw, 5, 60).Draw(t, "steps")
}

var instanceIDs = []model.InstanceID{"a", "b", "c", "d"}

// runHistory executes the steps, ends all faults, and then resends every key to
// every instance.
func runHistory(f *simFleet, steps []step) {
	var keys []string
	for i, s := range steps {
		keys = f.step(s, i, keys)
		time.Sleep(s.Wait)
	}
	time.Sleep(10 * time.Second)
	f.wg.Wait()
	f.mu.Lock()
	f.lossy = false
	f.mu.Unlock()
	for _, key := range keys {
		for _, id := range instanceIDs {
			f.wg.Add(2)
			go f.request(id, key, 1)
			go f.lookup(id, key)
		}
	}
	f.wg.Wait()
	for _, n := range f.nodes {
		n.l.Flush(context.Background())
	}
	time.Sleep(10 * time.Second)
}

func (f *simFleet) step(s step, i int, keys []string) []string {
	id, other := instanceIDs[s.Node], instanceIDs[s.Other]
	n := f.node(id)
	switch s.Kind {
	case "request":
		keys = append(keys, fmt.Sprintf("%sr%d", n.l.Prefix(), i))
		f.wg.Add(1)
		go f.request(other, keys[len(keys)-1], 1)
	case "own":
		keys = append(keys, fmt.Sprintf("own-%d", i))
		f.wg.Add(2)
		go f.request(id, keys[len(keys)-1], 1)
		go f.request(other, keys[len(keys)-1], 1)
	case "resend", "lookup":
		if len(keys) == 0 {
			break
		}
		key := keys[max(0, len(keys)-1-s.Key)]
		f.wg.Add(1)
		if s.Kind == "resend" {
			go f.request(other, key, 1)
		} else {
			go f.lookup(other, key)
		}
	case "crash":
		f.start(id)
	case "pause":
		f.setUntil(func(t time.Time) { n.pausedUntil = t }, 3*time.Second)
	case "cut":
		f.setUntil(func(t time.Time) { f.cutUntil[[2]model.InstanceID{id, other}] = t }, 5*time.Second)
	case "outage":
		f.setUntil(func(t time.Time) { f.store.downUntil = t }, 5*time.Second)
	case "epochs":
		time.Sleep(time.Duration(s.Key) * 4 * time.Minute)
	case "handover":
		f.handOver(n, other)
	}
	return keys
}

func (f *simFleet) setUntil(set func(time.Time), d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	set(time.Now().Add(d))
}

func (f *simFleet) handOver(n *node, to model.InstanceID) {
	if n.id == to {
		return
	}
	f.mu.Lock()
	f.successor[source{n.id, n.inc}] = to
	inc := f.nodes[to].inc
	f.mu.Unlock()
	f.wg.Add(1)
	go func() {
		defer f.wg.Done()
		_ = n.l.HandOver(context.Background(), to, inc)
	}()
}

// Guards against a second execution of a key, against the outcome "not-run" for a
// key that has run or runs later, and against an outcome that changes. The
// histories contain crashes, pauses, partitions, graceful shutdowns, ends of
// epochs, store outages, and lost, delayed and duplicated messages.
//
// Removing any one of the following made the test fail within 50 histories, with
// the seed in parentheses: sealing
// (-rapid.seed=8417919776798742723), the incarnation check of the witness
// (1602734468986352505) and of the owner (10978256392601037188), the intent
// before the send (4347015015386397311), the epoch check of the owner
// (4429768234171718479), the floor of the witness (16455507114256139344),
// freezing during a graceful shutdown (11467948744842130548), the comparison of
// a binding with the one in the store (14033275520694445860), and the comparison
// of tokens in a repeated grant (10424346875596479263). The seed does not
// determine the scheduling of goroutines, so a seed may need several runs. The
// check of the successor's incarnation needed more histories (seed
// 5671087155396841856 of an earlier generator); TestHandOver covers it too. The
// test does not fail without the token check of the witness and its check for an
// existing outcome, which only matter if two processes have the same
// incarnation.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		seed := rapid.Uint64().Draw(rt, "seed")
		tinyTables := rapid.Bool().Draw(rt, "small")
		var bad []string
		synctest.Test(t, func(*testing.T) {
			f := newSimFleet(seed, tinyTables, instanceIDs...)
			runHistory(f, steps)
			bad = f.violations()
		})
		if len(bad) > 0 {
			rt.Fatalf("%q", bad)
		}
	})
}
