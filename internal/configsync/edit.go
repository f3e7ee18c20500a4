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

// maxEditAttempts limits how often an edit is prepared again because the store
// changed before the write.
const maxEditAttempts = 5

// Outcome is how an edit ended.
type Outcome string

// The outcomes of an edit.
const (
	// Accepted: the document is in the store and in force at more than half of
	// the relays.
	Accepted Outcome = "accepted"
	// Conflict: another operator's edit was saved first or overruled this one.
	// This edit is not in force.
	Conflict Outcome = "conflict"
	// Invalid: the request is not valid. Nothing was written.
	Invalid Outcome = "invalid"
	// Unavailable: the store or the relays cannot be reached, or a fork is
	// being resolved. Nothing was written.
	Unavailable Outcome = "unavailable"
	// Unknown: the edit may be in force or may come into force later.
	Unknown Outcome = "unknown"
)

// Request is an operator's edit.
type Request struct {
	// Text is the whole new text of the rules file.
	Text string
	// Author must satisfy ValidAuthor, and EditID ValidEditID.
	Author string
	// Base is the revision that the operator edited, or 0 if there was none.
	Base uint64
	// BaseEditID is the edit ID of that revision, or "" if it is not known. After
	// a restore of the store, a revision that was not accepted before is assigned
	// to another edit.
	BaseEditID string
	// EditID is chosen at random by the operator's client. Requests with the
	// same ID are attempts of the same edit.
	EditID string
}

// basedOn reports whether the edit is based on the document.
func (r Request) basedOn(h Head) bool {
	return r.Base == h.Revision && (r.BaseEditID == "" || r.BaseEditID == h.EditID)
}

// Result is the outcome of an edit with its details.
type Result struct {
	Outcome Outcome
	// Head describes the accepted document, or after a conflict the winning one.
	Head Head
	// Changes lists, after a conflict, the changes from the operator's base to
	// the winning text, or from the operator's text if the base is not in the
	// history.
	Changes []rules.Change
	// Detail explains every outcome except Accepted.
	Detail string
	// Faults lists the errors in an invalid text.
	Faults *rules.ErrorList
}

// Editor writes operators' edits at one instance.
type Editor struct {
	State  *State
	Store  store.Store
	Relays RelayClient
	// IsRelay reports whether this instance counts as one of the relays.
	IsRelay func() bool
	Now     func() time.Time
	Report  func(Event)

	// delay replaces the delay after a failure in tests.
	delay func(ctx context.Context, failures int) error
}

// wait delays a retry exponentially with full jitter.
func (e *Editor) wait(ctx context.Context, failures int) error {
	if e.delay != nil {
		return e.delay(ctx, failures)
	}
	limit := min(maxBackoff, minBackoff<<min(failures, 6))
	sleep(ctx, time.Millisecond+rand.N(limit))
	return ctx.Err()
}

// Edit validates the request, writes it to the store and has it confirmed by the
// relays. It returns at the context's deadline at the latest.
func (e *Editor) Edit(ctx context.Context, r Request) Result {
	if res, ok := checkRequest(r); !ok {
		return res
	}
	uncertain := false
	for range maxEditAttempts {
		base, failed := e.prepare(ctx, r)
		if failed != nil {
			return e.unknownIfUncertain(uncertain, *failed)
		}
		if base.outdated {
			continue
		}
		if base.existing != nil {
			return e.confirm(ctx, r, Document{}, *base.existing, writtenAt{})
		}
		doc := base.doc.edit(r, e.Now(), base.highestRevision)
		doc.Position = positionAfter(base.kv)
		w := e.write(ctx, base.kv.Revision, doc)
		uncertain = uncertain || w.uncertain
		switch {
		case w.failed != nil:
			return e.unknownIfUncertain(uncertain, *w.failed)
		case w.written:
			return e.confirm(ctx, r, base.doc, doc, w.at)
		}
	}
	return e.unknownIfUncertain(uncertain, Result{Outcome: Unavailable, Detail: "the store changed during each of several attempts; try again"})
}

// unknownIfUncertain changes an outcome that says that the edit is not in force to
// Unknown if an earlier write may have taken effect.
func (e *Editor) unknownIfUncertain(uncertain bool, r Result) Result {
	if uncertain {
		r.Outcome = Unknown
	}
	return r
}

// checkRequest reports whether a request is valid. If it is not, the Result says
// why.
func checkRequest(r Request) (Result, bool) {
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

// editBase is the state of the store and the relays that an edit starts from.
type editBase struct {
	// outdated means that the store has changed since it was read, so that the edit
	// must be prepared again.
	outdated bool
	// kv is the key-value pair of the rules document in the store.
	kv store.KeyValue
	// doc is the document in force at this instance, which is the newest one.
	doc Document
	// highestRevision is the highest revision found in the store or in force.
	highestRevision uint64
	// existing is the newest document if that already contains the edit.
	existing *Document
}

// prepare updates this instance to the newest document that the store or a relay
// has, and compares its revision with the operator's base. The store is read before
// the relays are queried: the write succeeds only if the store has not changed since
// then, so that it follows each document that was accepted before it.
func (e *Editor) prepare(ctx context.Context, r Request) (editBase, *Result) {
	kv, stored, err := read(ctx, e.Store)
	if err != nil && !errors.Is(err, ErrMalformed) {
		return editBase{}, unavailable("the store does not answer: %v; try again later", err)
	}
	recovering := stored.needsRecovery(kv, e.State.Head())
	local, err := e.catchUp(ctx, recovering)
	if err != nil {
		return editBase{}, unavailable("%v; try again", err)
	}
	// After a restore, the edit itself brings the newest document of the relays back
	// to the store.
	if !recovering {
		written, failed := e.matchStore(ctx, kv, stored, local)
		if failed != nil || written == nil {
			return editBase{outdated: failed == nil}, failed
		}
		kv, local = *written, e.State.Document()
	}
	b := editBase{kv: kv, doc: local, highestRevision: max(local.Revision, stored.Revision)}
	if local.statusOf(r.EditID) == editIncluded {
		b.existing = &local
		return b, nil
	}
	if !r.basedOn(local.Head) {
		return b, e.conflict(ctx, r, local)
	}
	return b, nil
}

func unavailable(format string, args ...any) *Result {
	return &Result{Outcome: Unavailable, Detail: fmt.Sprintf(format, args...)}
}

// matchStore applies the stored document or writes the local one back, whichever is
// older, and returns what the store then has, or nil if it has changed since the read.
func (e *Editor) matchStore(ctx context.Context, kv store.KeyValue, stored, local Document) (*store.KeyValue, *Result) {
	if stored.needsRecovery(kv, local.Head) {
		return nil, unavailable("the store was restored and does not have revision %d yet; try again", local.Revision)
	}
	switch stored.relate(local.Head) {
	case newer:
		if v, err := e.State.Apply(stored); err == nil && v == Rejected {
			return nil, unavailable("two documents of revision %d are being reconciled; try again", stored.Revision)
		}
	case forked:
		return nil, unavailable("two documents of revision %d are being reconciled; try again", stored.Revision)
	case older:
		// A malformed value counts as older: here the document in force replaces
		// it.
		written, err := e.writeBack(ctx, kv, local)
		if err != nil {
			return nil, unavailable("the store is behind and cannot be written: %v; try again", err)
		}
		return written, nil
	}
	return &kv, nil
}

// writeBack writes the document in force to a store that has an older one. It returns
// nil if the store has changed since it was read. Then it may have the newer document
// already.
func (e *Editor) writeBack(ctx context.Context, kv store.KeyValue, local Document) (*store.KeyValue, error) {
	local.Position = positionAfter(kv)
	value, err := local.Encode()
	if err != nil {
		return nil, errors.Trace(err)
	}
	res, err := e.Store.CompareAndSwap(ctx, Key, kv.Revision, value, 0)
	if err != nil || !res.Swapped || res.Current.Era != kv.Era {
		return nil, errors.Trace(err)
	}
	e.Report(Event{Kind: EventStoreBehind, InForce: local.Head})
	return &res.Current, nil
}

// catchUp returns the newest document that this instance or a relay has, and puts it
// in force unless the store is recovering from a restore. It fails unless all
// documents are on one branch and at least half of the relays respond, or more than
// half if the store is recovering.
func (e *Editor) catchUp(ctx context.Context, recovering bool) (Document, error) {
	heads, err := e.queryRelays(ctx, recovering)
	if err != nil {
		return Document{}, err
	}
	doc, err := newestOf(ctx, e.State.Document(), e.Relays, heads)
	if errors.Is(err, errForkUnresolved) {
		return doc, errors.Annotate(err, "two documents are being reconciled")
	}
	if err != nil || recovering {
		return doc, errors.Trace(err)
	}
	if v, err := e.State.Apply(doc); err != nil || v == Rejected {
		return doc, errors.Errorf("revision %d is not usable here", doc.Revision)
	}
	return e.State.Document(), nil
}

// maxRelayQueries limits how often the relays are queried because too few respond.
// Relays that have just started respond once they have read the rules.
const maxRelayQueries = 5

// queryRelays returns the heads of at least half of the relays, or of more than half
// if the store is recovering from a restore.
func (e *Editor) queryRelays(ctx context.Context, recovering bool) ([]RelayHead, error) {
	for failures := 0; ; failures++ {
		heads, queried := e.Relays.Heads(ctx)
		n, total := e.countSelf(len(heads), queried)
		if total > 0 && 2*n >= total && (!recovering || 2*n > total) {
			return heads, nil
		}
		if failures+1 == maxRelayQueries || e.wait(ctx, failures) != nil {
			return nil, errors.Errorf("only %d of %d relays answer", n, total)
		}
	}
}

// countSelf takes the number of other relays that responded and that were
// queried, and adds this instance to them if it is a relay.
func (e *Editor) countSelf(responded, queried int) (int, int) {
	if !e.IsRelay() {
		return responded, queried
	}
	if e.State.Synced() {
		responded++
	}
	return responded, queried + 1
}

// conflict returns the result of an edit that another operator's edit preceded,
// with the changes since the base.
func (e *Editor) conflict(ctx context.Context, r Request, winner Document) *Result {
	res := &Result{Outcome: Conflict, Head: winner.Head}
	if r.Base > winner.Revision {
		res.Detail = fmt.Sprintf("the edit is based on revision %d, but the newest is %d", r.Base, winner.Revision)
		return res
	}
	if r.Base == winner.Revision {
		res.Detail = fmt.Sprintf("revision %d is edit %s, not edit %s, on which this edit is based", winner.Revision, winner.EditID, r.BaseEditID)
	} else {
		res.Detail = fmt.Sprintf("%s saved revision %d after revision %d, on which this edit is based",
			cmp.Or(winner.Author, "somebody"), winner.Revision, r.Base)
	}
	from := r.Text
	if base, err := HistoryEntry(ctx, e.Store, r.Base); err == nil && r.basedOn(base.Head) {
		from = base.Text
	}
	res.Changes = rules.Diff(from, winner.Text)
	return res
}

// writeResult is the result of writing an edit: written, failed, or neither if
// the store has changed and the edit must be prepared again.
type writeResult struct {
	written bool
	// at is the state of the store after the write.
	at     writtenAt
	failed *Result
	// uncertain means that a response was lost, so that the edit may have been
	// written.
	uncertain bool
}

// write writes the document with a compare-and-swap. After a lost response it
// repeats the same swap, which can succeed only once in an era. If the first attempt had
// succeeded, the next prepare finds the edit ID in the store.
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
		case err == nil && res.Swapped && res.Current.Era != doc.Position.Era:
			// The store was restored since it was read, so that the write may have
			// replaced another document.
			return writeResult{uncertain: true}
		case err == nil && res.Swapped:
			return writeResult{written: true, at: stateOf(res.Current)}
		case err == nil:
			return writeResult{uncertain: failures > 0}
		}
		if e.wait(ctx, failures) != nil {
			return writeResult{uncertain: true, failed: &Result{Outcome: Unknown, Detail: "the store did not confirm the write: " + err.Error()}}
		}
	}
}
