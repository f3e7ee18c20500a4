package configsync

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/store"
)

// maxPrepare bounds how often an edit looks again at a store that changes
// under it.
const maxPrepare = 5

// Outcome is what became of an edit.
type Outcome string

// The outcomes of an edit.
const (
	// Accepted: the document is in the store and in force at more than half of
	// the relays.
	Accepted Outcome = "accepted"
	// Conflict: another operator's edit has taken the place of this one, which
	// is not in force.
	Conflict Outcome = "conflict"
	// Invalid: the request does not pass the check. Nothing was written.
	Invalid Outcome = "invalid"
	// Unavailable: the store or the relays cannot be reached, or a fork is
	// being resolved. Nothing was written.
	Unavailable Outcome = "unavailable"
	// Unknown: the edit may be in force or come into force.
	Unknown Outcome = "unknown"
)

// Request is an operator's edit.
type Request struct {
	Text   string
	Author string
	// Base is the revision that the operator edited, 0 for the first one.
	Base uint64
	// EditID is chosen by the operator's client, at random. A request with
	// the same id is the same edit.
	EditID string
}

// Result is the outcome of an edit.
type Result struct {
	Outcome Outcome
	// Head is the accepted document, or after a conflict the winning one.
	Head Head
	// Changes leads, after a conflict, from the operator's base to the
	// winning text, or from the operator's text if the base is not in the
	// history.
	Changes []rules.Change
	// Detail explains all outcomes but Accepted.
	Detail string
	// Faults holds the faults of an invalid text.
	Faults *rules.ErrorList
}

// Editor writes edits through one instance.
type Editor struct {
	State  *State
	Store  store.Store
	Relays RelayClient
	// IsRelay reports whether this instance counts as one of the relays.
	IsRelay func() bool
	Now     func() time.Time
	Report  func(Event)

	// pause replaces waiting in tests.
	pause func(ctx context.Context, failures int) error
}

func (e *Editor) wait(ctx context.Context, failures int) error {
	if e.pause != nil {
		return e.pause(ctx, failures)
	}
	limit := min(maxBackoff, minBackoff<<min(failures, 6))
	pause(ctx, time.Millisecond+rand.N(limit))
	return ctx.Err()
}

// Edit checks the request, writes it to the store and confirms it at the
// relays. The context's deadline bounds it.
func (e *Editor) Edit(ctx context.Context, r Request) Result {
	if res, ok := check(r); !ok {
		return res
	}
	uncertain := false
	for range maxPrepare {
		base, failed := e.prepare(ctx, r)
		if failed != nil {
			return e.unlessUncertain(uncertain, *failed)
		}
		if base.present != nil {
			return e.confirm(ctx, r, Document{}, *base.present)
		}
		doc := base.doc.edit(r, e.Now(), base.floor)
		w := e.write(ctx, base.kv.Revision, doc)
		uncertain = uncertain || w.uncertain
		switch {
		case w.failed != nil:
			return e.unlessUncertain(uncertain, *w.failed)
		case w.written:
			return e.confirm(ctx, r, base.doc, doc)
		}
	}
	return e.unlessUncertain(uncertain, Result{Outcome: Unavailable, Detail: "the store changed during each of several attempts; try again"})
}

// unlessUncertain turns an outcome that promises that the edit is not in
// force into Unknown if an earlier write may have taken effect.
func (e *Editor) unlessUncertain(uncertain bool, r Result) Result {
	if uncertain {
		r.Outcome = Unknown
	}
	return r
}

func check(r Request) (Result, bool) {
	fail := func(detail string) (Result, bool) { return Result{Outcome: Invalid, Detail: detail}, false }
	switch {
	case !ValidAuthor(r.Author):
		return fail(fmt.Sprintf("the author is 1 to %d bytes of printable text without quotes and backslashes", MaxAuthorBytes))
	case !ValidEditID(r.EditID):
		return fail(fmt.Sprintf("the edit id is 1 to %d letters, digits, '-' and '_'", MaxEditIDBytes))
	}
	_, err := rules.Parse(r.Text)
	var list *rules.ErrorList
	if errors.As(err, &list) {
		return Result{Outcome: Invalid, Detail: fmt.Sprintf("%d faults in the rules", len(list.Errors)), Faults: list}, false
	}
	return Result{}, true
}

// base is what an edit starts from.
type base struct {
	// kv is the store's key, with the document in it.
	kv  store.KeyValue
	doc Document
	// floor is the highest revision seen anywhere.
	floor uint64
	// present is set if the edit is already in the newest document.
	present *Document
}

// prepare brings this instance and the store up to the newest document that
// the store or a relay has, and compares it with the operator's base.
func (e *Editor) prepare(ctx context.Context, r Request) (base, *Result) {
	unavailable := func(format string, args ...any) (base, *Result) {
		return base{}, &Result{Outcome: Unavailable, Detail: fmt.Sprintf(format, args...)}
	}
	if err := e.catchUp(ctx); err != nil {
		return unavailable("%v; try again", err)
	}
	kv, stored, err := read(ctx, e.Store)
	if err != nil && !errors.Is(err, ErrMalformed) {
		return unavailable("the store does not answer: %v; try again later", err)
	}
	local := e.State.Document()
	switch stored.relate(local.Head) {
	case newer:
		if v, err := e.State.Apply(stored); err == nil && v == Rejected {
			return unavailable("two documents of revision %d are being reconciled; try again", stored.Revision)
		}
		local = e.State.Document()
	case forked:
		return unavailable("two documents of revision %d are being reconciled; try again", stored.Revision)
	case older:
		// A malformed value counts as older and is overwritten by the edit.
		if kv, err = e.restore(ctx, kv, local); err != nil {
			return unavailable("the store is behind and cannot be written: %v; try again", err)
		}
	}
	b := base{kv: kv, doc: local, floor: max(local.Revision, stored.Revision)}
	if local.fateOf(r.EditID) == fateContained {
		b.present = &local
		return b, nil
	}
	if r.Base != local.Revision {
		return b, e.conflict(ctx, r, local)
	}
	return b, nil
}

// restore writes the document in force to a store that is behind.
func (e *Editor) restore(ctx context.Context, kv store.KeyValue, local Document) (store.KeyValue, error) {
	value, err := local.Encode()
	if err != nil {
		return kv, errors.Trace(err)
	}
	res, err := e.Store.CompareAndSwap(ctx, Key, kv.Revision, value, 0)
	if err != nil {
		return kv, errors.Trace(err)
	}
	if !res.Swapped {
		return kv, errors.New("it changed meanwhile")
	}
	e.Report(Event{Kind: EventStoreBehind, InForce: local.Head})
	return res.Current, nil
}

// catchUp takes the newest document that a relay has. It fails unless at
// least half of the relays answer and all documents are of one branch.
func (e *Editor) catchUp(ctx context.Context) error {
	answers, asked := e.Relays.Heads(ctx)
	if n, all := e.count(len(answers), asked); all == 0 || 2*n < all {
		return errors.Errorf("only %d of %d relays answer", n, all)
	}
	for _, a := range answers {
		r := a.Head.relate(e.State.Head())
		if r == forked {
			return errors.Errorf("two documents of revision %d are being reconciled", a.Head.Revision)
		}
		if r != newer {
			continue
		}
		d, err := e.Relays.Fetch(ctx, a.From)
		if err != nil {
			return errors.Annotatef(err, "revision %d cannot be read from %s", a.Head.Revision, a.From)
		}
		if v, err := e.State.Apply(d); err != nil || v == Rejected {
			return errors.Errorf("revision %d of %s is not usable here", d.Revision, a.From)
		}
	}
	return nil
}

// count adds this instance to the relays if it is one.
func (e *Editor) count(n, asked int) (int, int) {
	if !e.IsRelay() {
		return n, asked
	}
	if e.State.Synced() {
		n++
	}
	return n, asked + 1
}

// conflict reports what another operator did since the base.
func (e *Editor) conflict(ctx context.Context, r Request, winner Document) *Result {
	res := &Result{Outcome: Conflict, Head: winner.Head}
	if r.Base > winner.Revision {
		res.Detail = fmt.Sprintf("the edit is based on revision %d, but the newest is %d", r.Base, winner.Revision)
		return res
	}
	from := r.Text
	if before, err := HistoryEntry(ctx, e.Store, r.Base); err == nil {
		from = before.Text
	}
	res.Changes = rules.Diff(from, winner.Text)
	res.Detail = fmt.Sprintf("%s saved revision %d after revision %d, on which this edit is based",
		cmp.Or(winner.Author, "somebody"), winner.Revision, r.Base)
	return res
}

// writeResult is the result of the compare-and-swap: written, a failure, or
// neither if the store has changed and the edit must look at it again.
type writeResult struct {
	written bool
	failed  *Result
	// uncertain means that a response was lost, so that the change of the
	// store may be this edit.
	uncertain bool
}

// write swaps the document in. After a lost response it repeats the same
// swap, which succeeds at most once. If the lost one did, the next prepare
// reads back the edit id.
func (e *Editor) write(ctx context.Context, expected store.Revision, doc Document) writeResult {
	value, err := doc.Encode()
	if err != nil {
		return writeResult{failed: &Result{Outcome: Invalid, Detail: err.Error()}}
	}
	for failures := 0; ; failures++ {
		res, err := e.Store.CompareAndSwap(ctx, Key, expected, value, 0)
		switch {
		case errors.Is(err, store.ErrTooLarge):
			return writeResult{failed: &Result{Outcome: Invalid, Detail: err.Error()}}
		case err == nil && res.Swapped:
			return writeResult{written: true}
		case err == nil:
			return writeResult{uncertain: failures > 0}
		}
		if e.wait(ctx, failures) != nil {
			return writeResult{uncertain: true, failed: &Result{Outcome: Unknown, Detail: "the store did not confirm the write: " + err.Error()}}
		}
	}
}
