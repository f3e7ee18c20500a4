// Package settings reads the daemon's settings file, which is JSON with comments
// and trailing commas (HuJSON). All keys and values are validated at startup.
package settings

import (
	"net/netip"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Duration is a time.Duration that the settings file holds as a string such as
// "250ms" or "4s".
type Duration time.Duration

// Settings holds all settings of the daemon.
type Settings struct {
	// Instance is the name of this instance. It must match the name in the
	// platform's list and stay the same across restarts.
	Instance model.InstanceID `json:"instance"`
	// Region and Domain are the region and failure domain where the instance
	// runs. They determine which callers are sent to it and which peers count
	// as near.
	Region model.Region `json:"region"`
	Domain model.Domain `json:"domain"`
	Listen Listen       `json:"listen"`
	// Store is the base URL of the platform's key-value store.
	Store string `json:"store"`
	// Platform configures access to the platform's instance list.
	Platform Platform `json:"platform"`
	Requests Requests `json:"requests"`
	Shutdown Shutdown `json:"shutdown"`
	Log      Log      `json:"log"`
	Trace    Trace    `json:"trace"`
	// Distances lists the other regions by distance from this one, nearest
	// first. Regions missing from the list come last, sorted by name.
	Distances []model.Region `json:"distances"`
	// MemoryMB is the memory of the machine in MB. What is held for callers and
	// operators is bounded by shares of it.
	MemoryMB int `json:"memory_mb"`
}

// Listen holds the addresses on which the instance listens, each an IP address
// with a port.
type Listen struct {
	// Entry is for callers.
	Entry netip.AddrPort `json:"entry"`
	// Peer is for other instances.
	Peer netip.AddrPort `json:"peer"`
	// Control is for operators. It accepts drains and rule edits without
	// authentication, so it must be on a network that only operators can reach.
	Control netip.AddrPort `json:"control"`
}

// Platform configures access to the platform's instance list.
type Platform struct {
	// URL is the base URL of the list.
	URL string `json:"url"`
	// Poll is the time between two polls of the list. A shorter interval detects
	// leaving endpoints sooner, but each poll costs the platform one call per
	// instance.
	Poll Duration `json:"poll"`
}

// Requests sets limits on requests from callers.
type Requests struct {
	// DefaultTimeout is the timeout of a request that specifies none. A longer
	// timeout holds slots longer when a response is lost.
	DefaultTimeout Duration `json:"default_timeout"`
	// MaxTimeout is the longest timeout that a request may specify. It must be
	// shorter than a loan of slots, because a request on a borrowed slot has to
	// end before the loan does.
	MaxTimeout Duration `json:"max_timeout"`
	// MaxBodyBytes is the maximum size of a request body. Bodies are kept in
	// memory until the response has been sent.
	MaxBodyBytes int `json:"max_body_bytes"`
	// MaxInFlight is the maximum number of requests, waiting or running, in the
	// instance at a time. Requests beyond it are rejected with the outcome
	// "not-run".
	MaxInFlight int `json:"max_in_flight"`
}

// Shutdown configures the graceful shutdown of the instance.
type Shutdown struct {
	// Announce is how long the instance continues to accept requests after it
	// has announced that it is leaving, so that callers with a cached lookup
	// can switch to another instance. It should exceed the time to live of
	// lookups.
	Announce Duration `json:"announce"`
	// Grace is the maximum wait for requests in flight. It must be at least
	// requests.max_timeout and should exceed it; otherwise requests may be cut
	// off.
	Grace Duration `json:"grace"`
}

// Log configures logging. Events are written to standard output as one JSON
// object per line.
type Log struct {
	// Level is the minimum severity that is logged: debug, info, warn or error.
	// At debug, each request is logged.
	Level string `json:"level"`
}

// Trace configures the output of trace spans.
type Trace struct {
	// File is the file to which spans are written, one JSON object each. "-" is
	// standard output, and "" disables the output.
	File string `json:"file"`
	// Sample is the fraction of requests, from 0 to 1, that are traced if the
	// caller made no sampling decision.
	Sample float64 `json:"sample"`
}

// Defaults returns the default values of optional settings.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Poll: Duration(time.Second)},
		Requests: Requests{
			DefaultTimeout: Duration(2 * time.Second),
			MaxTimeout:     Duration(8 * time.Second),
			MaxBodyBytes:   1 << 20,
			MaxInFlight:    2000,
		},
		Shutdown: Shutdown{Announce: Duration(11 * time.Second), Grace: Duration(15 * time.Second)},
		Log:      Log{Level: "info"},
		Trace:    Trace{Sample: 0.01},
		MemoryMB: 136,
	}
}
