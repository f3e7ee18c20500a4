package lookup

import (
	"cmp"
	"slices"
)

// entry is a block during the build of a table.
type entry[A any] struct {
	first  A
	block  int32
	region uint16
	bits   uint8
}

// family has the arithmetic of one kind of address.
type family[A any] struct {
	compare func(a, b A) int
	// last returns the last address of a block.
	last func(first A, bits uint8) A
	// next returns the following address, or false at the end.
	next func(A) (A, bool)
}

func last4(first uint32, bits uint8) uint32 { return first | uint32(uint64(1)<<(32-bits)-1) }

func next4(a uint32) (uint32, bool) { return a + 1, a+1 != 0 }

func last6(first uint128, bits uint8) uint128 {
	if bits < 64 {
		return uint128{first.hi | ^uint64(0)>>bits, ^uint64(0)}
	}
	return uint128{first.hi, first.lo | ^uint64(0)>>(bits-64)}
}

func next6(a uint128) (uint128, bool) {
	a.lo++
	if a.lo == 0 {
		a.hi++
	}
	return a, a != uint128{}
}

// cut turns nested blocks into disjoint ranges. Blocks either contain each
// other or are disjoint, so that one pass with a stack of the open ones does.
func cut[A comparable](blocks []entry[A], f family[A]) ranges[A] {
	slices.SortFunc(blocks, func(a, b entry[A]) int {
		return cmp.Or(f.compare(a.first, b.first), cmp.Compare(a.bits, b.bits), cmp.Compare(a.block, b.block))
	})
	c := cutter[A]{family: f}
	c.starts = make([]A, 0, len(blocks)*3/2)
	c.owners = make([]owner, 0, len(blocks)*3/2)
	for _, b := range blocks {
		for len(c.open) > 0 && f.compare(c.innermostLast(), b.first) < 0 {
			c.close()
		}
		c.open = append(c.open, b)
		c.emit(b.first, owner{b.region, b.bits})
	}
	for len(c.open) > 0 {
		c.close()
	}
	return ranges[A]{starts: slices.Clone(c.starts), owners: slices.Clone(c.owners)}
}

type cutter[A comparable] struct {
	family family[A]
	open   []entry[A]
	starts []A
	owners []owner
}

func (c *cutter[A]) innermostLast() A {
	e := c.open[len(c.open)-1]
	return c.family.last(e.first, e.bits)
}

// emit starts a range. One that starts where the last one did replaces it.
func (c *cutter[A]) emit(start A, o owner) {
	n := len(c.starts)
	if n > 0 && c.starts[n-1] == start {
		c.owners[n-1] = o
		return
	}
	c.starts = append(c.starts, start)
	c.owners = append(c.owners, o)
}

// close ends the innermost open block; the range after it belongs to the
// block around it, or to none. If that block ends there as well, closing it
// replaces the range.
func (c *cutter[A]) close() {
	last := c.innermostLast()
	c.open = c.open[:len(c.open)-1]
	after, ok := c.family.next(last)
	if !ok {
		return
	}
	if len(c.open) == 0 {
		c.emit(after, owner{bits: noBlock})
		return
	}
	outer := c.open[len(c.open)-1]
	c.emit(after, owner{outer.region, outer.bits})
}
