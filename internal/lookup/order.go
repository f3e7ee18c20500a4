package lookup

import (
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

const (
	// MaxEntries is the maximum number of instances in an answer.
	MaxEntries = 5
	// maxOwnRegion is the maximum number of instances in an answer that are in
	// the caller's region, if other regions have instances. The rest are in
	// other regions, so that a caller still knows a working instance when its
	// own region fails.
	maxOwnRegion = 4
	// weightStep is the share of its callers that an instance loses with each
	// load class. In the highest load class it keeps 30 %.
	weightStep = 0.1
	// blockBits4 and blockBits6 are the prefix lengths of the blocks for
	// callers that no rule covers.
	blockBits4 = 24
	blockBits6 = 48
)

// Distances maps each region to the other regions, nearest first. Regions
// missing from the list come last.
type Distances map[model.Region][]model.Region

// candidate is an instance with the precomputed inputs of its cost.
type candidate struct {
	*membership.Status
	hash      uint64
	invWeight float64
}

// Directory is an immutable snapshot of the caller blocks, members and rules
// that lookups use.
type Directory struct {
	table   *Table
	view    *membership.View
	set     *rules.Set
	regions map[model.Region]*regionEntries
	// suspects are the instances in StateSuspect. They come after the alive
	// ones in an answer, and only if these do not fill it.
	suspects []candidate
	// regionOrders maps a caller's region to all regions in the order in which
	// they are tried, the caller's own region first.
	regionOrders map[model.Region][]model.Region
}

// regionEntries holds the alive instances of a region that callers may use.
type regionEntries struct {
	candidates []candidate
	// domainCount is the number of failure domains of the candidates.
	domainCount int
}

// NewDirectory builds a directory. The table must be built from the same rules.
func NewDirectory(table *Table, view *membership.View, set *rules.Set, distances Distances) *Directory {
	d := &Directory{
		table:        table,
		view:         view,
		set:          set,
		regions:      map[model.Region]*regionEntries{},
		regionOrders: map[model.Region][]model.Region{},
	}
	for _, m := range view.Members {
		d.add(m)
	}
	for _, r := range d.regions {
		r.countDomains()
	}
	d.orderRegions(distances)
	return d
}

func (d *Directory) add(m *membership.Status) {
	if exclusionReason(m, d.set) != "" {
		return
	}
	c := candidate{
		Status:    m,
		hash:      hashOf(m.ID),
		invWeight: invWeight(m.LoadClass),
	}
	if m.State == membership.StateSuspect {
		d.suspects = append(d.suspects, c)
		return
	}
	r := d.regions[m.Region]
	if r == nil {
		r = &regionEntries{}
		d.regions[m.Region] = r
	}
	r.candidates = append(r.candidates, c)
}

func hashOf(id model.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

func invWeight(loadClass uint8) float64 { return 1 / (1 - weightStep*float64(loadClass)) }

// exclusionReason returns why an instance must not be returned to callers, or ""
// if it may be.
func exclusionReason(m *membership.Status, set *rules.Set) string {
	switch {
	case m.State == membership.StateDead:
		return "dead"
	case m.State == membership.StateLeaving:
		return "leaving"
	case set.DrainInstances[m.ID]:
		return "drained by a rule for the instance"
	case set.DrainDomains[m.Domain]:
		return "drained by a rule for its failure domain"
	case !m.EntryAddr.IsValid():
		return "no address for callers known"
	}
	return ""
}

func (r *regionEntries) countDomains() {
	seen := map[model.Domain]bool{}
	for _, c := range r.candidates {
		seen[c.Domain] = true
	}
	r.domainCount = len(seen)
}

func (d *Directory) orderRegions(distances Distances) {
	known := map[model.Region]bool{d.view.Self.Region: true}
	for r := range d.set.Regions {
		known[r] = true
	}
	for r := range d.regions {
		known[r] = true
	}
	sorted := make([]model.Region, 0, len(known))
	for r := range known {
		sorted = append(sorted, r)
	}
	slices.Sort(sorted)
	for r := range known {
		d.regionOrders[r] = regionOrder(r, distances[r], sorted)
	}
}

func regionOrder(own model.Region, near, all []model.Region) []model.Region {
	order := []model.Region{own}
	for _, list := range [...][]model.Region{near, all} {
		for _, r := range list {
			if !slices.Contains(order, r) {
				order = append(order, r)
			}
		}
	}
	return order
}

// Answer is the ordered list of instances for a caller.
type Answer struct {
	// Region is the caller's region, or the region of this instance if no rule
	// covers the caller.
	Region model.Region
	// Block is the address block of the caller. All its addresses get the same
	// answer.
	Block netip.Prefix
	// HasRule reports whether a rule covers the caller.
	HasRule bool
	Entries []*membership.Status
}

// Lookup returns the instances that a caller should use, the preferred one first.
func (d *Directory) Lookup(addr netip.Addr) Answer {
	a := d.locate(addr)
	key := blockHash(a.Block)
	order, ok := d.regionOrders[a.Region]
	if !ok {
		order = append([]model.Region{a.Region}, d.regionOrders[d.view.Self.Region]...)
	}
	var top bestList
	a.Entries = make([]*membership.Status, 0, MaxEntries)
	own := 0
	for i, region := range order {
		room := MaxEntries - len(a.Entries)
		if i == 0 {
			room = maxOwnRegion
		}
		a.Entries = d.appendRegion(a.Entries, &top, region, key, room)
		if i == 0 {
			own = len(a.Entries)
		}
		if len(a.Entries) == MaxEntries {
			break
		}
	}
	if len(a.Entries) < MaxEntries && own == maxOwnRegion {
		a.Entries = d.appendMoreOwnRegion(a.Entries, &top, a.Region, key)
	}
	top.pick(d.suspects, key, MaxEntries-len(a.Entries))
	a.Entries = top.appendTo(a.Entries)
	return a
}

// appendMoreOwnRegion adds instances of the caller's region beyond maxOwnRegion
// until the list is full. It is used when the other regions have too few.
func (d *Directory) appendMoreOwnRegion(list []*membership.Status, top *bestList, region model.Region, key uint64) []*membership.Status {
	top.pick(d.regions[region].candidates, key, MaxEntries)
	for i := range top.n {
		s := top.items[i].c.Status
		if len(list) < MaxEntries && !slices.ContainsFunc(list, func(m *membership.Status) bool { return m.ID == s.ID }) {
			list = append(list, s)
		}
	}
	return list
}

func (d *Directory) locate(addr netip.Addr) Answer {
	addr = addr.Unmap().WithZone("")
	if m, ok := d.table.Lookup(addr); ok {
		return Answer{Region: m.Region, Block: m.Prefix, HasRule: true}
	}
	bits := blockBits6
	if addr.Is4() {
		bits = blockBits4
	}
	block, _ := addr.Prefix(bits)
	return Answer{Region: d.view.Self.Region, Block: block}
}

func blockHash(p netip.Prefix) uint64 {
	b := p.Addr().As16()
	var buf [17]byte
	copy(buf[:], b[:])
	buf[16] = byte(p.Bits())
	return xxhash.Sum64(buf[:])
}

// appendRegion adds up to n instances of a region. If all of them are in one
// failure domain although the region has several, the last one is replaced by
// the best instance of another domain.
func (d *Directory) appendRegion(list []*membership.Status, top *bestList, region model.Region, key uint64, n int) []*membership.Status {
	r := d.regions[region]
	if r == nil {
		return list
	}
	top.pick(r.candidates, key, n)
	if r.domainCount > 1 && n > 1 && top.sameDomain() {
		domain := top.items[0].c.Domain
		var other bestList
		other.pickExcept(r.candidates, key, 1, domain)
		top.items[top.n-1] = other.items[0]
	}
	return top.appendTo(list)
}

// scored is a candidate with its cost for a block. Lower costs are better.
type scored struct {
	cost float64
	c    *candidate
}

// bestList holds up to MaxEntries candidates in ascending order of cost.
type bestList struct {
	items [MaxEntries]scored
	n     int
}

func (b *bestList) pick(list []candidate, key uint64, n int) { b.pickExcept(list, key, n, "") }

// pickExcept replaces the content of b by the n best candidates of the list that
// are outside of the failure domain except, or by the n best of all if except is
// empty.
func (b *bestList) pickExcept(list []candidate, key uint64, n int, except model.Domain) {
	b.n = 0
	n = min(n, MaxEntries)
	if n <= 0 {
		return
	}
	for i := range list {
		c := &list[i]
		if except != "" && c.Domain == except {
			continue
		}
		if u := c.uniform(key); b.n < n || (1-u)*c.invWeight <= b.items[n-1].cost {
			b.insert(scored{c.costOf(u), c}, n)
		}
	}
}

// insert adds an item if it is among the n best.
func (b *bestList) insert(s scored, n int) {
	if b.n == n && !s.better(b.items[n-1]) {
		return
	}
	if b.n < n {
		b.n++
	}
	i := b.n - 1
	for ; i > 0 && s.better(b.items[i-1]); i-- {
		b.items[i] = b.items[i-1]
	}
	b.items[i] = s
}

func (s scored) better(other scored) bool {
	if s.cost != other.cost {
		return s.cost < other.cost
	}
	return s.c.ID < other.c.ID
}

func (b *bestList) sameDomain() bool {
	for i := 1; i < b.n; i++ {
		if b.items[i].c.Domain != b.items[0].c.Domain {
			return false
		}
	}
	return b.n > 1
}

func (b *bestList) appendTo(list []*membership.Status) []*membership.Status {
	for i := range b.n {
		list = append(list, b.items[i].c.Status)
	}
	return list
}

// uniform returns a pseudorandom number for an instance and a block, uniformly
// distributed over (0, 1).
func (c *candidate) uniform(key uint64) float64 {
	return (float64(mix(c.hash^key)>>11) + 0.5) / (1 << 53)
}

// costOf returns the cost of weighted rendezvous hashing, -ln(u)/weight. Each
// instance has the lowest cost for a share of blocks that is proportional to its
// weight, and changing one weight moves callers only to or from that instance.
// Since -ln(u) is at least 1-u, pickExcept rules out most candidates without a
// logarithm.
func (c *candidate) costOf(u float64) float64 { return -math.Log(u) * c.invWeight }

// mix is the finalizer of SplitMix64: each bit of x affects all bits of the
// result.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
