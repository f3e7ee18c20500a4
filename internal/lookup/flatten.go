package lookup

import (
	"cmp"
	"slices"
)

// blockEntry is a block while a table is built.
type blockEntry[A any] struct {
	first  A
	block  int32 // index in the argument of NewTable
	region uint16
	bits   uint8 // prefix length
}

// addrFamily holds the address arithmetic of IPv4 or IPv6.
type addrFamily[A any] struct {
	compare func(a, b A) int
	// last returns the last address of the block with the given first address
	// and prefix length.
	last func(first A, bits uint8) A
	// next returns the following address, or false after the last address of
	// the family.
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

// flatten converts nested blocks to disjoint ranges. Two blocks are either
// nested or disjoint, so one pass over the sorted blocks with a stack of the
// open ones is enough.
func flatten[A comparable](blocks []blockEntry[A], f addrFamily[A]) ranges[A] {
	slices.SortFunc(blocks, func(a, b blockEntry[A]) int {
		return cmp.Or(f.compare(a.first, b.first), cmp.Compare(a.bits, b.bits), cmp.Compare(a.block, b.block))
	})
	fl := flattener[A]{family: f}
	fl.starts = make([]A, 0, len(blocks)*3/2)
	fl.refs = make([]blockRef, 0, len(blocks)*3/2)
	for _, b := range blocks {
		for len(fl.openBlocks) > 0 && f.compare(fl.innermostLast(), b.first) < 0 {
			fl.close()
		}
		fl.openBlocks = append(fl.openBlocks, b)
		fl.emit(b.first, blockRef{b.region, b.bits})
	}
	for len(fl.openBlocks) > 0 {
		fl.close()
	}
	return ranges[A]{starts: slices.Clone(fl.starts), refs: slices.Clone(fl.refs)}
}

type flattener[A comparable] struct {
	family     addrFamily[A]
	openBlocks []blockEntry[A]
	starts     []A
	refs       []blockRef
}

func (fl *flattener[A]) innermostLast() A {
	e := fl.openBlocks[len(fl.openBlocks)-1]
	return fl.family.last(e.first, e.bits)
}

// emit adds a range that starts at the given address. It replaces the last range
// if that one has the same start.
func (fl *flattener[A]) emit(start A, ref blockRef) {
	n := len(fl.starts)
	if n > 0 && fl.starts[n-1] == start {
		fl.refs[n-1] = ref
		return
	}
	fl.starts = append(fl.starts, start)
	fl.refs = append(fl.refs, ref)
}

// close closes the innermost open block. The range after it belongs to the
// enclosing block, or to no block. If the enclosing block ends at the same
// address, closing it replaces that range.
func (fl *flattener[A]) close() {
	last := fl.innermostLast()
	fl.openBlocks = fl.openBlocks[:len(fl.openBlocks)-1]
	after, ok := fl.family.next(last)
	if !ok {
		return
	}
	if len(fl.openBlocks) == 0 {
		fl.emit(after, blockRef{bits: noBlock})
		return
	}
	outer := fl.openBlocks[len(fl.openBlocks)-1]
	fl.emit(after, blockRef{outer.region, outer.bits})
}
