package main

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// moreRoutes is the largest count of big_config in the site files in force.
	moreRoutes = 1400
	// configApply is the bound of the rule.
	configApply = 2500 * time.Millisecond
	// deployments run side by side. Each loses its watcher once a round.
	deployments = 4
	// lostStateLimit is when no further round begins.
	lostStateLimit = 85 * time.Second
	// later is how long a deployment that has missed a change is observed further.
	later = 15 * time.Second
)

var lostServices = []string{"alpha", "beta"}

// lostState: the machine that has got a new desired state from the store is lost a moment
// after the store has acknowledged the change (after_ack_kill). It checks CONFIG at the
// machines that are left.
func lostState(recordPath string, trouble bool) int {
	rec := newRecord(recordPath)
	var wg sync.WaitGroup
	var broken, rounds atomic.Int64
	end := time.Now().Add(lostStateLimit)
	started := make([]*rig, deployments)
	for d := range started {
		started[d] = lostRig(rec, d)
	}
	for d, g := range started {
		wg.Go(func() {
			g.awaitReady(g.instances...)
			time.Sleep(3 * time.Second)
			stop := g.traffic()
			defer stop()
			for round := 0; time.Now().Before(end) && broken.Load() == 0; round++ {
				rounds.Add(1)
				// Within the 5 to 400 ms of the page, the time in which the change spreads.
				delay := time.Duration(40+(round*deployments+d)*7%36) * time.Millisecond
				if lostRound(g, d, delay, trouble) {
					broken.Add(1)
					return
				}
			}
		})
	}
	wg.Wait()
	rec.line("%d rounds, %d in which machines in touch kept to the older version", rounds.Load(), broken.Load())
	fmt.Printf("%d rounds, %d with CONFIG broken\n", rounds.Load(), broken.Load())
	if broken.Load() > 0 {
		return 1
	}
	return 0
}

func lostRig(rec *record, d int) *rig {
	g := newRig(rec, 10+d, map[string]string{"lag-ikeja": "lag", "lag-lekki": "lag"})
	for i, z := range []string{"lag-ikeja", "lag-ikeja", "lag-lekki", "lag-lekki"} {
		g.add(fmt.Sprintf("edge-%d-%s-%d", d, z, i%2+1), z)
	}
	for _, s := range lostServices {
		for i, z := range []string{"lag-ikeja", "lag-lekki", "lag-ikeja"} {
			startBackend(g.store, rec, fmt.Sprintf("i-%d-%s-%d", d, s, i), s, z, 32, 20*time.Millisecond)
		}
	}
	g.putVersion(1)
	for _, in := range g.instances {
		g.start(in)
	}
	return g
}

// putVersion writes a desired state that moves one route and adds another.
func (g *rig) putVersion(version int) {
	routes := []route{{"view", "h.example", "/view/", "safe", "alpha", "2s"}, {"move", "h.example", "/move/", "safe", lostServices[version%2], "2s"}}
	for i := range moreRoutes {
		routes = append(routes, route{fmt.Sprintf("r-%d", i), "h.example", fmt.Sprintf("/x%dy/", i*7919), "safe", "alpha", "2s"})
	}
	routes = append(routes, route{"added", "h.example", fmt.Sprintf("/v%d/", version), "safe", "alpha", "2s"})
	g.store.put("op/config", state(version, lostServices, routes))
	g.version = version
}

// traffic sends ordinary requests to all instances until the returned function is called.
func (g *rig) traffic() (stop func()) {
	var ended atomic.Bool
	for _, in := range g.instances {
		for c := range 2 {
			go func() {
				for n := 0; !ended.Load(); n++ {
					ask(plain, in, "GET", "h.example", "/view/a", fmt.Sprintf("t-%s-%d-%d", in.name, c, n), time.Second, "")
					time.Sleep(20 * time.Millisecond)
				}
			}()
		}
	}
	return func() { ended.Store(true) }
}

// lostRound makes one change and loses the machine that watches the store. It reports
// whether the others keep to an older version.
func lostRound(g *rig, d int, delay time.Duration, trouble bool) bool {
	watchers := g.store.watchers()
	sent := time.Now()
	g.putVersion(g.version + 1)
	g.rec.line("deployment %d: version %d acknowledged; %v wait for changes at the store", d, g.version, watchers)
	time.Sleep(time.Until(sent.Add(delay)))
	var dead []*instance
	for _, in := range g.instances {
		if trouble && slices.Contains(watchers, in.name) {
			in.kill()
			dead = append(dead, in)
			g.rec.line("deployment %d: %s lost %.1f ms after the ack", d, in.name, time.Since(sent).Seconds()*1000)
			break
		}
	}
	time.Sleep(time.Until(sent.Add(configApply + 500*time.Millisecond)))
	if old := g.look(d, sent); old > 0 {
		time.Sleep(later)
		again := g.look(d, sent)
		g.rec.line("deployment %d: version %d, older answers %d, and %v later %d", d, g.version, old, later, again)
		return true
	}
	for _, in := range dead {
		g.start(in)
	}
	g.awaitReady(g.instances...)
	time.Sleep(500 * time.Millisecond)
	return false
}

// look sends requests that only the newest version allows, or that it has moved, to the
// instances that are left. It returns how many were handled as only an older one allows.
func (g *rig) look(d int, sent time.Time) (old int) {
	for n := range 3 {
		for _, in := range g.instances {
			if !in.running() {
				continue
			}
			g.looks++
			id := fmt.Sprintf("look-%d-%d-%d", d, g.looks, n)
			a := ask(plain, in, "GET", "h.example", fmt.Sprintf("/v%d/x", g.version), id, time.Second, "")
			g.rec.line("deployment %d: %s to the added route at %s, %.3f s after the ack of version %d: %v", d, id, in.name, time.Since(sent).Seconds(), g.version, a)
			moved := id + "-moved"
			m := ask(plain, in, "GET", "h.example", "/move/x", moved, time.Second, "")
			ran := g.rec.ran(moved)
			g.rec.line("deployment %d: %s to the moved route at %s: %v, run by %v", d, moved, in.name, m, ran)
			if a.status == 404 || len(ran) > 0 && ran[0] != lostServices[g.version%2] {
				old++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return old
}
