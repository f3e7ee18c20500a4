// Package lookup answers callers that ask which entry instances to use.
package lookup

import (
	"cmp"
	"encoding/binary"
	"net/netip"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

// Table maps caller addresses to regions by the longest matching prefix. It is
// immutable; a change of the rules builds a new one.
//
// Blocks are cut into disjoint ranges of addresses, each with the longest
// prefix that covers it, so that a lookup is a search for the last range that
// starts at or below the address. An index by the leading bits of the address
// narrows the search to a few ranges.
type Table struct {
	regions []model.Region
	blocks  int
	v4      ranges[uint32]
	v6      ranges[uint128]
}

// Match is the result of a lookup.
type Match struct {
	Region model.Region
	// Prefix is the longest matching block.
	Prefix netip.Prefix
}

// uint128 is an IPv6 address as a number.
type uint128 struct{ hi, lo uint64 }

func (a uint128) compare(b uint128) int {
	return cmp.Or(cmp.Compare(a.hi, b.hi), cmp.Compare(a.lo, b.lo))
}

// NewTable builds a table. Of equal prefixes the last one wins. Blocks with an
// invalid prefix are left out.
func NewTable(blocks []rules.CallerBlock) *Table {
	t := &Table{blocks: len(blocks)}
	v4, v6 := t.split(blocks)
	t.v4 = cut(v4, family[uint32]{cmp.Compare[uint32], last4, next4})
	t.v6 = cut(v6, family[uint128]{uint128.compare, last6, next6})
	t.v4.index(indexKey4)
	t.v6.index(indexKey6)
	return t
}

// split numbers the regions and sorts the blocks into the two families.
func (t *Table) split(blocks []rules.CallerBlock) ([]entry[uint32], []entry[uint128]) {
	count4 := 0
	for i := range blocks {
		if unmapped(blocks[i].Prefix).Addr().Is4() {
			count4++
		}
	}
	v4 := make([]entry[uint32], 0, count4)
	v6 := make([]entry[uint128], 0, len(blocks)-count4)
	ids := map[model.Region]uint16{}
	for i := range blocks {
		p := unmapped(blocks[i].Prefix)
		region := t.regionID(ids, blocks[i].Region)
		switch {
		case !p.IsValid():
		case p.Addr().Is4():
			v4 = append(v4, entry[uint32]{number4(p.Addr()), int32(i), region, uint8(p.Bits())})
		default:
			v6 = append(v6, entry[uint128]{number6(p.Addr()), int32(i), region, uint8(p.Bits())})
		}
	}
	return v4, v6
}

func (t *Table) regionID(ids map[model.Region]uint16, r model.Region) uint16 {
	id, ok := ids[r]
	if !ok {
		id = uint16(len(t.regions))
		ids[r] = id
		t.regions = append(t.regions, r)
	}
	return id
}

// unmapped turns a block of IPv4 addresses in IPv6 form into one of IPv4.
func unmapped(p netip.Prefix) netip.Prefix {
	if p.Addr().Is4In6() && p.Bits() >= 96 {
		return netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-96).Masked()
	}
	return p.Masked()
}

// Lookup returns the region of an address. It does not allocate.
func (t *Table) Lookup(addr netip.Addr) (Match, bool) {
	addr = addr.Unmap()
	var owner owner
	if addr.Is4() {
		owner = find4(&t.v4, number4(addr))
	} else {
		owner = find6(&t.v6, number6(addr))
	}
	if owner.bits == noBlock {
		return Match{}, false
	}
	prefix, _ := addr.Prefix(int(owner.bits))
	return Match{t.regions[owner.region], prefix}, true
}

// Len returns the number of blocks.
func (t *Table) Len() int { return t.blocks }

// Bytes returns the memory that the table holds.
func (t *Table) Bytes() int { return t.v4.bytes() + t.v6.bytes() }

func number4(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func number6(a netip.Addr) uint128 {
	b := a.As16()
	return uint128{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}
