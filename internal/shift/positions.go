package shift

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// entryTTL is how long a published position stays valid without an update.
	// Older positions are further from the target, so a longer TTL can slow
	// shifts but not make them exceed the cap.
	entryTTL = 30 * time.Second
	// publishInterval is the minimum time between two positions that an instance
	// publishes for a service.
	publishInterval = time.Second
	// finishedDistance is the distance below which a shift counts as finished.
	finishedDistance = 0.01
)

// TopicName identifies the positions in gossip.
const TopicName = "shift"

// Positions gossips the positions of shifts in progress, so that a new instance
// starts from the one that is furthest from the target. It holds one position
// for each service and region of the publishing instances, and none if no shift
// is in progress. It implements membership.Topic.
type Positions struct {
	mu    sync.Mutex
	self  model.InstanceID
	home  model.Region
	now   func() time.Time
	table map[positionKey]*entry
	seq   uint64
	ready bool
}

// positionKey identifies a position: by the service and by the publisher's own
// region, Home. The instances of a region share a target.
type positionKey struct {
	Home    model.Region
	Service model.Service
}

// entry is a published position.
type entry struct {
	Key    positionKey
	Origin model.InstanceID
	// Start is the publisher's start time in nanoseconds, Seq a counter of its
	// positions. Of two positions of an origin, the larger pair is the later.
	Start, Seq uint64
	Shares     Shares
	// Distance is the fraction of the traffic still to be moved, from 0 to 1.
	Distance float64
	// AgeMillis is the entry's age when it was sent.
	AgeMillis int64
	// seen is the time of publication on the local clock.
	seen time.Time
}

// NewPositions returns an empty set of positions. self is the instance, home
// its region and now its clock.
func NewPositions(self model.InstanceID, home model.Region, now func() time.Time) *Positions {
	p := &Positions{self: self, home: home, now: now, table: make(map[positionKey]*entry)}
	return p
}

// Ready reports whether the instance has received the positions of a peer or
// knows that there are none. Until then it must not decide where to start.
func (p *Positions) Ready() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ready
}

// MarkReady records that a peer has responded, with or without positions, or that
// the store was read and lists no live peer.
func (p *Positions) MarkReady() {
	p.mu.Lock()
	p.ready = true
	p.mu.Unlock()
}

// Distance returns the fraction of the traffic still to be moved until the
// shares are those of the target.
func Distance(at, target Shares) float64 {
	d := 0.0
	for r, t := range target {
		d += max(t-at[r], 0)
	}
	return d
}

// Publish sets the instance's own position of a service. It reports whether the
// positions have changed and should be gossiped.
func (p *Positions) Publish(start model.Incarnation, svc model.Service, at, target Shares) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	k := positionKey{p.home, svc}
	p.dropExpired(now)
	d := Distance(at, target)
	old := p.table[k]
	if old != nil && old.Origin == p.self && now.Sub(old.seen) < publishInterval {
		return false
	}
	if old == nil && d < finishedDistance {
		return false
	}
	p.seq++
	e := &entry{Key: k, Origin: p.self, Start: uint64(start), Seq: p.seq, Shares: at, Distance: d, seen: now}
	if !supersedes(e, old) {
		return false
	}
	p.table[k] = e
	return true
}

// supersedes reports whether e replaces old. Of the same instance, the later
// position does; of different instances, the one further from the target, and
// of equally distant ones that of the lower instance ID.
func supersedes(e, old *entry) bool {
	if old == nil {
		return true
	}
	if e.Origin == old.Origin {
		return e.Start > old.Start || e.Start == old.Start && e.Seq > old.Seq
	}
	if e.Distance != old.Distance {
		return e.Distance > old.Distance
	}
	return e.Origin < old.Origin
}

// dropExpired removes the positions older than entryTTL.
func (p *Positions) dropExpired(now time.Time) {
	for k, e := range p.table {
		if now.Sub(e.seen) > entryTTL {
			delete(p.table, k)
		}
	}
}

// StartShares returns the position from which a new instance starts a service,
// if there is one. If global is set, the service has the same weights in all
// regions and the positions of all regions are considered. Otherwise only those
// of this instance's region are, because its instances have the same target.
func (p *Positions) StartShares(svc model.Service, global bool) (Shares, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(p.now())
	var best *entry
	for k, e := range p.table {
		if k.Service != svc || !global && k.Home != p.home {
			continue
		}
		if best == nil || e.Distance > best.Distance {
			best = e
		}
	}
	if best == nil {
		return nil, false
	}
	return best.Shares, true
}

// Name implements membership.Topic.
func (p *Positions) Name() string {
	return TopicName
}

// Digest implements membership.Topic.
func (p *Positions) Digest() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropExpired(p.now())
	return p.digest()
}

func (p *Positions) digest() []byte {
	x := xxhash.New()
	var num [16]byte
	for _, e := range p.sorted() {
		x.WriteString(string(e.Key.Home) + "\x00" + string(e.Key.Service) + "\x00" + string(e.Origin) + "\x00")
		binary.BigEndian.PutUint64(num[:8], e.Start)
		binary.BigEndian.PutUint64(num[8:], e.Seq)
		x.Write(num[:])
	}
	return x.Sum(nil)
}

func (p *Positions) sorted() []*entry {
	list := make([]*entry, 0, len(p.table))
	for _, e := range p.table {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b *entry) int {
		if c := strings.Compare(string(a.Key.Home), string(b.Key.Home)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Key.Service), string(b.Key.Service))
	})
	return list
}

// News implements membership.Topic.
func (p *Positions) News(digest []byte) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.dropExpired(now)
	if len(p.table) == 0 || slices.Equal(digest, p.digest()) {
		return nil
	}
	list := p.sorted()
	out := make([]entry, 0, len(list))
	for _, e := range list {
		c := *e
		c.AgeMillis = now.Sub(e.seen).Milliseconds()
		out = append(out, c)
	}
	data, err := json.Marshal(out)
	if err != nil {
		return nil
	}
	return data
}

// Merge implements membership.Topic.
func (p *Positions) Merge(news []byte) (bool, error) {
	var list []entry
	if err := json.Unmarshal(news, &list); err != nil {
		return false, errors.Annotate(err, "decode shift positions")
	}
	for i := range list {
		if err := list[i].check(); err != nil {
			return false, err
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ready = true
	now := p.now()
	p.dropExpired(now)
	changed := false
	for i := range list {
		changed = p.merge(now, &list[i]) || changed
	}
	return changed, nil
}

func (p *Positions) merge(now time.Time, e *entry) bool {
	e.seen = now.Add(-time.Duration(e.AgeMillis) * time.Millisecond)
	if now.Sub(e.seen) > entryTTL || !supersedes(e, p.table[e.Key]) {
		return false
	}
	p.table[e.Key] = e
	return true
}

// check returns an error for positions that no instance can have published.
func (e *entry) check() error {
	total := 0.0
	for _, s := range e.Shares {
		if !(s >= 0 && s <= 1) {
			return errors.NotValidf("shift position with share %v", s)
		}
		total += s
	}
	if total > 1+finishedDistance || e.AgeMillis < 0 || !(e.Distance >= 0 && e.Distance <= 1+finishedDistance) {
		return errors.NotValidf("sum of shares, age or distance of the shift position of %q", e.Origin)
	}
	return nil
}
