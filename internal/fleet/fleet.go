// Package fleet exchanges state between the instances of the system: which of
// them are alive or leaving, which position of the store and which desired state
// each has, and how many requests each has in flight at which endpoint. It sends datagrams. A lost
// datagram is not retransmitted, because the next message replaces it.
package fleet

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// Presence is the state that an instance reports of itself.
type Presence struct {
	ID model.InstanceID
	// Incarnation tells the processes of one instance apart; a later process has
	// a larger one.
	Incarnation model.Incarnation
	Region      model.Region
	Domain      model.Domain
	// Peer is the address for messages and calls of other instances, Entry that
	// for requests of callers.
	Peer, Entry netip.AddrPort
	Ready       bool
	Leaving     bool
	// Position is that of the instance's copy of the store. CopyAge is how long
	// before the message that copy is known to have held every change of the store.
	Position mirror.Position
	CopyAge  time.Duration
	// Desired is the version of the desired state in force on the instance. After
	// a restore of the store it may be newer than the one in the copy.
	Desired desired.Version
	// StoreLost means that the store does not respond to the instance.
	StoreLost bool
	// Watching means that the instance watches the store itself.
	Watching bool
	// Settled means that the process has been running for longer than all
	// instances take to start together.
	Settled bool
	// Capacity is the capacity class of the instance's machine.
	Capacity CapacityClass
}

// member is what is known of another instance.
type member struct {
	Presence
	// hash determines which members of a group represent it.
	hash uint64
	// lastHeard is when the last message of the instance, or the last report
	// that lists it as alive, was received. It is zero if there was none.
	lastHeard time.Time
	// confirmedAt is the last time at which the instance's copy, at its position, is
	// known to have held every change of the store.
	confirmedAt time.Time
	// listed means that the store lists the instance.
	listed bool
	alive  bool
	// echoes means that the instance has sent or answered an echo.
	echoes bool
}

// Change is a change of another instance's state.
type Change struct {
	Presence
	// Kind is "seen" if the instance is now alive, "silent" if it no longer is, or
	// "leaving".
	Kind string
}

const (
	// silentAfter is how long an instance of the same failure domain may send
	// nothing before it counts as silent: four heartbeat intervals.
	silentAfter = 4 * HeartbeatInterval
	// HeartbeatInterval is the longest time between two messages to the same
	// failure domain. A change of load is reported sooner.
	HeartbeatInterval = 300 * time.Millisecond
	// farSilentAfter replaces silentAfter for instances of other failure domains,
	// counted from the last report that lists them. It is longer, because reports
	// come from a representative, and another instance may have to take over from
	// it.
	farSilentAfter = 2500 * time.Millisecond
	// forgetAfter is how long after its last message or report a silent instance
	// that the store does not list is removed from the table.
	forgetAfter = 15 * time.Second
)

// Members is the table of other instances. It is safe for concurrent use.
type Members struct {
	self     model.InstanceID
	region   model.Region
	domain   model.Domain
	capacity CapacityClass

	mu      sync.Mutex
	members map[model.InstanceID]*member
	// byDomain holds the members by failure domain, because most questions concern a
	// single domain or region and are asked many times a second.
	byDomain map[Group][]*member
	// byWireID finds members by their ID in brief messages and reports.
	byWireID map[uint32]model.InstanceID
	// lastWatched is when an instance of the region last watched the store.
	lastWatched time.Time
	// confirmations are the times at which copies of the store are known to have held
	// every change, in order.
	confirmations []time.Time
}

// NewMembers returns an empty table for the instance self, whose machine is of a
// capacity class.
func NewMembers(self model.InstanceID, region model.Region, domain model.Domain, capacity CapacityClass) *Members {
	return &Members{self: self, region: region, domain: domain, capacity: capacity, members: map[model.InstanceID]*member{},
		byDomain: map[Group][]*member{}, byWireID: map[uint32]model.InstanceID{}}
}

// SetListed records whether the store lists an instance. A listed instance counts
// as alive only once a message or report of it has been received.
func (m *Members) SetListed(p Presence, on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.ID == m.self {
		return
	}
	o := m.members[p.ID]
	switch {
	case o == nil && on:
		m.add(p).listed = true
	case o != nil:
		o.listed = on
		if on && o.lastHeard.IsZero() {
			m.setPresence(o, p)
		}
	}
}

// add adds an instance. The lock is held.
func (m *Members) add(p Presence) *member {
	o := &member{hash: hash(p.ID)}
	m.members[p.ID] = o
	m.byWireID[wireID(p.ID)] = p.ID
	m.byDomain[p.group()] = append(m.byDomain[p.group()], o)
	o.Presence = p
	return o
}

// setPresence replaces the presence of a member. The lock is held.
func (m *Members) setPresence(o *member, p Presence) {
	if was := o.group(); was != p.group() {
		m.removeFromDomain(o)
		m.byDomain[p.group()] = append(m.byDomain[p.group()], o)
	}
	o.Presence = p
}

func (m *Members) removeFromDomain(o *member) {
	g := o.group()
	m.byDomain[g] = slices.DeleteFunc(m.byDomain[g], func(other *member) bool { return other == o })
}

// group returns the failure domain of an instance.
func (p Presence) group() Group { return Group{p.Region, p.Domain} }

// ReceiveFull processes the presence in a message of another instance. It
// returns the changes, and whether the sender is a process that was unknown: a
// new instance or a restarted one.
func (m *Members) ReceiveFull(p Presence, now time.Time) (changes []Change, newProcess bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.ID == m.self {
		return nil, false
	}
	o := m.members[p.ID]
	if o == nil {
		o = m.add(Presence{ID: p.ID, Region: p.Region, Domain: p.Domain})
		newProcess = true
	}
	if p.Incarnation < o.Incarnation && o.alive {
		// A delayed message of an earlier process. A restarted process whose
		// clock has gone back is accepted once its predecessor counts as silent.
		return nil, false
	}
	newProcess = newProcess || p.Incarnation != o.Incarnation
	if p.Leaving && (!o.Leaving || newProcess) {
		changes = append(changes, Change{p, "leaving"})
	} else if !o.alive {
		changes = append(changes, Change{p, "seen"})
	}
	m.setPresence(o, p)
	o.lastHeard, o.alive = now, true
	o.confirmedAt = now.Add(-p.CopyAge)
	m.recordConfirmation(o.confirmedAt, now)
	return changes, newProcess
}

// ReceiveBrief processes a brief message, which leaves out what seldom changes.
// It reports false if the sender is unknown or has restarted since its last
// full message.
func (m *Members) ReceiveBrief(b Brief, now time.Time) (p Presence, changes []Change, ok bool) {
	m.mu.Lock()
	o := m.members[m.byWireID[b.From]]
	if o == nil || uint32(o.Incarnation) != b.Incarnation {
		m.mu.Unlock()
		return Presence{}, nil, false
	}
	p = o.Presence
	m.mu.Unlock()
	p.setFlags(b.Flags)
	p.Position, p.CopyAge, p.Desired = b.position(), decodeAge(b.Age), b.Desired
	changes, _ = m.ReceiveFull(p, now)
	return p, changes, true
}

// Tick marks instances as silent that have sent nothing for too long, and removes
// those that the store does not list after forgetAfter. It returns the changes;
// it has to be called regularly.
func (m *Members) Tick(now time.Time) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Change
	for id, o := range m.members {
		quiet := now.Sub(o.lastHeard)
		if o.alive && quiet > m.silenceLimit(o) {
			o.alive = false
			out = append(out, Change{o.Presence, "silent"})
		}
		if !o.alive && !o.listed && quiet > forgetAfter {
			delete(m.members, id)
			delete(m.byWireID, wireID(id))
			m.removeFromDomain(o)
		}
	}
	return out
}

// silenceLimit returns how long an instance may send nothing before it counts as
// silent.
func (m *Members) silenceLimit(o *member) time.Duration {
	if o.Domain != m.domain {
		return farSilentAfter
	}
	return silentAfter
}

// Known returns all instances in the table, alive or not, in no particular order.
// Messages are sent to all of them, since any may be reachable.
func (m *Members) Known() []Presence {
	return m.filter(func(*member) bool { return true })
}

// SameDomain returns the known instances of this failure domain, in no
// particular order.
func (m *Members) SameDomain() []Presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.byDomain[m.ownDomain()]
	out := make([]Presence, len(own))
	for i, o := range own {
		out[i] = o.Presence
	}
	return out
}

// DomainSize returns the number of known instances of this failure domain.
func (m *Members) DomainSize() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.byDomain[m.ownDomain()])
}

func (m *Members) ownDomain() Group { return Group{m.region, m.domain} }

// Alive returns the instances that are not silent, in no particular order.
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

// Count returns how many other instances there may be: those that the store lists
// and those that are alive. Shared budgets are divided by it, so that instances
// that cannot reach each other do not exceed a budget together.
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

// SilentFor returns how long ago the last message of any instance was received.
func (m *Members) SilentFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var last time.Time
	for _, o := range m.members {
		if o.lastHeard.After(last) {
			last = o.lastHeard
		}
	}
	return now.Sub(last)
}

// Sample returns up to n random known instances, alive or not.
func (m *Members) Sample(n int) []model.InstanceID {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := slices.Collect(maps.Keys(m.members))
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), n)]
}

// RegionSettled reports whether a live instance of the region is settled, which
// means that the region was serving requests before this process started.
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

// Isolated reports whether no other instance is alive although several were alive
// recently, so that this instance is likely cut off from the network.
func (m *Members) Isolated(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	alive, heardRecently := 0, 0
	for _, o := range m.members {
		if o.alive {
			alive++
		}
		if !o.lastHeard.IsZero() && now.Sub(o.lastHeard) < isolationWindow {
			heardRecently++
		}
	}
	return alive == 0 && heardRecently >= isolationMinPeers
}

const (
	// isolationMinPeers is how many instances must have fallen silent for the
	// fault to be likely on this side.
	isolationMinPeers = 2
	// isolationWindow is how long after its last message a silent instance counts
	// towards isolationMinPeers.
	isolationWindow = 30 * time.Second
)

// Instances returns self and all other instances that are not leaving, for the
// routing table: the live ones, and those that the store lists but that are silent.
func (m *Members) Instances(self steering.Instance) []steering.Instance {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []steering.Instance{self}
	for _, o := range m.members {
		if !o.Leaving && (o.alive || o.listed) {
			out = append(out, steering.Instance{ID: o.ID, Region: o.Region, Silent: !o.alive})
		}
	}
	return out
}
