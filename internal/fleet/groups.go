package fleet

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"

	"jujubestile.example/jujubestile/internal/mirror"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/steering"
)

// Bytes between failure domains cost, and more so between regions. So one
// instance of each failure domain, its speaker, reports for all of them to the
// speakers of the region's other domains, and one of each region reports to the
// other regions. A speaker passes what it hears on to its own domain. The
// speaker is the live instance with the lowest hash; a report goes to the first
// two, so that a dead one costs nothing.

// Group names a failure domain, or a whole region if Domain is empty.
type Group struct {
	Region model.Region
	Domain model.Domain
}

// AggregateID stands for all instances of the group in the table of loads.
func (g Group) AggregateID() model.InstanceID {
	if g.Domain == "" {
		return model.InstanceID("region/" + g.Region)
	}
	return model.InstanceID("domain/" + g.Domain)
}

func (g Group) has(p Presence) bool {
	return p.Region == g.Region && (g.Domain == "" || p.Domain == g.Domain)
}

// Report tells others about a group.
type Report struct {
	//lint:ignore U1000 The codec reads the tag: fields without their names.
	_msgpack struct{} `msgpack:",as_array"`

	Region model.Region
	Domain model.Domain
	// Revision is the latest revision of the store seen in the group, by From.
	From     uint32
	Revision mirror.Revision
	// Alive holds pairs of an instance's name in messages and its flags. It is
	// empty in reports of load only.
	Alive []uint32
	// Whole means that Loads are all there are; otherwise those that changed.
	Whole bool
	// Loads holds pairs of an endpoint and the group's requests there.
	Loads []uint32
	// Seen holds pairs of an endpoint and an object that was sent there.
	Seen []uint32
}

// Group is the group that the report is about.
func (r Report) Group() Group { return Group{r.Region, r.Domain} }

// speakerCount is how many instances of a group get a report.
const speakerCount = 2

// Representatives returns the first instances of a group in the order in which they
// speak for it, this one left out.
func (m *Members) Representatives(g Group) []Presence {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.speakers(g)
	var out []Presence
	for _, o := range first {
		if o != nil {
			out = append(out, o.Presence)
		}
	}
	return out
}

// speakers returns the live members of a group with the lowest hashes. In a
// group that was not heard yet, listed ones stand in, so that two groups that
// have not heard each other begin to speak. The lock is held.
func (m *Members) speakers(g Group) [speakerCount]*member {
	live := m.lowest(g, func(o *member) bool { return o.alive && !o.Leaving })
	if live[0] != nil || g.Domain == m.domain || g.Domain == "" && g.Region == m.region {
		return live
	}
	return m.lowest(g, func(o *member) bool { return o.listed })
}

func (m *Members) lowest(g Group, fit func(*member) bool) (first [speakerCount]*member) {
	for _, o := range m.members {
		if !g.has(o.Presence) || !fit(o) {
			continue
		}
		for i := range first {
			if first[i] == nil || o.hash < first[i].hash {
				copy(first[i+1:], first[i:speakerCount-1])
				first[i] = o
				break
			}
		}
	}
	return first
}

func hash(id model.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// Represents reports whether this instance speaks for a group that it is in.
func (m *Members) Represents(g Group) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := m.speakers(g)[0]
	return first == nil || hash(m.self) < first.hash
}

// Report returns who is alive in a group that this instance is in, and the
// latest revision there.
func (m *Members) Report(g Group, self Presence) Report {
	r := Report{Region: g.Region, Domain: g.Domain, From: shortName(self.ID), Revision: self.Revision}
	r.Alive = append(r.Alive, shortName(self.ID), uint32(self.flags()))
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range m.members {
		if o.alive && g.has(o.Presence) {
			r.Alive = append(r.Alive, uint32(o.hash), uint32(o.flags()))
			r.Revision = max(r.Revision, o.Revision)
		}
	}
	return r
}

// ReceiveReport takes a report of another group.
func (m *Members) ReceiveReport(r Report, now time.Time) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Change
	for i := 0; i+1 < len(r.Alive); i += 2 {
		o := m.members[m.short[r.Alive[i]]]
		if o == nil || !r.Group().has(o.Presence) {
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
		o.heard, o.alive = now, true
	}
	if o := m.members[m.short[r.From]]; o != nil && r.Group().has(o.Presence) {
		o.Revision = max(o.Revision, r.Revision)
	}
	return out
}

// LoadPairs renders loads as the pairs of a message.
func LoadPairs(loads steering.Loads) []uint32 {
	out := make([]uint32, 0, 2*len(loads))
	for w, n := range loads {
		out = append(out, w, uint32(n))
	}
	return out
}

func loadsOf(pairs []uint32) steering.Loads {
	out := make(steering.Loads, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		out[pairs[i]] = int(pairs[i+1])
	}
	return out
}

// SeenPairs renders sightings as the pairs of a message.
func SeenPairs(seen []steering.Placement) []uint32 {
	out := make([]uint32, 0, 2*len(seen))
	for _, s := range seen {
		out = append(out, s.Endpoint, s.Object)
	}
	return out
}

func seenOf(pairs []uint32) []steering.Placement {
	var out []steering.Placement
	for i := 0; i+1 < len(pairs); i += 2 {
		out = append(out, steering.Placement{Endpoint: pairs[i], Object: pairs[i+1]})
	}
	return out
}

// Update returns the loads and sightings of a report.
func (r Report) Update() LoadUpdate { return LoadUpdate{loadsOf(r.Loads), seenOf(r.Seen)} }

// Kinds of reports: as the speaker sends it, and as it is passed on.
const (
	kindReport = 'R'
	kindPassed = 'P'
)

// EncodeReport renders a report. passed means that its receiver need not pass
// it on.
func EncodeReport(r Report, passed bool) ([]byte, error) {
	kind := byte(kindReport)
	if passed {
		kind = kindPassed
	}
	return encode(kind, &r)
}

func decodeReport(b []byte) (*Report, error) {
	var r Report
	if err := msgpack.Unmarshal(b, &r); err != nil {
		return nil, errors.Trace(err)
	}
	if len(r.Loads)%2 != 0 || len(r.Seen)%2 != 0 || len(r.Alive)%2 != 0 || r.Region == "" {
		return nil, errors.New("report without a region or with half a pair")
	}
	return &r, nil
}
