package capacity

import "time"

// clock turns readings of the instance's clock into times that never run
// slower than real time. The monotonic clock stands still while an instance is
// suspended and the wall clock may be set back; of each two readings, the
// larger difference counts.
type clock struct {
	last, lastWall time.Time
	ahead          time.Duration
	// paused means that a gap over PauseLimit was seen.
	paused bool
	// wall returns the wall clock part of a reading.
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

// read returns the time of a reading. A reading older than an earlier one, as
// of a goroutine that was delayed, counts as the earlier one.
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

// convert returns the clock's time for t, a later time on the instance's
// clock.
func (c *clock) convert(t time.Time) time.Time {
	return t.Add(c.ahead)
}
