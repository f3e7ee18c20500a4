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
func (e *Editor) confirm(ctx context.Context, r Request, base, doc Document) Result {
	for failures := 0; ; failures++ {
		detail := e.offer(ctx, base, doc)
		_, current, err := read(ctx, e.Store)
		status := current.statusOf(r.EditID)
		switch {
		case err == nil && status == editOverruled:
			return *e.conflict(ctx, r, current)
		case err == nil && status == editIncluded && detail == "":
			e.recordHistory(ctx, doc)
			return Result{Outcome: Accepted, Head: doc.headOfEdit(r)}
		case err == nil && status == editIncluded:
			base, doc = Document{}, current
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
		if v, err := e.State.Apply(doc); err != nil || v == Rejected {
			return fmt.Sprintf("revision %d forked from the one in force at this instance", doc.Revision)
		}
	}
	heads, queried := e.Relays.Offer(ctx, base, doc)
	confirmed := 0
	for _, a := range heads {
		switch r := a.Head.relate(doc.Head); {
		case r == forked || r == newer && a.Head.statusOf(doc.EditID) == editOverruled:
			return fmt.Sprintf("revision %d forked from the one in force at %s", doc.Revision, a.From)
		case r == same || r == newer:
			confirmed++
		}
	}
	if n, total := e.countSelf(confirmed, queried); 2*n <= total {
		return fmt.Sprintf("revision %d is in the store, but only %d of %d relays confirm it", doc.Revision, n, total)
	}
	// The majority of the relays decides: Rejected is ignored here, because a
	// fork at this instance alone ends with a later document.
	if _, err := e.State.Apply(doc); err != nil {
		return err.Error()
	}
	return ""
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
