package serve_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/model"
)

// inForceBound is the time within which a change has to be in force in the smaller
// deployments.
const inForceBound = 2500 * time.Millisecond

// silenceStore makes the store silent to half of the instances of each region:
// those that would watch it first.
func (c *cluster) silenceStore() {
	byRegion := map[model.Region][]*instance{}
	for _, in := range c.instances {
		byRegion[in.settings.Region] = append(byRegion[in.settings.Region], in)
	}
	for _, all := range byRegion {
		slices.SortFunc(all, func(a, b *instance) int {
			if xxhash.Sum64String(string(a.settings.Instance)) < xxhash.Sum64String(string(b.settings.Instance)) {
				return -1
			}
			return 1
		})
		for _, in := range all[:len(all)/2] {
			in.store.Silence()
		}
	}
}

// awaitPath waits until all instances have a route for the path, and returns how
// long that took.
func (c *cluster) awaitPath(path string) time.Duration {
	c.t.Helper()
	started := time.Now()
	for _, in := range c.instances {
		c.eventually("the route is in force", func() bool {
			_, code, _ := c.send(in, "GET", path+"x")
			return code != 404 && code != 0
		})
	}
	took := time.Since(started)
	c.t.Logf("%s is in force after %s", path, took)
	return took
}

// Guards against a change that is in force too late after the store has fallen
// silent to the instances that watch it and to those that take over from them: each
// of them was found out only after the one before.
func TestStoreSilentToTheFirstWatchers(t *testing.T) {
	c := startCluster(t, 12, 3, true)
	time.Sleep(2 * time.Second) // All watches wait, and heartbeats name the watchers.
	c.silenceStore()
	c.writeState("s", "/new/")
	if took := c.awaitPath("/new/"); took > inForceBound {
		t.Errorf("the change was in force after %s", took)
	}
	// The next changes are found by whoever watches now.
	for _, path := range []string{"/second/", "/third/"} {
		time.Sleep(700 * time.Millisecond)
		c.writeState("s", "/new/", path)
		if took := c.awaitPath(path); took > inForceBound {
			t.Errorf("the change to %s was in force after %s", path, took)
		}
	}
}
