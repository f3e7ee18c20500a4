package serve

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"

	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/model"
)

// Settings configures an entry instance on the users' platform. The file is JSON
// with comments, generated from deploy/settings.json.tmpl.
type Settings struct {
	Instance model.InstanceID `json:"instance"`
	Region   model.Region     `json:"region"`
	Domain   model.Domain     `json:"domain"`
	// Domains maps each failure domain to its region.
	Domains map[model.Domain]model.Region `json:"domains"`
	Listen  Listen                        `json:"listen"`
	Store   StoreSettings                 `json:"store"`
	Bounds  Bounds                        `json:"bounds"`
	// Seeds are control addresses of other instances, of which only the IP
	// addresses are used. They may be out of date.
	Seeds []netip.AddrPort `json:"seeds"`
	// Memory is the memory that the process may use; 0 means no limit.
	Memory Megabytes `json:"memory_mb"`
	// MaxFiles is the number of descriptors that the process may open; 0 means the
	// limit of the process.
	MaxFiles int    `json:"max_files"`
	Limits   Limits `json:"limits"`
	// Machine is the capacity of the instance's machine.
	Machine Machine `json:"machine"`
	// Pace enables the adaptive slow start of endpoints.
	Pace bool        `json:"pace"`
	Log  LogSettings `json:"log"`
}

// Machine describes the capacity of a machine. The most capable machines of a failure
// domain report for it, and those of a region watch the store.
type Machine struct {
	// CPU is a number of cores, Link the bandwidth in Mbit/s. 0 means unknown.
	CPU  float64 `json:"cpu"`
	Link float64 `json:"link_mbps"`
}

func (m Machine) class() fleet.CapacityClass { return fleet.CapacityClassOf(m.CPU, m.Link) }

// Listen holds the addresses on which the instance listens.
type Listen struct {
	// Requests serves the requests of callers, Ready the platform's readiness
	// probe, and Lookups the lookups of instances by callers.
	Requests netip.AddrPort `json:"requests"`
	Ready    netip.AddrPort `json:"ready"`
	Lookups  netip.AddrPort `json:"lookups"`
	// Metrics serves counters as JSON. It is optional.
	Metrics netip.AddrPort `json:"metrics"`
	// Peer receives RPC (TCP) and messages (UDP) from other instances. The port is
	// the same on all instances.
	Peer netip.AddrPort `json:"peer"`
}

// StoreSettings locates the platform's store.
type StoreSettings struct {
	Address netip.AddrPort `json:"address"`
	// Heartbeat is the time between two reports of an endpoint to the store, which
	// removes its entry after three without one. 0 means unknown: then any noticeable
	// outage counts as one in which entries lapse.
	Heartbeat Duration `json:"heartbeat"`
}

// Bounds holds the limits that the platform imposes on the instance.
type Bounds struct {
	// Grace is the time between SIGTERM and SIGKILL.
	Grace Duration `json:"grace"`
	// Drain is the time after which an endpoint gets no request any more, from the
	// acknowledgement of the store that it leaves. 0 means 2.5 s.
	Drain Duration `json:"drain"`
	// RetryRatio, RetrySlack and RetryWindow define the retry budget that all
	// instances share: in each window, as many retries as RetryRatio times the
	// requests of a service, plus RetrySlack.
	RetryRatio  float64  `json:"retry_ratio"`
	RetrySlack  float64  `json:"retry_slack"`
	RetryWindow Duration `json:"retry_window"`
	// MaxShift is the largest change, from one window of 2 s to the next, of the
	// share of a region's requests that run in other regions.
	MaxShift float64 `json:"max_shift"`
	// StrictRevoke means that no request may run that its caller sent later than
	// Revoke after the store acknowledged that its API key was removed.
	StrictRevoke bool     `json:"strict_revoke"`
	Revoke       Duration `json:"revoke"`
}

// LogSettings configures the log.
type LogSettings struct {
	// Level is the least severe level that is logged: debug, info, warn or error.
	Level string `json:"level"`
}

// minRevoke is the shortest revocation time. The proofs of instances that do not watch
// the store are about 1 s old on average, so a shorter one would often end the lease.
const minRevoke = Duration(2 * time.Second)

// minDrain is the shortest drain time. Copies of the store are confirmed every second at
// the least, and have to be useful for longer.
const minDrain = Duration(2 * time.Second)

// Megabytes is an amount of memory in units of 2^20 bytes.
type Megabytes int

// Duration is a time.Duration that is written as a string such as "250ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Trace(err)
	}
	v, err := time.ParseDuration(s)
	*d = Duration(v)
	return errors.Trace(err)
}

// maxSettingsBytes bounds the settings file.
const maxSettingsBytes = 256 << 10

// Load reads and validates a settings file. ignored lists the unknown settings,
// which are no error because newer platforms may add some.
func Load(file string) (s Settings, ignored []string, err error) {
	info, err := os.Stat(file)
	if err != nil {
		return Settings{}, nil, errors.Trace(err)
	}
	if info.Size() > maxSettingsBytes {
		return Settings{}, nil, errors.Errorf("%s is %d bytes long; at most %d are allowed", file, info.Size(), maxSettingsBytes)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, nil, errors.Trace(err)
	}
	return Parse(text)
}

// Parse decodes and validates the text of a settings file. The second result
// lists the unknown settings.
func Parse(text []byte) (Settings, []string, error) {
	plain, err := hujson.Standardize(text)
	if err != nil {
		return Settings{}, nil, errors.Trace(err)
	}
	var s Settings
	if err := json.Unmarshal(plain, &s); err != nil {
		return Settings{}, nil, settingsError(err)
	}
	var tree map[string]any
	if err := json.Unmarshal(plain, &tree); err != nil {
		return Settings{}, nil, errors.Trace(err)
	}
	return s, unknown("", tree, reflect.TypeFor[Settings]()), s.check()
}

// settingsError converts a type error of the decoder into one that names the
// setting.
func settingsError(err error) error {
	var wrong *json.UnmarshalTypeError
	if errors.As(err, &wrong) {
		return errors.Errorf("%s: read %s, allowed: %s", wrong.Field, wrong.Value, wrong.Type)
	}
	return errors.Trace(err)
}

// unknown lists the settings for which t has no field, each with its path.
func unknown(prefix string, settings map[string]any, t reflect.Type) []string {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		fields[t.Field(i).Tag.Get("json")] = t.Field(i).Type
	}
	var out []string
	for name, v := range settings {
		ft, ok := fields[name]
		if !ok {
			out = append(out, prefix+name)
			continue
		}
		if sub, isObject := v.(map[string]any); isObject && ft.Kind() == reflect.Struct {
			out = append(out, unknown(prefix+name+".", sub, ft)...)
		}
	}
	sort.Strings(out)
	return out
}

// settingCheck is the result of validating one setting.
type settingCheck struct {
	name    string
	ok      bool
	read    any
	allowed string
}

func (s Settings) check() error {
	var problems []string
	for _, c := range s.checks() {
		if !c.ok {
			problems = append(problems, fmt.Sprintf("%s: read %v, allowed: %s", c.name, c.read, c.allowed))
		}
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	return nil
}

func (s Settings) checks() []settingCheck {
	const address = "an IP address with a port"
	b, l := s.Bounds, s.Limits
	_, known := s.Domains[s.Domain]
	return []settingCheck{
		{"instance", s.Instance != "", s.Instance, "a name"},
		{"region", s.Region != "", s.Region, "a name"},
		{"domain", known, s.Domain, "one of domains"},
		{"listen.requests", s.Listen.Requests.IsValid(), s.Listen.Requests, address},
		{"listen.ready", s.Listen.Ready.IsValid(), s.Listen.Ready, address},
		{"listen.lookups", s.Listen.Lookups.IsValid(), s.Listen.Lookups, address},
		{"listen.peer", s.Listen.Peer.IsValid(), s.Listen.Peer, address},
		{"store.address", s.Store.Address.IsValid(), s.Store.Address, address},
		{"store.heartbeat", s.Store.Heartbeat >= 0, time.Duration(s.Store.Heartbeat), "0s (unknown) or more"},
		{"bounds.grace", b.Grace >= Duration(time.Second), time.Duration(b.Grace), "at least 1s"},
		{"bounds.drain", b.Drain == 0 || b.Drain >= minDrain, time.Duration(b.Drain), "0s (2.5s) or at least 2s"},
		{"bounds.retry_ratio", b.RetryRatio >= 0 && b.RetryRatio <= 1, b.RetryRatio, "0 to 1"},
		{"bounds.retry_slack", b.RetrySlack >= 0, b.RetrySlack, "0 or more"},
		{"bounds.retry_window", b.RetryWindow >= Duration(time.Second), time.Duration(b.RetryWindow), "at least 1s"},
		{"bounds.max_shift", b.MaxShift > 0 && b.MaxShift <= 1, b.MaxShift, "more than 0, at most 1"},
		{"bounds.revoke", !b.StrictRevoke || b.Revoke >= minRevoke, time.Duration(b.Revoke), "at least 2s with strict_revoke"},
		{"machine.cpu", s.Machine.CPU >= 0, s.Machine.CPU, "0 (unknown) or more"},
		{"machine.link_mbps", s.Machine.Link >= 0, s.Machine.Link, "0 (unknown) or more"},
		{"memory_mb", s.Memory >= 0, s.Memory, "0 (no limit) or more"},
		{"max_files", s.MaxFiles == 0 || s.MaxFiles > filesReserve, s.MaxFiles, "0 (the limit of the process) or more than 200"},
		{"limits.caller_memory", l.CallerMemory >= 0 && l.CallerMemory < 1, l.CallerMemory, "0 (default) or less than 1"},
		{"limits.large_memory", l.LargeMemory >= 0 && l.LargeMemory <= orDefault(l.CallerMemory, defaultCallerMemory), l.LargeMemory, "0 (default) to caller_memory"},
		{"limits.peer_memory", l.PeerMemory >= 0 && l.PeerMemory < 1, l.PeerMemory, "0 (default) or less than 1"},
		{"limits.caller_files", l.CallerFiles >= 0 && l.CallerFiles < 1, l.CallerFiles, "0 (default) or less than 1"},
		{"limits.endpoint_body_mb", l.EndpointBody >= 0, l.EndpointBody, "0 (default) or more"},
	}
}
