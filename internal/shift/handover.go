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
	// entryTTL is how long a published position is used without a new one. An
	// old position is further behind, so a longer time only slows shifts.
	entryTTL = 30 * time.Second
	// publishEvery bounds how often an instance publishes a position that it
	// has published before.
	publishEvery = time.Second
	// atTarget is the distance below which a shift counts as finished.
	atTarget = 0.01
)

// TopicName identifies the positions in gossip.
const TopicName = "shift"

// Positions spreads the positions of shifts in progress, so that a new instance
// starts from that of the live peer that is furthest behind. It holds one
// position for each service and home region of the instances, and none when no
// shift is in progress. It implements membership.Topic.
type Positions struct {
	mu    sync.Mutex
	self  model.InstanceID
	home  model.Region
	now   func() time.Time
	table map[handoverKey]*entry
	seq   uint64
	ready bool
}

type handoverKey struct {
	Home    model.Region
	Service model.Service
}

// entry is a published position.
type entry struct {
	Key    handoverKey
	Origin model.InstanceID
	// Start is the publisher's start time in nanoseconds, Seq its counter.
	// The larger pair is the later position of the same origin.
	Start, Seq uint64
	Shares     Shares
	// Distance is how much of the traffic has yet to move, from 0 to 1.
	Distance float64
	// AgeMillis is the entry's age when it was sent.
	AgeMillis int64
	seen      time.Time
}

// NewPositions returns the positions that an instance knows. home is its
// region; now is its clock.
func NewPositions(self model.InstanceID, home model.Region, now func() time.Time) *Positions {
	h := &Positions{self: self, home: home, now: now, table: make(map[handoverKey]*entry)}
	return h
}

// Ready reports whether the instance has heard from a peer or knows that it
// has none. Before that it does not know where shifts stand.
func (h *Positions) Ready() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

// MarkReady records that a peer has answered, with or without news, or that the
// store was read and the instance has no live peer.
func (h *Positions) MarkReady() {
	h.mu.Lock()
	h.ready = true
	h.mu.Unlock()
}

// Distance returns how much of the traffic has yet to move to the target.
func Distance(at, target Shares) float64 {
	d := 0.0
	for r, t := range target {
		d += max(t-at[r], 0)
	}
	return d
}

// Publish offers the own position of a service. It reports whether there is
// news for neighbours.
func (h *Positions) Publish(start model.Incarnation, svc model.Service, at, target Shares) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	k := handoverKey{h.home, svc}
	h.drop(now)
	d := Distance(at, target)
	old := h.table[k]
	if old != nil && old.Origin == h.self && now.Sub(old.seen) < publishEvery {
		return false
	}
	if old == nil && d < atTarget {
		return false
	}
	h.seq++
	e := &entry{Key: k, Origin: h.self, Start: uint64(start), Seq: h.seq, Shares: at, Distance: d, seen: now}
	if !supersedes(e, old) {
		return false
	}
	h.table[k] = e
	return true
}

// supersedes reports whether e replaces old: a later position of the same
// instance does, and one that is further behind.
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

func (h *Positions) drop(now time.Time) {
	for k, e := range h.table {
		if now.Sub(e.seen) > entryTTL {
			delete(h.table, k)
		}
	}
}

// StartShares returns the position from which a new instance starts a service. With
// global weights the positions of all regions' instances count, else only
// those of the own region, whose instances share the target.
func (h *Positions) StartShares(svc model.Service, global bool) (Shares, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop(h.now())
	var best *entry
	for k, e := range h.table {
		if k.Service != svc || !global && k.Home != h.home {
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

// Name is part of membership.Topic.
func (h *Positions) Name() string {
	return TopicName
}

// Digest is part of membership.Topic.
func (h *Positions) Digest() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop(h.now())
	return h.digest()
}

func (h *Positions) digest() []byte {
	x := xxhash.New()
	var num [16]byte
	for _, e := range h.sorted() {
		x.WriteString(string(e.Key.Home) + "\x00" + string(e.Key.Service) + "\x00" + string(e.Origin) + "\x00")
		binary.BigEndian.PutUint64(num[:8], e.Start)
		binary.BigEndian.PutUint64(num[8:], e.Seq)
		x.Write(num[:])
	}
	return x.Sum(nil)
}

func (h *Positions) sorted() []*entry {
	list := make([]*entry, 0, len(h.table))
	for _, e := range h.table {
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

// News is part of membership.Topic.
func (h *Positions) News(digest []byte) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	h.drop(now)
	if len(h.table) == 0 || slices.Equal(digest, h.digest()) {
		return nil
	}
	list := h.sorted()
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

// Merge is part of membership.Topic.
func (h *Positions) Merge(news []byte) (bool, error) {
	var list []entry
	if err := json.Unmarshal(news, &list); err != nil {
		return false, errors.Annotate(err, "shift positions")
	}
	for i := range list {
		if err := list[i].check(); err != nil {
			return false, err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = true
	now := h.now()
	h.drop(now)
	changed := false
	for i := range list {
		changed = h.merge(now, &list[i]) || changed
	}
	return changed, nil
}

func (h *Positions) merge(now time.Time, e *entry) bool {
	e.seen = now.Add(-time.Duration(e.AgeMillis) * time.Millisecond)
	if now.Sub(e.seen) > entryTTL || !supersedes(e, h.table[e.Key]) {
		return false
	}
	h.table[e.Key] = e
	return true
}

// check rejects positions that no instance publishes.
func (e *entry) check() error {
	total := 0.0
	for _, s := range e.Shares {
		if !(s >= 0 && s <= 1) {
			return errors.NotValidf("shift positions: share %v", s)
		}
		total += s
	}
	if total > 1+atTarget || e.AgeMillis < 0 || !(e.Distance >= 0 && e.Distance <= 1+atTarget) {
		return errors.NotValidf("shift positions: entry of %q", e.Origin)
	}
	return nil
}
