package configsync

import (
	"context"
	"fmt"
)

// confirm offers the written document to the relays until more than half have
// it in force, none is on another branch, and the store still has it. The store
// is read again because a relay that restarts after its response recovers the
// document from there. If the document and another one form a fork, a relay
// reissues one of the two, and the store then shows which was overruled. Relays
// that have base in force are sent only a delta; base may be zero.
//
// If the store reports eras, it must still be in the state at, in which it had the
// document before the relays confirmed it. Otherwise a relay may have confirmed the
// document before a restore and lost it in a restart after it.
func (e *Editor) confirm(ctx context.Context, r Request, base, doc Document, at writtenAt) Result {
	for failures := 0; ; failures++ {
		detail := e.offer(ctx, base, doc)
		kv, current, err := read(ctx, e.Store)
		status := current.statusOf(r.EditID)
		switch {
		case err == nil && current.needsRecovery(kv, doc.Head):
			detail = "the store was restored and does not have the newest revision yet"
		case err == nil && status == editOverruled:
			return *e.conflict(ctx, r, current)
		case err == nil && status == editIncluded && detail == "" && (kv.Era == 0 || stateOf(kv) == at):
			e.recordHistory(ctx, doc)
			return Result{Outcome: Accepted, Head: doc.headOfEdit(r)}
		case err == nil && status == editIncluded:
			base, doc, at = Document{}, current, stateOf(kv)
		case detail == "":
			detail = fmt.Sprintf("more than half of the relays have revision %d, but the store does not confirm it", doc.Revision)
		}
		if e.wait(ctx, failures) != nil {
			return Result{Outcome: Unknown, Head: doc.Head, Detail: detail}
		}
	}
}

// offer puts the document in force at the relays. It returns the reason why the
// document cannot be accepted yet, or "". An instance that is not a relay
// applies the document last, because such an instance would keep a document that
// is overruled later.
func (e *Editor) offer(ctx context.Context, base, doc Document) string {
	if e.IsRelay() {
		if v, err := e.State.adopt(doc); err != nil || v == Rejected {
			return fmt.Sprintf("revision %d forked from the one in force at this instance", doc.Revision)
		}
	}
	heads, queried := e.Relays.Offer(ctx, base, doc)
	confirmed, total := 0, queried
	for _, a := range heads {
		if r := a.Head.relate(doc.Head); r == forked || r == newer && a.Head.statusOf(doc.EditID) == editOverruled {
			return fmt.Sprintf("revision %d forked from the one in force at %s", doc.Revision, a.From)
		}
		if a.Head.confirms(doc.Head) {
			confirmed++
		}
	}
	if e.IsRelay() {
		total++
		if e.State.Synced() && e.State.Head().confirms(doc.Head) {
			confirmed++
		}
	}
	if 2*confirmed <= total {
		return fmt.Sprintf("revision %d is in the store, but only %d of %d relays confirm it", doc.Revision, confirmed, total)
	}
	// The majority of the relays decides: Rejected is ignored here, because a
	// fork at this instance alone ends with a later document.
	if _, err := e.State.Apply(doc); err != nil {
		return err.Error()
	}
	return ""
}

// confirms reports whether h is the document doc or a later one that contains its
// edit. Documents without positions are ordered by lineage, so that a newer one
// contains it.
func (h Head) confirms(doc Head) bool {
	switch h.relate(doc) {
	case same:
		return true
	case newer:
		return !h.Position.known() || h.statusOf(doc.EditID) == editIncluded
	}
	return false
}

// headOfEdit returns the head of the newest document that the edit produced.
// h is that document or a descendant, whose lineage gives only the revision.
func (h Head) headOfEdit(r Request) Head {
	if h.EditID == r.EditID {
		return h
	}
	own := Head{EditID: r.EditID, Author: r.Author}
	for _, a := range h.Lineage {
		if a.EditID == r.EditID && !a.Overruled {
			own.Revision = a.Revision
		}
	}
	return own
}
