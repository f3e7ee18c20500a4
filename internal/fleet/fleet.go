// Package fleet lets the instances of the system know each other: who lives,
// who leaves, who has which state, and how many requests each has at which
// endpoint. It sends datagrams, which may be lost; each message replaces the
// one before it.
package fleet

import (
	"net/netip"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// Presence is what an instance says of itself.
type Presence struct {
	ID model.InstanceID
	// Incarnation orders the processes of one instance.
	Incarnation model.Incarnation
	Region      model.Region
	Domain      model.Domain
	// Peer takes messages of other instances, Entry the requests of callers.
	Peer, Entry netip.AddrPort
	Ready       bool
	Leaving     bool
	// Revision is the revision of the store that it has seen.
	Revision mirror.Revision
	// StoreLost is whether the store does not answer it.
	StoreLost bool
	// Watching is whether it follows the store itself.
	Watching bool
	// Settled is whether its process has been running for a while.
	Settled bool
}

// member is another instance.
type member struct {
	Presence
	// hash orders the members that speak for a group.
	hash uint64
	// heard is when its last message came; zero: never.
	heard time.Time
	// listed is whether the store lists it.
	listed bool
	alive  bool
}

// Change is a change of an instance that others act on.
type Change struct {
	Presence
	// Kind is "seen", "silent" or "leaving".
	Kind string
}

const (
	// silentAfter is when an instance that sends nothing counts as gone: four
	// heartbeats.
	silentAfter = 4 * HeartbeatInterval
	// HeartbeatInterval is the time between two messages to the own failure domain, if
	// no load is reported sooner.
	HeartbeatInterval = 300 * time.Millisecond
	// farSilentAfter is when an instance of another failure domain counts as
	// gone: it is heard through a speaker, which may have to be replaced.
	farSilentAfter = 2500 * time.Millisecond
	// forgetAfter is when a silent instance that the store does not list is
	// forgotten.
	forgetAfter = 15 * time.Second
)

// Members is the table of other instances. It is safe for concurrent use.
type Members struct {
	self   model.InstanceID
	region model.Region
	domain model.Domain

	mu      sync.Mutex
	members map[model.InstanceID]*member
	// short finds members by their name in brief messages.
	short map[uint32]model.InstanceID
	// watched is when the region last had a watcher of the store.
	watched time.Time
}

// NewMembers returns an empty table of an instance in a failure domain.
func NewMembers(self model.InstanceID, region model.Region, domain model.Domain) *Members {
	return &Members{self: self, region: region, domain: domain, members: map[model.InstanceID]*member{}, short: map[uint32]model.InstanceID{}}
}

// SetListed takes an instance from the store. It counts as reachable only once it
// is heard.
func (m *Members) SetListed(p Presence, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.ID == m.self {
		return
	}
	o := m.members[p.ID]
	switch {
	case o == nil && on:
		m.members[p.ID] = &member{Presence: p, hash: hash(p.ID), listed: true}
		m.short[shortName(p.ID)] = p.ID
	case o != nil:
		o.listed = on
		if on && o.heard.IsZero() {
			o.Presence = p
		}
	}
}

// ReceiveFull takes an instance's message. It returns what has changed, and whether
// the instance was unknown or has restarted.
func (m *Members) ReceiveFull(p Presence, now time.Time) (changes []Change, fresh bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.ID == m.self {
		return nil, false
	}
	o := m.members[p.ID]
	if o == nil {
		o = &member{hash: hash(p.ID)}
		m.members[p.ID] = o
		m.short[shortName(p.ID)] = p.ID
		fresh = true
	}
	if p.Incarnation < o.Incarnation && o.alive {
		return nil, false // A late message. A process whose clock went back is heard after the silence of the one before it.
	}
	fresh = fresh || p.Incarnation != o.Incarnation
	if p.Leaving && (!o.Leaving || fresh) {
		changes = append(changes, Change{p, "leaving"})
	} else if !o.alive {
		changes = append(changes, Change{p, "seen"})
	}
	o.Presence, o.heard, o.alive = p, now, true
	return changes, fresh
}

// ReceiveBrief takes a message that leaves out what seldom changes. It reports
// false if the sender is not known, or has restarted since its last full
// message.
func (m *Members) ReceiveBrief(b Brief, now time.Time) (p Presence, changes []Change, ok bool) {
	m.mu.Lock()
	o := m.members[m.short[b.From]]
	if o == nil || uint32(o.Incarnation) != b.Incarnation {
		m.mu.Unlock()
		return Presence{}, nil, false
	}
	p = o.Presence
	m.mu.Unlock()
	p.setFlags(b.Flags)
	p.Revision = b.Revision
	changes, _ = m.ReceiveFull(p, now)
	return p, changes, true
}

// Tick notes who has become silent.
func (m *Members) Tick(now time.Time) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Change
	for id, o := range m.members {
		quiet := now.Sub(o.heard)
		if o.alive && quiet > m.silence(o) {
			o.alive = false
			out = append(out, Change{o.Presence, "silent"})
		}
		if !o.alive && !o.listed && quiet > forgetAfter {
			delete(m.members, id)
			delete(m.short, shortName(id))
		}
	}
	return out
}

// silence is when an instance counts as gone.
func (m *Members) silence(o *member) time.Duration {
	if o.Domain != m.domain {
		return farSilentAfter
	}
	return silentAfter
}

// Known returns all instances that may be reachable, to send messages to. The
// order is not fixed.
func (m *Members) Known() []Presence {
	return m.filter(func(*member) bool { return true })
}

// SameDomain returns the known instances of the own failure domain.
func (m *Members) SameDomain() []Presence {
	return m.filter(func(o *member) bool { return o.Domain == m.domain })
}

// Alive returns the instances that were heard lately. The order is not fixed.
func (m *Members) Alive() []Presence {
	return m.filter(func(o *member) bool { return o.alive })
}

func (m *Members) filter(keep func(*member) bool) []Presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Presence
	for _, o := range m.members {
		if keep(o) {
			out = append(out, o.Presence)
		}
	}
	return out
}

// Count returns how many other instances there may be: those that the store
// lists, and those that were heard lately. Shared budgets are divided by it,
// so that instances that do not hear each other do not use more together.
func (m *Members) Count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, o := range m.members {
		if o.alive || o.listed {
			n++
		}
	}
	return n
}

// RegionSettled reports whether an instance of the region has been running for a
// while, so that the region was serving before this process started.
func (m *Members) RegionSettled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.members {
		if o.Region == m.region && o.alive && o.Settled {
			return true
		}
	}
	return false
}

// Isolated reports whether several instances are listed and none is heard.
func (m *Members) Isolated(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	alive, heard := 0, 0
	for _, o := range m.members {
		if o.alive {
			alive++
		}
		if !o.heard.IsZero() && now.Sub(o.heard) < isolationMemory {
			heard++
		}
	}
	return alive == 0 && heard >= isolationPeers
}

const (
	// isolationPeers is how many instances must fall silent together for the
	// fault to be likely here.
	isolationPeers = 2
	// isolationMemory is how long that is believed.
	isolationMemory = 30 * time.Second
)

// Instances returns the live instances for steering, this one included.
func (m *Members) Instances(self steering.Instance) []steering.Instance {
	out := []steering.Instance{self}
	for _, p := range m.Alive() {
		if !p.Leaving {
			out = append(out, steering.Instance{ID: p.ID, Region: p.Region})
		}
	}
	return out
}
