// Package lookup answers callers that ask which entry instances to use.
package lookup

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"unsafe"

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
	regions  []model.Region
	prefixes []netip.Prefix
	v4       ranges[uint32]
	v6       ranges[uint128]
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

// entry is a block during the build; first and last are its addresses.
type entry[A any] struct {
	first, last A
	bits        int
	block       int32
}

// NewTable builds a table. Of equal prefixes the last one wins.
func NewTable(blocks []rules.CallerBlock) *Table {
	t := &Table{}
	ids := map[model.Region]uint16{}
	var v4 []entry[uint32]
	var v6 []entry[uint128]
	regionOf := make([]uint16, 0, len(blocks))
	t.prefixes = make([]netip.Prefix, 0, len(blocks))
	for i, b := range blocks {
		p := unmapped(b.Prefix)
		t.prefixes = append(t.prefixes, p)
		regionOf = append(regionOf, t.regionID(ids, b.Region))
		switch {
		case !p.IsValid():
		case p.Addr().Is4():
			first, last := bounds4(p)
			v4 = append(v4, entry[uint32]{first, last, p.Bits(), int32(i)})
		default:
			first, last := bounds6(p)
			v6 = append(v6, entry[uint128]{first, last, p.Bits(), int32(i)})
		}
	}
	t.v4 = cut(v4, cmp.Compare[uint32], func(a uint32) (uint32, bool) { return a + 1, a+1 != 0 })
	t.v6 = cut(v6, uint128.compare, next128)
	t.v4.index(func(a uint32) uint32 { return a >> (32 - indexBits) })
	t.v6.index(indexKey6)
	t.v4.setRegions(regionOf)
	t.v6.setRegions(regionOf)
	return t
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
	var block int32
	var region uint16
	if addr.Is4() {
		b := addr.As4()
		a := binary.BigEndian.Uint32(b[:])
		block, region = find4(&t.v4, a)
	} else {
		b := addr.As16()
		a := uint128{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
		block, region = find6(&t.v6, a)
	}
	if block < 0 {
		return Match{}, false
	}
	return Match{t.regions[region], t.prefixes[block]}, true
}

// Len returns the number of blocks.
func (t *Table) Len() int { return len(t.prefixes) }

// Bytes returns the memory that the table holds.
func (t *Table) Bytes() int {
	return len(t.prefixes)*int(unsafe.Sizeof(netip.Prefix{})) + t.v4.bytes() + t.v6.bytes()
}

func bounds4(p netip.Prefix) (first, last uint32) {
	b := p.Addr().As4()
	first = binary.BigEndian.Uint32(b[:])
	return first, first | uint32(uint64(1)<<(32-p.Bits())-1)
}

func bounds6(p netip.Prefix) (first, last uint128) {
	b := p.Addr().As16()
	first = uint128{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
	last = first
	if p.Bits() < 64 {
		last.hi |= ^uint64(0) >> p.Bits()
		last.lo = ^uint64(0)
	} else {
		last.lo |= ^uint64(0) >> (p.Bits() - 64)
	}
	return first, last
}

func next128(a uint128) (uint128, bool) {
	a.lo++
	if a.lo == 0 {
		a.hi++
	}
	return a, a != uint128{}
}

// cut turns nested blocks into disjoint ranges. Blocks either contain each
// other or are disjoint, so that one pass with a stack of the open ones does.
func cut[A comparable](blocks []entry[A], compare func(a, b A) int, next func(A) (A, bool)) ranges[A] {
	slices.SortFunc(blocks, func(a, b entry[A]) int {
		return cmp.Or(compare(a.first, b.first), cmp.Compare(a.bits, b.bits), cmp.Compare(a.block, b.block))
	})
	c := cutter[A]{next: next}
	c.out.starts = make([]A, 0, len(blocks)+len(blocks)/4+1)
	c.out.blocks = make([]int32, 0, len(blocks)+len(blocks)/4+1)
	for _, b := range blocks {
		for len(c.open) > 0 && compare(c.open[len(c.open)-1].last, b.first) < 0 {
			c.close()
		}
		c.open = append(c.open, b)
		c.emit(b.first, b.block)
	}
	for len(c.open) > 0 {
		c.close()
	}
	c.out.starts = slices.Clip(c.out.starts)
	c.out.blocks = slices.Clip(c.out.blocks)
	return c.out
}

type cutter[A comparable] struct {
	out  ranges[A]
	open []entry[A]
	next func(A) (A, bool)
}

// emit starts a range. One that starts where the last one did replaces it.
func (c *cutter[A]) emit(start A, block int32) {
	if n := len(c.out.starts); n > 0 && c.out.starts[n-1] == start {
		c.out.blocks[n-1] = block
		return
	}
	c.out.starts = append(c.out.starts, start)
	c.out.blocks = append(c.out.blocks, block)
}

// close ends the innermost open block; the range after it belongs to the
// block around it, or to none.
func (c *cutter[A]) close() {
	ended := c.open[len(c.open)-1]
	c.open = c.open[:len(c.open)-1]
	after, ok := c.next(ended.last)
	if !ok {
		return
	}
	if len(c.open) == 0 {
		c.emit(after, noBlock)
		return
	}
	if outer := c.open[len(c.open)-1]; outer.last != ended.last {
		c.emit(after, outer.block)
	}
}
