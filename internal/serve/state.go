package serve

import (
	"context"
	"encoding/json"
	"net/netip"
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
	// watchWait is the longest time of one watch. Keep-alives of the
	// connection show a silent store sooner.
	watchWait = 25 * time.Second
	// verifyEvery is the time between two checks that a watch misses nothing.
	// Changes have to be in force 2.5 s after they were accepted.
	verifyEvery = 800 * time.Millisecond
	// watchBatch collects changes that come together.
	watchBatch = 100 * time.Millisecond
	// storeRetryMin and storeRetryMax bound the pause after a failed call.
	storeRetryMin = 50 * time.Millisecond
	storeRetryMax = 500 * time.Millisecond
	// lapseGrace is how long after the return of the store entries of
	// endpoints may be missing that are still alive: they write again within
	// 2 s.
	lapseGrace = 2200 * time.Millisecond
	// shortOutage is an interruption in which no entry expires. It is above the
	// time between two answers of a store that works.
	shortOutage = verifyEvery + 200*time.Millisecond
)

// followStore keeps the copy of the store up to date.
func (in *Instance) followStore(ctx context.Context) {
	f := mirror.Follower{Copy: in.copy, Source: in.store, WatchTimeout: watchWait, VerifyInterval: verifyEvery, BatchDelay: watchBatch,
		RetryMin: storeRetryMin, RetryMax: storeRetryMax,
		Active: func() bool {
			return !in.leaving.Load() && in.members.ShouldWatch(time.Now())
		},
		OnUnavailable: func(err error) {
			in.storeLost.Store(true)
			in.counters.storeLost.Add(1)
			in.log.Log(events.StoreUnavailable).Err(err).Send()
		},
		OnAvailable: func(outage time.Duration) {
			in.storeLost.Store(false)
			in.log.Log(events.StoreAvailable).Dur("outage_ms", outage).Send()
			if outage > shortOutage {
				in.startGrace(lapseGrace)
			}
		},
	}
	f.Run(ctx)
}

func (in *Instance) startGrace(d time.Duration) {
	in.applying.Lock()
	defer in.applying.Unlock()
	if until := time.Now().Add(d); until.After(in.graceUntil) {
		in.graceUntil = until
	}
}

// apply takes changes of the store's copy.
func (in *Instance) apply(changes []mirror.Event) {
	in.applying.Lock()
	defer in.applying.Unlock()
	now := time.Now()
	for _, c := range changes {
		r := platform.RecordOf(c.Key)
		switch {
		case r.Desired && !c.Deleted:
			in.adopt(c)
		case r.Evacuated != "":
			in.table.SetEvacuated(r.Evacuated, !c.Deleted)
			in.log.Log(events.DomainEvacuated).Str("domain", string(r.Evacuated)).Bool("evacuated", !c.Deleted).
				Int64("revision", int64(c.Revision)).Send()
		case r.Endpoint != "":
			in.applyEndpoint(r.Endpoint, c, now)
		case r.Instance != "":
			in.applyInstance(r.Instance, c)
		case r.Objects == in.settings.Region && !c.Deleted:
			in.recallObjects(c)
		}
	}
}

// adopt puts a desired state in force if it is newer.
func (in *Instance) adopt(c mirror.Event) {
	next, err := platform.DecodeDesired(c.Value)
	if err != nil {
		in.log.Log(events.StateRejected).Err(err).Int64("revision", int64(c.Revision)).Send()
		return
	}
	old := in.state.Load()
	if old != nil && next.Version <= old.Version {
		if next.Version < old.Version {
			in.log.Log(events.StateOlder).Uint64("state", uint64(next.Version)).Uint64("in_force", uint64(old.Version)).Send()
		}
		return
	}
	in.table.SetServices(next.Services)
	in.state.Store(next)
	in.log.Log(events.StateAdopted).Uint64("state", uint64(next.Version)).Int("routes", next.Routes()).
		Int64("revision", int64(c.Revision)).Send()
	in.urgent.Store(true)
}

func (in *Instance) applyEndpoint(id model.EndpointID, c mirror.Event, now time.Time) {
	change := ""
	var e steering.Endpoint
	var err error
	switch {
	case c.Deleted && now.Before(in.graceUntil):
		in.table.MarkMissing(id, in.graceUntil, now)
		change = "lapsed"
	case c.Deleted:
		change = in.removeEndpoint(id, now)
	default:
		if e, err = platform.DecodeEndpoint(id, c.Value); err != nil {
			in.log.Log(events.EndpointInvalid).Str("endpoint", string(id)).Err(err).Send()
			change = in.removeEndpoint(id, now)
			break
		}
		change = in.table.Put(e, now)
		if change == "restarted" || change == "leaving" {
			in.client.Drop(id)
		}
		if change == "restarted" {
			in.crashes.ended(id)
		}
	}
	if change != "" {
		in.log.Log(events.EndpointChanged).Str("endpoint", string(id)).Str("change", change).
			Str("service", string(e.Service)).Str("domain", string(e.Domain)).Dur("cold_ms", e.ColdFor).
			Int64("revision", int64(c.Revision)).Send()
	}
}

func (in *Instance) removeEndpoint(id model.EndpointID, now time.Time) string {
	in.client.Drop(id)
	in.crashes.ended(id)
	if !in.table.Remove(id, now) {
		return ""
	}
	return "gone"
}

// announcement is the store's record of an instance.
type announcement struct {
	Region model.Region   `json:"region"`
	Domain model.Domain   `json:"domain"`
	Peer   netip.AddrPort `json:"peer"`
	Entry  netip.AddrPort `json:"entry"`
}

func (in *Instance) applyInstance(id model.InstanceID, c mirror.Event) {
	var a announcement
	if !c.Deleted {
		if err := json.Unmarshal(c.Value, &a); err != nil || !a.Peer.IsValid() || !a.Entry.IsValid() {
			in.log.Log(events.MalformedNews).Str("from", string(id)).AnErr("error", err).Send()
			return
		}
	}
	p := fleet.Presence{ID: id, Region: a.Region, Domain: a.Domain, Peer: a.Peer, Entry: a.Entry}
	in.members.SetListed(p, !c.Deleted)
	if !c.Deleted && id != in.settings.Instance && a.Domain == in.settings.Domain {
		in.sendFull([]fleet.Presence{p}, fleet.LoadUpdate{}, true)
	}
}

const (
	// leaseTime is how long the store lists an instance that has died. Others
	// notice by its silence; the list only finds those that never met.
	leaseTime = 30 * time.Second
	// renewEvery is the time between two renewals: a third of the lease.
	renewEvery = leaseTime / 3
	// announceRetry is the pause after a failed announcement, which doubles up
	// to the time between two renewals: the lease outlasts that.
	announceRetry = time.Second
)

// announce keeps the instance's address in the store.
func (in *Instance) announce(ctx context.Context) {
	var lease uint64
	pause, retry := time.Duration(0), announceRetry
	for {
		select {
		case <-ctx.Done():
			in.withdraw(lease)
			return
		case <-time.After(pause):
		}
		var err error
		lease, err = in.announceOnce(ctx, lease)
		if err != nil {
			in.log.Log(events.AnnouncementFailed).Err(err).Send()
			pause, retry = retry, min(2*retry, renewEvery)
			continue
		}
		in.announced.Store(true)
		pause, retry = renewEvery, announceRetry
	}
}

// announceOnce renews the lease, or writes the record under a new one.
func (in *Instance) announceOnce(ctx context.Context, lease uint64) (uint64, error) {
	if lease != 0 {
		err := in.store.Renew(ctx, lease)
		if err == nil {
			in.storeLost.Store(false)
			return lease, nil
		}
		if !errors.Is(err, platform.ErrLeaseExpired) {
			return lease, errors.Trace(err)
		}
	}
	lease, _, err := in.store.Grant(ctx, leaseTime)
	if err != nil {
		return 0, errors.Trace(err)
	}
	value, err := json.Marshal(announcement{in.settings.Region, in.settings.Domain, in.settings.Listen.Peer, in.settings.Listen.Requests})
	if err != nil {
		return 0, errors.Trace(err)
	}
	if err := in.store.Put(ctx, platform.InstanceKey(in.settings.Instance), value, lease); err != nil {
		return 0, errors.Trace(err)
	}
	return lease, nil
}

// withdrawTime bounds the withdrawal at the end of the process.
const withdrawTime = 200 * time.Millisecond

func (in *Instance) withdraw(lease uint64) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTime)
	defer cancel()
	if err := in.store.Revoke(ctx, lease); err != nil {
		in.log.Log(events.AnnouncementFailed).Err(err).Str("during", "stop").Send()
	}
}
