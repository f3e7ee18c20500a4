package fleetsim

import (
	"sort"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Patterns are load patterns of users' deployments, by name.
var Patterns = map[string]func() Config{
	"calm":             calm,
	"flood":            flood,
	"lasting overload": lastingOverload,
	"moved callers":    movedCallers,
	"lost endpoints":   lostEndpoints,
	"lost region":      lostRegion,
	"slow endpoints":   slowEndpoints,
	"limited":          limitedEndpoints,
}

// PatternNames returns the names of the patterns in alphabetical order.
func PatternNames() []string {
	var out []string
	for name := range Patterns {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// rateDuring returns a rate function with the value rate + delta between from and
// to, and rate at other times.
func rateDuring(rate, delta float64, from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return rate + delta
		}
		return rate
	}
}

// calm has regions of unequal capacity, as users' deployments have: the region
// with the fewest endpoints is near its limit.
func calm() Config {
	const rate = 90
	return Config{
		Regions: []Region{
			{Name: "small", Instances: 6, Endpoints: 2, Rate: constantRate(rate)},
			{Name: "middle", Instances: 6, Endpoints: 4, Rate: constantRate(rate)},
			{Name: "large", Instances: 8, Endpoints: 6, Rate: constantRate(rate)},
		},
		Slots: 5, Queue: 15, HitServiceTime: 72 * time.Millisecond, MissServiceTime: 240 * time.Millisecond, Objects: 79, CacheSize: 82,
		TargetLatency: 190 * time.Millisecond, CallerTimeout: 1100 * time.Millisecond, RegionRTT: 40 * time.Millisecond, MaxShift: 0.15,
		Duration: 30 * time.Second, Seed: 1,
	}
}

func withRates(rate func(model.Region) func(time.Duration) float64) Config {
	c := calm()
	for i := range c.Regions {
		c.Regions[i].Rate = rate(c.Regions[i].Name)
	}
	return c
}

// flood is a burst of requests in all regions.
func flood() Config {
	return withRates(func(model.Region) func(time.Duration) float64 {
		return rateDuring(90, 120, 12*time.Second, 18*time.Second)
	})
}

// lastingOverload is a constant load of 1.5 times the capacity of all endpoints.
func lastingOverload() Config {
	return withRates(func(model.Region) func(time.Duration) float64 { return constantRate(420) })
}

// movedCallers moves callers from the largest region to the smallest.
func movedCallers() Config {
	return withRates(func(r model.Region) func(time.Duration) float64 {
		switch r {
		case "small":
			return rateDuring(90, 70, 12*time.Second, 20*time.Second)
		case "large":
			return rateDuring(90, -70, 12*time.Second, 20*time.Second)
		}
		return constantRate(90)
	})
}

func withEvent(e Event) Config {
	c := calm()
	c.Events = []Event{e}
	return c
}

func lostEndpoints() Config {
	return withEvent(Event{At: 12 * time.Second, Region: "large", Share: 0.3, Fail: true})
}

func lostRegion() Config {
	return withEvent(Event{At: 12 * time.Second, Region: "middle", Share: 1, Fail: true})
}

func slowEndpoints() Config {
	return withEvent(Event{At: 12 * time.Second, Region: "large", Share: 0.3, SlowFactor: 5})
}

// Scale multiplies all rates.
func (c *Config) Scale(factor float64) {
	for i := range c.Regions {
		rate := c.Regions[i].Rate
		c.Regions[i].Rate = func(at time.Duration) float64 { return factor * rate(at) }
	}
}

// limitedRate is the rate limit in limitedEndpoints, in requests per second.
const limitedRate = 2

// limitedEndpoints has a third of the endpoints of the largest region name a rate
// limit that is a small part of what they usually take, and later none again.
func limitedEndpoints() Config {
	c := calm()
	c.Events = []Event{{At: 8 * time.Second, Region: "large", Share: 0.3, RateLimit: limitedRate},
		{At: 22 * time.Second, Region: "large", Share: 0.3, RateLimit: -1}}
	return c
}
