package steering

import (
	"fmt"
	"testing"
	"time"

	_ "jujubestile.example/jujubestile/internal/fixedseed" // Fixes the seed of property tests.
)

// A region has too little capacity: the share of requests that leave it must
// change by less than the cap between any two windows, upwards and downwards.
func TestShareThatLeavesTheRegionIsCapped(t *testing.T) {
	tb := newTable()
	tb.Put(ep("near", "a1", 1), epoch)
	for i := range 6 {
		tb.Put(ep(fmt.Sprint("far", i), "b1", 20), epoch)
	}
	type sample struct {
		at     time.Duration
		remote bool
	}
	var log []sample
	for ms := 0; ms < 30_000; ms += 10 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		r := req(uint32(ms % 7))
		r.UntilSoftDeadline = time.Second
		c := tb.Choose(now, r)
		if c.Pick == nil {
			continue
		}
		log = append(log, sample{time.Duration(ms) * time.Millisecond, c.Pick.Region == "b"})
		work := 60 * time.Millisecond
		if ms > 15_000 {
			work = time.Millisecond // The region has free slots again.
		}
		tb.Finish(now.Add(work), c.Pick, Report{Result: Answered})
	}
	share := func(from time.Duration) float64 {
		n, remote := 0, 0
		for _, s := range log {
			if s.at >= from && s.at < from+2*time.Second {
				n++
				if s.remote {
					remote++
				}
			}
		}
		return float64(remote) / float64(max(n, 1))
	}
	for from := time.Duration(0); from < 26*time.Second; from += 100 * time.Millisecond {
		if d := share(from+2*time.Second) - share(from); d > 0.15 || d < -0.15 {
			t.Fatalf("the share changed by %.3f from %s on", d, from)
		}
	}
}

// Guards against refusals by the cap after the loss of all endpoints of the
// region.
func TestLossOfARegionIsNotCapped(t *testing.T) {
	tb := newTable()
	tb.Put(ep("near", "a1", 3), epoch)
	tb.Put(ep("far", "b1", 30), epoch)
	now := epoch
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		c := tb.Choose(now, req(1))
		tb.Finish(now.Add(10*time.Millisecond), c.Pick, Report{Result: Answered})
	}
	tb.Remove("near", now)
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		c := tb.Choose(now, req(1))
		if c.Pick == nil || c.Pick.ID != "far" {
			t.Fatalf("refused after the loss of the region: %s", c.Reason)
		}
		tb.Finish(now.Add(10*time.Millisecond), c.Pick, Report{Result: Answered})
	}
}

// All instances start at the same time and no object is cached: the
// configured share of the requests may leave a small region immediately, but
// not much more.
func TestInitialRemoteShare(t *testing.T) {
	for _, share := range []float64{0, 0.35} {
		tb := newTable()
		tb.SetInitialRemoteShare(share)
		tb.Put(ep("near", "a1", 2), epoch)
		for i := range 4 {
			tb.Put(ep(fmt.Sprint("far", i), "b1", 10), epoch)
		}
		remote, n := 0, 0
		for i := range 80 {
			now := epoch.Add(time.Duration(i) * 20 * time.Millisecond)
			r := req(uint32(i + 1))
			r.UntilSoftDeadline = time.Second
			c := tb.Choose(now, r)
			if c.Pick == nil {
				continue
			}
			n++
			if c.Pick.Region == "b" {
				remote++
			}
			if i%10 == 0 { // Few requests end, which keeps the near endpoint busy.
				tb.Finish(now, c.Pick, Report{Result: Answered})
			}
		}
		got := float64(remote) / float64(max(n, 1))
		if got > share+0.2 || (share > 0 && got < share/2) {
			t.Errorf("%.2f of %d requests left the region, allowed at the start: %.2f", got, n, share)
		}
	}
}
