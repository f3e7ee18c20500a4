// Package lookup selects the entry instances that a caller should use.
package lookup

import (
	"cmp"
	"encoding/binary"
	"net/netip"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
)

// Table maps caller addresses to regions by longest prefix match. It is
// immutable; when the rules change, a new table is built.
//
// Nested blocks are flattened into disjoint address ranges, each with the
// longest prefix that covers it. A lookup is a binary search for the last range
// that starts at or below the address. An index on the leading address bits
// limits the search to a few ranges.
type Table struct {
	regions []model.Region
	blocks  int
	v4      ranges[uint32]
	v6      ranges[uint128]
}

// Match is the result of a lookup.
type Match struct {
	Region model.Region
	// Prefix is the longest matching prefix.
	Prefix netip.Prefix
}

// uint128 is an IPv6 address as a number.
type uint128 struct{ hi, lo uint64 }

func (a uint128) compare(b uint128) int {
	return cmp.Or(cmp.Compare(a.hi, b.hi), cmp.Compare(a.lo, b.lo))
}

// NewTable builds a table. If a prefix occurs more than once, the last block
// wins. Blocks with an invalid prefix are skipped.
func NewTable(blocks []rules.CallerBlock) *Table {
	t := &Table{blocks: len(blocks)}
	v4, v6 := t.splitByFamily(blocks)
	t.v4 = flatten(v4, addrFamily[uint32]{cmp.Compare[uint32], last4, next4})
	t.v6 = flatten(v6, addrFamily[uint128]{uint128.compare, last6, next6})
	t.v4.index(indexKey4)
	t.v6.index(indexKey6)
	return t
}

// splitByFamily assigns an ID to each region and separates the blocks by address
// family.
func (t *Table) splitByFamily(blocks []rules.CallerBlock) ([]blockEntry[uint32], []blockEntry[uint128]) {
	count4 := 0
	for i := range blocks {
		if unmapPrefix(blocks[i].Prefix).Addr().Is4() {
			count4++
		}
	}
	v4 := make([]blockEntry[uint32], 0, count4)
	v6 := make([]blockEntry[uint128], 0, len(blocks)-count4)
	ids := map[model.Region]uint16{}
	for i := range blocks {
		p := unmapPrefix(blocks[i].Prefix)
		region := t.regionID(ids, blocks[i].Region)
		switch {
		case !p.IsValid():
		case p.Addr().Is4():
			v4 = append(v4, blockEntry[uint32]{uint32FromAddr(p.Addr()), int32(i), region, uint8(p.Bits())})
		default:
			v6 = append(v6, blockEntry[uint128]{uint128FromAddr(p.Addr()), int32(i), region, uint8(p.Bits())})
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

// unmapPrefix masks a prefix and converts an IPv4-mapped IPv6 prefix to IPv4.
func unmapPrefix(p netip.Prefix) netip.Prefix {
	if p.Addr().Is4In6() && p.Bits() >= 96 {
		return netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-96).Masked()
	}
	return p.Masked()
}

// Lookup returns the longest prefix that contains the address and its region, or
// false if no block contains the address. It does not allocate.
func (t *Table) Lookup(addr netip.Addr) (Match, bool) {
	addr = addr.Unmap()
	var ref blockRef
	if addr.Is4() {
		ref = find4(&t.v4, uint32FromAddr(addr))
	} else {
		ref = find6(&t.v6, uint128FromAddr(addr))
	}
	if ref.bits == noBlock {
		return Match{}, false
	}
	prefix, _ := addr.Prefix(int(ref.bits))
	return Match{t.regions[ref.region], prefix}, true
}

// Len returns the number of blocks passed to NewTable.
func (t *Table) Len() int { return t.blocks }

// Bytes returns the size of the ranges and their index in memory.
func (t *Table) Bytes() int { return t.v4.bytes() + t.v6.bytes() }

func uint32FromAddr(a netip.Addr) uint32 {
	b := a.As4()
	return binary.BigEndian.Uint32(b[:])
}

func uint128FromAddr(a netip.Addr) uint128 {
	b := a.As16()
	return uint128{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}
