package capacity

import "time"

// clock corrects readings of the instance's clock so that they never advance
// slower than real time. The monotonic clock stops while the instance is
// suspended, and the wall clock may be set back. Between two readings, clock
// advances by the larger of the two differences.
type clock struct {
	last, lastWall time.Time
	// ahead is how far the corrected time is ahead of the monotonic clock.
	ahead time.Duration
	// paused is set after a gap between two readings that exceeds PauseLimit.
	paused bool
	// wall returns the wall clock time of a reading.
	wall func(time.Time) time.Time
}

func newClock(now time.Time) clock {
	c := clock{wall: stripMonotonic}
	c.last, c.lastWall = now, c.wall(now)
	return c
}

func stripMonotonic(t time.Time) time.Time {
	return t.Round(0)
}

// read returns the corrected time of a reading. A reading that is older than
// the previous one, because its goroutine was delayed, counts as the previous
// one.
func (c *clock) read(now time.Time) time.Time {
	wall := c.wall(now)
	mono := now.Sub(c.last)
	byWall := wall.Sub(c.lastWall)
	if mono < 0 || mono == 0 && byWall <= 0 {
		return c.last.Add(c.ahead)
	}
	if byWall > mono {
		c.ahead += byWall - mono
	}
	if max(mono, byWall) > PauseLimit {
		c.paused = true
	}
	c.last, c.lastWall = now, wall
	return now.Add(c.ahead)
}

// convert returns the corrected time for t, a time on the instance's clock
// that is not before the last reading.
func (c *clock) convert(t time.Time) time.Time {
	return t.Add(c.ahead)
}
