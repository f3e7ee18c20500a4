// Package settings reads the daemon's settings: one file of JSON with comments
// and trailing commas (the HuJSON form). Each key is checked at the start.
package settings

import (
	"net/netip"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// Duration is a time span, written as a string such as "250ms" or "4s".
type Duration time.Duration

// Settings is the whole file.
type Settings struct {
	// Instance is the name of this instance. It must be the one in the
	// platform's list and stays the same when the process is restarted.
	Instance model.InstanceID `json:"instance"`
	// Region and Domain say where the instance runs. They decide which
	// callers are sent here and which peers count as near.
	Region model.Region `json:"region"`
	Domain model.Domain `json:"domain"`
	Listen Listen       `json:"listen"`
	// Store is the base URL of the platform's key-value store.
	Store string `json:"store"`
	// Platform is the base URL of the platform's instance list.
	Platform Platform `json:"platform"`
	Requests Requests `json:"requests"`
	Shutdown Shutdown `json:"shutdown"`
	Log      Log      `json:"log"`
	Trace    Trace    `json:"trace"`
	// Distances orders the other regions by distance from this one, the
	// nearest first. Regions that it lacks come last, by name.
	Distances []model.Region `json:"distances"`
}

// Listen holds the addresses on which the instance accepts connections, each
// an IP address with a port.
type Listen struct {
	// Entry is for callers.
	Entry netip.AddrPort `json:"entry"`
	// Peer is for other instances.
	Peer netip.AddrPort `json:"peer"`
	// Control is for operators. It serves drains and rule edits without a
	// password, so it belongs on an operators' network.
	Control netip.AddrPort `json:"control"`
}

// Platform says how the instance list is read.
type Platform struct {
	// URL is the base URL of the list.
	URL string `json:"url"`
	// Poll is the time between two readings. A shorter time notices leaving
	// endpoints sooner; each reading costs the platform one call an instance.
	Poll Duration `json:"poll"`
}

// Requests bounds the requests of callers.
type Requests struct {
	// DefaultTimeout is the deadline of a request that names none. A longer
	// one holds slots longer when an answer is lost.
	DefaultTimeout Duration `json:"default_timeout"`
	// MaxTimeout is the longest deadline that a request may name. It must be
	// shorter than a loan of slots, because a request on a lent slot has to
	// end before the loan.
	MaxTimeout Duration `json:"max_timeout"`
	// MaxBodyBytes bounds a request's body. Bodies are kept in memory until
	// the request has been answered.
	MaxBodyBytes int `json:"max_body_bytes"`
	// MaxInFlight bounds the requests in the instance at once, waiting or
	// running. Beyond it requests are refused as not run.
	MaxInFlight int `json:"max_in_flight"`
}

// Shutdown says how the instance leaves.
type Shutdown struct {
	// Announce is how long the instance goes on accepting work after it has
	// announced that it is leaving, so that callers with a cached lookup move
	// on first. It should exceed the time to live of lookups.
	Announce Duration `json:"announce"`
	// Grace bounds the wait for requests in flight. It should exceed
	// requests.max_timeout; otherwise requests may be cut.
	Grace Duration `json:"grace"`
}

// Log says what is logged. Events go to standard error, one JSON object a
// line.
type Log struct {
	// Level is the least severe level that is logged: debug, info, warn or
	// error. Debug logs each request.
	Level string `json:"level"`
}

// Trace says where spans go.
type Trace struct {
	// File receives one JSON object a span; "" writes none, "-" is standard
	// output.
	File string `json:"file"`
	// Sample is the fraction of requests, from 0 to 1, that are traced when
	// the caller has not decided.
	Sample float64 `json:"sample"`
}

// Defaults returns the values of settings that a file may leave out.
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
	}
}
