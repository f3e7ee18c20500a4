package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/desired"
	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// Traffic between failure domains is expensive, and that between regions more so.
// Therefore one instance of each failure domain, its representative, reports for
// all of its instances to the representatives of the region's other domains, and
// one of each region reports to the other regions. A representative relays the
// reports that it receives within its own domain. The representative is the first
// live instance in the order of electionOrder. A report on a failure domain is sent to
// the first two, so that it arrives although one of them has just died. A report on a region is sent to one instance of each failure domain
// of the other regions.

// Group identifies a failure domain, or a whole region if Domain is empty.
type Group struct {
	Region model.Region
	Domain model.Domain
}

// AggregateID returns the ID under which the load table holds the sum of the
// loads of the group's instances.
func (g Group) AggregateID() model.InstanceID {
	if g.Domain == "" {
		return model.InstanceID("region/" + g.Region)
	}
	return model.InstanceID("domain/" + g.Domain)
}

func (g Group) contains(p Presence) bool {
	return p.Region == g.Region && (g.Domain == "" || p.Domain == g.Domain)
}

// Report is a message about a group, sent to instances of other groups.
type Report struct {
	//lint:ignore U1000 The codec reads the tag, which leaves out the field names.
	_msgpack struct{} `msgpack:",as_array"`

	Region model.Region
	Domain model.Domain
	// From is the wire ID of the sender. Era and Revision are the latest position
	// of the store in the group, Desired is its newest desired state.
	From     uint32
	Era      model.Era
	Revision mirror.Revision
	Desired  desired.Version
	// Alive holds pairs of an instance's wire ID and its flags. It is empty in a
	// report that only carries loads.
	Alive []uint32
	// Whole means that Loads lists all loads of the group. Otherwise it lists
	// those that have changed since the report before.
	Whole bool
	// Loads holds pairs of an endpoint's wire ID and the group's requests in
	// flight there.
	Loads []uint32
	// Seen holds the recent placements: pairs of the wire IDs of an endpoint and
	// of an object for which it was sent a request.
	Seen []uint32
	// Age is the encoded age of the youngest copy of the store at that position. It
	// follows the encoded report.
	Age uint8 `msgpack:"-"`
	// Speeds are those of endpoints' machines that have changed for the group. They
	// follow the age.
	Speeds []steering.Speed `msgpack:"-"`
	// Low and High bound the wire IDs to which Whole applies. If High is 0, it
	// applies to all.
	Low  uint32 `msgpack:"-"`
	High uint32 `msgpack:"-"`
}

// CopyAge returns the age of the group's youngest copy of the store at its latest
// position.
func (r Report) CopyAge() time.Duration { return decodeAge(r.Age) }

// AddDelay makes the group's copy of the store older.
func (r *Report) AddDelay(d time.Duration) { r.Age = encodeAge(r.CopyAge() + d) }

// Group returns the group that the report is about.
func (r Report) Group() Group { return Group{r.Region, r.Domain} }

// Position returns the latest position of the store in the group.
func (r Report) Position() mirror.Position {
	return mirror.Position{Era: r.Era, Revision: r.Revision}
}

// advance raises the position and the version to those of an instance whose copy has
// the given age.
func (r *Report) advance(p Presence, age time.Duration) {
	if r.Position().Before(p.Position) {
		r.Era, r.Revision, r.Age = p.Position.Era, p.Position.Revision, 0
	}
	if r.Position() == p.Position {
		r.Age = encodeAge(min(age, r.CopyAge()))
	}
	r.Desired = max(r.Desired, p.Desired)
}

// representativeCount is the largest number of instances of a group that a report
// is sent to.
const representativeCount = 2

// Representatives returns the other instances of a group that represent it, the
// first choice first.
func (m *Members) Representatives(g Group) []Presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.representatives(g)
	var out []Presence
	for _, o := range first {
		if o != nil {
			out = append(out, o.Presence)
		}
	}
	return out
}

// representatives returns the first live members of a group that are not leaving. If another group has no such member, those that the
// store lists are used instead, so that two groups without contact begin to
// report to each other. The lock is held.
func (m *Members) representatives(g Group) [representativeCount]*member {
	live := m.first(g, func(o *member) bool { return o.alive && !o.Leaving })
	if live[0] != nil || g.Domain == m.domain || g.Domain == "" && g.Region == m.region {
		return live
	}
	return m.first(g, func(o *member) bool { return o.listed })
}

// first returns the first members of a group, in the order of electionOrder, among
// those that satisfy fit. Missing ones are nil.
func (m *Members) first(g Group, fit func(*member) bool) (first [representativeCount]*member) {
	m.each(g, func(o *member) {
		if !fit(o) {
			return
		}
		for i := range first {
			if first[i] == nil || o.order() < first[i].order() {
				copy(first[i+1:], first[i:representativeCount-1])
				first[i] = o
				break
			}
		}
	})
	return first
}

// each calls f with each member of a failure domain or region. The lock is held.
func (m *Members) each(g Group, f func(*member)) {
	if g.Domain != "" {
		for _, o := range m.byDomain[g] {
			f(o)
		}
		return
	}
	for domain, members := range m.byDomain {
		if domain.Region == g.Region {
			for _, o := range members {
				f(o)
			}
		}
	}
}

// Watching the store for a region and reporting for a group multiply the traffic of an
// instance, so machines of a higher capacity class come first. Within a class, hashes
// spread these duties over groups.

// electionOrder returns the place of an instance in the order of election; the lowest
// comes first.
func electionOrder(capacity CapacityClass, hash uint64) uint64 {
	return uint64(maxCapacityClass-min(capacity, maxCapacityClass))<<(64-capacityBits) | hash>>capacityBits
}

func (o *member) order() uint64 { return electionOrder(o.Capacity, o.hash) }

// CapacityClass is the capacity of an instance's machine relative to that of the
// smallest useful one, as a power of two.
type CapacityClass uint8

const (
	// capacityBits is the number of bits of a CapacityClass in messages.
	capacityBits     = 3
	maxCapacityClass = CapacityClass(1<<capacityBits - 1)
	// baseCPU, in cores, and baseLink, in Mbit/s, are the capacity of class 0.
	baseCPU, baseLink = 0.1, 10.0
)

// CapacityClassOf returns the class of a machine with a share of a core and a link in
// Mbit/s. The scarcer resource decides; 0 means that it is unknown.
func CapacityClassOf(cpu, link float64) CapacityClass {
	multiple := min(cpu/baseCPU, link/baseLink)
	if !(multiple >= 2) {
		return 0
	}
	return CapacityClass(min(math.Log2(multiple), float64(maxCapacityClass)))
}

// hash returns the hash that orders the instances of a capacity class. Its low half is
// the wire ID of the instance.
func hash(id model.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// Represents reports whether this instance represents a group to which it
// belongs.
func (m *Members) Represents(g Group) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.representatives(g)[0]
	return first == nil || electionOrder(m.capacity, hash(m.self)) < first.order()
}

// Report returns a report on a group to which this instance belongs, with the
// live instances, the latest position and the newest desired state, but without
// loads.
func (m *Members) Report(g Group, self Presence, now time.Time) Report {
	r := Report{Region: g.Region, Domain: g.Domain, From: wireID(self.ID)}
	r.advance(self, self.CopyAge)
	r.Alive = append(r.Alive, wireID(self.ID), uint32(self.flags()))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.each(g, func(o *member) {
		if o.alive {
			r.Alive = append(r.Alive, uint32(o.hash), uint32(o.flags()))
			r.advance(o.Presence, now.Sub(o.confirmedAt))
		}
	})
	return r
}

// ReceiveReport processes the live instances, the position and the version in a
// report on another group. It returns the changes.
func (m *Members) ReceiveReport(r Report, now time.Time) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Change
	for i := 0; i+1 < len(r.Alive); i += 2 {
		o := m.members[m.byWireID[r.Alive[i]]]
		if o == nil || !r.Group().contains(o.Presence) {
			continue
		}
		was := o.Presence
		o.setFlags(uint8(r.Alive[i+1]))
		switch {
		case o.Leaving && !was.Leaving:
			out = append(out, Change{o.Presence, "leaving"})
		case !o.alive:
			out = append(out, Change{o.Presence, "seen"})
		}
		o.lastHeard, o.alive = now, true
	}
	if o := m.members[m.byWireID[r.From]]; o != nil && r.Group().contains(o.Presence) {
		if at := r.Position(); !at.Before(o.Position) {
			o.Position, o.confirmedAt = at, now.Add(-r.CopyAge())
			m.recordConfirmation(o.confirmedAt, now)
		}
		o.Desired = max(o.Desired, r.Desired)
	}
	return out
}

// LoadPairs encodes loads as the pairs of a message.
func LoadPairs(loads steering.Loads) []uint32 {
	out := make([]uint32, 0, 2*len(loads))
	for w, n := range loads {
		out = append(out, w, uint32(n))
	}
	return out
}

// parseLoads reverses LoadPairs.
func parseLoads(pairs []uint32) steering.Loads {
	out := make(steering.Loads, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		out[pairs[i]] = int(pairs[i+1])
	}
	return out
}

// PlacementPairs encodes placements as the pairs of a message.
func PlacementPairs(placements []steering.Placement) []uint32 {
	out := make([]uint32, 0, 2*len(placements))
	for _, s := range placements {
		out = append(out, s.Endpoint, s.Object)
	}
	return out
}

// parsePlacements reverses PlacementPairs.
func parsePlacements(pairs []uint32) []steering.Placement {
	var out []steering.Placement
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(out, steering.Placement{Endpoint: pairs[i], Object: pairs[i+1]})
	}
	return out
}

// Update returns the loads, placements and speeds of a report.
func (r Report) Update() LoadUpdate {
	return LoadUpdate{parseLoads(r.Loads), parsePlacements(r.Seen), r.Speeds}
}

// Kinds of reports: as a representative sends it to another group, and as it is
// relayed within a failure domain.
const (
	kindReport  = 'R'
	kindRelayed = 'P'
)

// EncodeReport encodes a report as one or more messages. relayed marks it as
// relayed within a failure domain, so that its receivers do not relay it again.
func EncodeReport(r Report, relayed bool) ([][]byte, error) {
	kind := byte(kindReport)
	if relayed {
		kind = kindRelayed
	}
	var out [][]byte
	speeds := r.Speeds
	for _, p := range r.parts() {
		b, err := encode(kind, &p, p.Age)
		if err != nil {
			return nil, errors.Trace(err)
		}
		b, speeds = appendSpeeds(b, speeds)
		if p.Whole {
			b = withRange(b, p.Low, p.High)
		}
		out = append(out, b)
	}
	return out, nil
}

func decodeReport(b []byte) (*Report, error) {
	var r Report
	age, rest, err := decodeValue(b, &r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.Age, r.Speeds = age, decodeSpeeds(rest)
	if len(r.Loads)%2 != 0 || len(r.Seen)%2 != 0 || len(r.Alive)%2 != 0 || r.Region == "" {
		return nil, errors.New("report without a region or with an odd number of pair values")
	}
	return &r, nil
}
