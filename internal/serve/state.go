package serve

import (
	"context"
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
	"jujubestile.example/jujubestile/platform"
)

const (
	// watchTimeout bounds one watch call. TCP keep-alives detect a store that
	// does not respond sooner than that.
	watchTimeout = 25 * time.Second
	// verifyInterval is the time between two checks that a watch has missed no
	// change. Changes have to be in force 2.5 s after they were accepted.
	verifyInterval = 400 * time.Millisecond
	// watchBatchDelay is the pause after changes, so that the next watch returns
	// several changes at once.
	watchBatchDelay = 100 * time.Millisecond
	// storeRetryMin and storeRetryMax bound the backoff after a failed call.
	storeRetryMin = 50 * time.Millisecond
	storeRetryMax = 500 * time.Millisecond
	// missingGrace is how long after an outage of the store an endpoint stays in
	// use although its entry is missing. Live endpoints write their entries again
	// within 2 s.
	missingGrace = 2200 * time.Millisecond
)

// followStore keeps the copy of the store up to date while this instance is the
// one that watches the store for its region.
func (in *Instance) followStore(ctx context.Context) {
	f := mirror.Follower{Copy: in.copy, Source: in.store, WatchTimeout: watchTimeout, VerifyInterval: verifyInterval, BatchDelay: watchBatchDelay,
		RetryMin: storeRetryMin, RetryMax: storeRetryMax,
		Active: func() bool {
			on := !in.leaving.Load() && in.shouldWatch()
			in.following.Store(on)
			return on
		},
		OnUnavailable: func(err error) {
			in.storeLost.Store(true)
			in.counters.storeLost.Add(1)
			in.log.Log(events.StoreUnavailable).Err(err).Send()
		},
		OnAvailable: func(outage time.Duration) {
			in.storeLost.Store(false)
			in.log.Log(events.StoreAvailable).Dur("outage_ms", outage).Send()
		},
		OnOutageEnd: func(from, to time.Time) {
			in.startOutageGrace(missingGrace-time.Since(to), storeOutage{from, to}, "")
		},
		OnCompacted: func(at mirror.Position) {
			in.counters.storeCompacted.Add(1)
			in.log.Log(events.StoreCompacted).EmbedObject(at).Send()
		},
		OnRestored: func(copied, source mirror.Position) { in.storeRestored("", copied, source) },
		Observer:   storeObserver{in},
	}
	f.Run(ctx)
}

// shouldWatch reports whether this instance should watch the store.
func (in *Instance) shouldWatch() bool {
	delay := scaledInterval(domainReportInterval, in.members.DomainSize())
	return in.members.ShouldWatch(in.presence(), delay, time.Now())
}

// apply puts changes of the store's copy into effect.
func (in *Instance) apply(b mirror.Batch) {
	in.applyMu.Lock()
	defer in.applyMu.Unlock()
	now := time.Now()
	in.changesConfirmedAt = b.ConfirmedAt
	for _, c := range b.Events {
		r := platform.RecordOf(c.Key)
		switch {
		case r.Desired:
			in.adoptChange(c, b.Era)
		case r.Evacuated != "":
			in.applyEvacuation(r.Evacuated, c, b.Restored, now)
		case r.Endpoint != "":
			in.applyEndpoint(r.Endpoint, c, b.Era, now)
		case r.Instance != "":
			in.applyInstance(r.Instance, c)
		case r.Objects == in.settings.Region && !c.Deleted:
			in.restoreRecentObjects(c)
		}
	}
	in.crashes.storeRead.Store(true)
}

// applyEndpoint updates the routing table from a change of an endpoint's entry.
func (in *Instance) applyEndpoint(id model.EndpointID, c mirror.Event, era model.Era, now time.Time) {
	change := ""
	sent := in.table.LastSent(id)
	var e steering.Endpoint
	var err error
	switch {
	case c.Deleted && now.Before(in.missingGraceUntil):
		if !in.table.MarkMissing(id, in.missingGraceUntil, now) {
			in.entries.remove(id, now)
		}
		change = "lapsed"
	case c.Deleted:
		change = in.removeEndpoint(id, now)
	default:
		if e, err = platform.DecodeEndpoint(id, c.Value); err == nil && in.isOwnAddress(e.Addr) {
			err = errors.Errorf("%s is an address of this instance", e.Addr)
		}
		if err != nil {
			if ok, suppressed := in.invalidEntries.Allow(now); ok {
				in.log.Log(events.EndpointInvalid).Str("endpoint", string(id)).Err(err).Int("suppressed", suppressed).Send()
			}
			change = in.removeEndpoint(id, now)
			break
		}
		if !in.entries.put(e, c, era, now) {
			change = "outdated"
			break
		}
		change = in.table.Put(e, now)
		if change == "restarted" || change == "leaving" {
			in.client.Drop(id)
		}
		if change == "restarted" {
			in.crashes.endpointEnded(id)
		}
	}
	if change != "" {
		line := in.log.Log(events.EndpointChanged).Str("endpoint", string(id)).Str("change", change).
			Str("service", string(e.Service)).Str("domain", string(e.Domain)).Dur("cold_ms", e.ColdFor).
			Int64("revision", int64(c.Revision))
		if change == "leaving" || change == "gone" || change == "lapsed" {
			unconfirmed := now.Sub(in.changesConfirmedAt)
			line = line.Dur("unconfirmed_ms", unconfirmed).Dur("exposure_ms", in.departures.note(unconfirmed, sent, now))
		}
		line.Send()
	}
}

// invalidEntriesPerSecond bounds the log lines on invalid entries of endpoints.
const invalidEntriesPerSecond = 5

// isOwnAddress reports whether a request to the address would come back to this
// instance.
func (in *Instance) isOwnAddress(a netip.AddrPort) bool {
	l := in.settings.Listen
	return slices.Contains([]netip.AddrPort{l.Requests, l.Ready, l.Lookups, l.Metrics, l.Peer}, a)
}

// removeEndpoint removes an endpoint. It returns the name of the change for the
// log, or "" if the endpoint was unknown.
func (in *Instance) removeEndpoint(id model.EndpointID, now time.Time) string {
	in.client.Drop(id)
	in.entries.remove(id, now)
	in.crashes.endpointEnded(id)
	if !in.table.Remove(id, now) {
		return ""
	}
	return "gone"
}

// announcement is the record under which the store lists an instance.
type announcement struct {
	Region model.Region   `json:"region"`
	Domain model.Domain   `json:"domain"`
	Peer   netip.AddrPort `json:"peer"`
	Entry  netip.AddrPort `json:"entry"`
}

// applyInstance updates the members from a change of an instance's record. An
// instance that is new in this failure domain is sent a message at once.
func (in *Instance) applyInstance(id model.InstanceID, c mirror.Event) {
	var a announcement
	if !c.Deleted {
		if err := json.Unmarshal(c.Value, &a); err != nil || !a.Peer.IsValid() || !a.Entry.IsValid() {
			in.log.Log(events.MalformedUpdate).Str("from", string(id)).AnErr("error", err).Send()
			return
		}
	}
	p := fleet.Presence{ID: id, Region: a.Region, Domain: a.Domain, Peer: a.Peer, Entry: a.Entry}
	in.members.SetListed(p, !c.Deleted)
	if c.Deleted {
		in.updateInstances()
	}
	if c.Deleted && id == in.settings.Instance {
		in.recordDeleted()
	}
	if !c.Deleted && id != in.settings.Instance && a.Domain == in.settings.Domain {
		in.sendFull([]fleet.Presence{p}, fleet.LoadUpdate{}, true)
	}
}
