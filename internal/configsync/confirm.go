package configsync

import (
	"context"
	"fmt"
)

// confirm gives the written document to the relays until more than half have
// it in force, none has another branch, and the store still has it: a relay
// that restarts after its answer has the document again only if the store
// does. If the document forked from another one, a relay issues one of the two
// again; the store then shows which was overruled. The base saves most of the
// transfer and may be zero.
func (e *Editor) confirm(ctx context.Context, r Request, base, doc Document) Result {
	for failures := 0; ; failures++ {
		detail := e.offer(ctx, base, doc)
		_, current, err := read(ctx, e.Store)
		fate := current.fateOf(r.EditID)
		switch {
		case err == nil && fate == fateOverruled:
			return *e.conflict(ctx, r, current)
		case err == nil && fate == fateContained && detail == "":
			e.keepHistory(ctx, doc)
			return Result{Outcome: Accepted, Head: doc.headOf(r)}
		case err == nil && fate == fateContained:
			base, doc = Document{}, current
		case detail == "":
			detail = fmt.Sprintf("more than half of the relays have revision %d, but the store does not confirm it", doc.Revision)
		}
		if e.wait(ctx, failures) != nil {
			return Result{Outcome: Unknown, Head: doc.Head, Detail: detail}
		}
	}
}

// offer puts the document in force at the relays. It returns what keeps the
// document from being accepted, or "". An instance that is no relay takes the
// document last, as it would not give up one that is overruled later.
func (e *Editor) offer(ctx context.Context, base, doc Document) string {
	if e.IsRelay() {
		if v, err := e.State.Apply(doc); err != nil || v == Rejected {
			return fmt.Sprintf("revision %d forked from the one in force at this instance", doc.Revision)
		}
	}
	answers, asked := e.Relays.Offer(ctx, base, doc)
	confirmed := 0
	for _, a := range answers {
		switch r := a.Head.relate(doc.Head); {
		case r == forked || r == newer && a.Head.fateOf(doc.EditID) == fateOverruled:
			return fmt.Sprintf("revision %d forked from the one in force at %s", doc.Revision, a.From)
		case r == same || r == newer:
			confirmed++
		}
	}
	if n, all := e.count(confirmed, asked); 2*n <= all {
		return fmt.Sprintf("revision %d is in the store, but only %d of %d relays confirm it", doc.Revision, n, all)
	}
	// The relays decide. A fork at this instance alone ends with the next
	// document.
	if _, err := e.State.Apply(doc); err != nil {
		return err.Error()
	}
	return ""
}

// headOf returns the head of the newest document that an edit made. Later
// edits may already be built on it.
func (h Head) headOf(r Request) Head {
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
