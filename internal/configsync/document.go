// Package configsync distributes the rules document. It applies newer
// documents from the store and from gossip neighbours, never reverts to an
// older one, and writes operators' edits. The relays are the instances of each
// region that watch the store; all others receive documents by gossip.
//
// # Order of documents
//
// Edits are ordered by a compare-and-swap on one key of the store. After the
// store was restored from an older backup, a later edit can get the same
// revision as an edit that was accepted before. Choosing between two such
// documents by a fixed rule, for example by edit ID, would discard the accepted
// edit half of the time. Therefore each document lists its ancestors (Lineage),
// and an instance replaces its document only by a descendant. An instance whose
// document is missing from the lineage of a newer one has detected a fork.
//
// An edit is accepted when it was written to the store, more than half of the
// relays have it in force, and the store still has it. It is written only
// after at least half of the relays have reported their documents and these
// agree. A relay that detects a fork between the store and itself queries the
// other relays and reissues the document of the majority with a higher
// revision, by a compare-and-swap. The lineage of the new document marks the
// other branch as overruled, so that instances on either branch accept it. Two
// branches cannot both have a majority, so an accepted edit is not overruled.
//
// # Restores of the store
//
// A store that reports its era makes these rules stricter. Each document carries
// the era in which the store was read for its write and the store's revision that
// it replaced (Position). A document whose era is that of the read is certified: it
// was written after the last restore. Any other document in the store comes from a
// backup, or from a call that was sent before the restore and took effect after it,
// when the store used the expected revision for a second time. Then a relay queries
// the other relays, and writes the newest document of a majority to the store with
// a new position. Relays that have restarted and not synced since do not count, so
// that each accepted edit is known to one of the majority. The documents in force
// are ordered by position. An edit is accepted only if the store has not changed
// while the relays confirmed it.
//
// An accepted edit is lost if the store is restored to a backup without it and half
// or more of the relays restart before one of them has synced: no process has it any
// more. With a store that reports no eras, it can also be lost if one relay restarts
// before another has written the edit back, or by a swap that was sent before the
// restore. A change of relays has the effect of a restart.
package configsync

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"hash"
	"slices"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/store"
)

const (
	// Key is the key of the rules document in the store.
	Key = "rules"
	// MaxEditIDBytes and MaxAuthorBytes limit the fields of a document.
	MaxEditIDBytes = 64
	MaxAuthorBytes = 128
	// maxLineage is how many ancestors a document lists at most. With their
	// edit IDs they take up to 2.5 KB, which fits rules.EnvelopeBytes.
	maxLineage = 16
)

// ErrMalformed means that a document or message cannot be decoded or has
// invalid fields.
const ErrMalformed = errors.ConstError("malformed rules document")

// Hash is the SHA-256 of all fields of a document.
type Hash [sha256.Size]byte

// shortHash identifies an ancestor by the first 64 bits of its hash. That is
// enough to exclude accidental collisions among 16 documents.
type shortHash [8]byte

func (h shortHash) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(h[:])), nil
}

func (h *shortHash) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(h)) {
		return errors.Annotate(ErrMalformed, "ancestor's hash")
	}
	_, err := hex.Decode(h[:], b)
	return errors.Trace(err)
}

func (h Hash) short() shortHash { return shortHash(h[:8]) }

// Ancestor identifies an earlier document of a lineage.
type Ancestor struct {
	Revision uint64    `json:"r"`
	EditID   string    `json:"e"`
	Hash     shortHash `json:"h"`
	// Overruled means that the ancestor is on the losing branch of a fork, so
	// that the document does not contain its edit.
	Overruled bool `json:"o,omitempty"`
}

// Head is the metadata of a document: all but its text.
type Head struct {
	Revision uint64    `json:"revision"`
	EditID   string    `json:"edit_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// Lineage lists up to maxLineage ancestors, the oldest first.
	Lineage []Ancestor `json:"lineage,omitempty"`
	// Position is that of the latest write of the document. It is not part of
	// the hash, because a document is written again after a restore.
	Position Position `json:"position,omitzero"`
	Hash     Hash     `json:"-"`
}

// Document is one revision of the rules file.
type Document struct {
	Head
	Text string `json:"text"`
}

// Encode returns the JSON form in which the store keeps the document.
func (d Document) Encode() ([]byte, error) {
	var b strings.Builder
	e := json.NewEncoder(&b)
	// An escaped HTML character would take six bytes.
	e.SetEscapeHTML(false)
	if err := e.Encode(d); err != nil {
		return nil, errors.Trace(err)
	}
	if b.Len() > store.MaxValueBytes {
		return nil, errors.Annotatef(store.ErrTooLarge, "rules document of %d bytes", b.Len())
	}
	return []byte(b.String()), nil
}

// Decode reads a document from a value of the store and computes its hash. It
// does not check the rules in the text.
func Decode(value []byte) (Document, error) {
	var d Document
	if len(value) > store.MaxValueBytes {
		return d, errors.Annotatef(ErrMalformed, "%d bytes", len(value))
	}
	if err := json.Unmarshal(value, &d); err != nil {
		return Document{}, errors.Annotate(ErrMalformed, err.Error())
	}
	if err := d.check(); err != nil {
		return Document{}, err
	}
	d.Hash = d.hash()
	return d, nil
}

// check validates the fields of h.
func (h Head) check() error {
	switch {
	case h.Revision == 0:
		return errors.Annotate(ErrMalformed, "no revision")
	case !ValidEditID(h.EditID):
		return errors.Annotatef(ErrMalformed, "edit id %.80q", h.EditID)
	case !ValidAuthor(h.Author):
		return errors.Annotatef(ErrMalformed, "author %.160q", h.Author)
	case len(h.Lineage) > maxLineage:
		return errors.Annotatef(ErrMalformed, "%d ancestors", len(h.Lineage))
	}
	for _, a := range h.Lineage {
		if a.Revision >= h.Revision || !ValidEditID(a.EditID) {
			return errors.Annotatef(ErrMalformed, "ancestor of revision %d", a.Revision)
		}
	}
	return nil
}

// ValidEditID reports whether s consists of 1 to MaxEditIDBytes ASCII letters,
// digits, '-' and '_'.
func ValidEditID(s string) bool {
	disallowed := func(r rune) bool {
		return r >= utf8.RuneSelf || !unicode.IsLetter(r) && !unicode.IsDigit(r) && r != '-' && r != '_'
	}
	return s != "" && len(s) <= MaxEditIDBytes && !strings.ContainsFunc(s, disallowed)
}

// ValidAuthor reports whether s has 1 to MaxAuthorBytes bytes of printable
// UTF-8 without double quotes and backslashes, and is not blank.
func ValidAuthor(s string) bool {
	disallowed := func(r rune) bool { return !unicode.IsPrint(r) || r == '"' || r == '\\' }
	return strings.TrimSpace(s) != "" && len(s) <= MaxAuthorBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, disallowed)
}

// hash returns the SHA-256 of all fields. Strings are preceded by their
// lengths.
func (d Document) hash() Hash {
	h := sha256.New()
	hashNumber(h, d.Revision)
	hashString(h, d.EditID)
	hashString(h, d.Author)
	hashNumber(h, uint64(d.Time.UnixNano()))
	for _, a := range d.Lineage {
		hashNumber(h, a.Revision)
		hashString(h, a.EditID)
		h.Write(a.Hash[:])
		if a.Overruled {
			hashString(h, "overruled")
		}
	}
	hashString(h, d.Text)
	return Hash(h.Sum(nil))
}

func hashNumber(h hash.Hash, n uint64) {
	h.Write(binary.BigEndian.AppendUint64(nil, n))
}

func hashString(h hash.Hash, s string) {
	hashNumber(h, uint64(len(s)))
	h.Write([]byte(s))
}

// relation is how a document relates to the one in force.
type relation int

const (
	older relation = iota
	same
	newer
	// forked means that the document does not descend from the one in force.
	forked
)

// relate compares h with the document in force, by position if both have one and
// by lineage otherwise. If the lineage does not reach back to the revision in
// force, the document with the higher revision counts as a descendant. This
// happens only after more than maxLineage edits or for a document that was written
// by hand.
func (h Head) relate(inForce Head) relation {
	order := h.Position.compare(inForce.Position)
	switch {
	case order > 0 && (inForce.Position.known() || h.Hash == inForce.Hash):
		return newer
	case order < 0 && (h.Position.known() || h.Hash == inForce.Hash):
		return older
	case h.Hash == inForce.Hash:
		return same
	case inForce.Revision == 0:
		return newer
	case h.Revision < inForce.Revision:
		return older
	case h.Revision == inForce.Revision:
		return forked
	case h.hasAncestor(inForce):
		return newer
	case h.lineageStartsAfter(inForce.Revision):
		return newer
	}
	return forked
}

// lineageStartsAfter reports whether the lineage is too short to tell which
// document had the revision. The first revision of a full lineage counts as
// not covered, because another ancestor of that revision may have been cut off.
func (h Head) lineageStartsAfter(revision uint64) bool {
	if len(h.Lineage) == 0 {
		return true
	}
	first := h.Lineage[0].Revision
	return first > revision || first == revision && len(h.Lineage) == maxLineage
}

// hasAncestor reports whether the lineage of h lists the other document,
// overruled or not.
func (h Head) hasAncestor(other Head) bool {
	return slices.ContainsFunc(h.Lineage, func(a Ancestor) bool {
		return a.Revision == other.Revision && a.Hash == other.Hash.short()
	})
}

// includes reports whether h is the other document or descends from it without
// having overruled it.
func (h Head) includes(other Head) bool {
	return h.Hash == other.Hash || slices.ContainsFunc(h.Lineage, func(a Ancestor) bool {
		return !a.Overruled && a.Revision == other.Revision && a.Hash == other.Hash.short()
	})
}

// precededBy reports whether other is no document, h itself or an ancestor of h,
// overruled or not.
func (h Head) precededBy(other Head) bool {
	return other.Revision == 0 || h.Hash == other.Hash || h.hasAncestor(other) ||
		other.Revision < h.Revision && h.lineageStartsAfter(other.Revision)
}

// continues reports whether other is no document, h itself, or an ancestor of h that
// h has not overruled.
func (h Head) continues(other Head) bool {
	return h.precededBy(other) && (other.Revision == 0 || h.statusOf(other.EditID) != editOverruled)
}

// editStatus is what became of an edit according to a later document.
type editStatus int

const (
	editUnknown editStatus = iota
	editIncluded
	editOverruled
)

// statusOf reports whether the document contains the edit with the ID. The
// result is editUnknown if the lineage does not list the edit.
func (h Head) statusOf(editID string) editStatus {
	if h.EditID == editID {
		return editIncluded
	}
	status := editUnknown
	for _, a := range h.Lineage {
		if a.EditID != editID {
			continue
		}
		if !a.Overruled {
			return editIncluded
		}
		status = editOverruled
	}
	return status
}

func (h Head) ancestor() Ancestor {
	return Ancestor{Revision: h.Revision, EditID: h.EditID, Hash: h.Hash.short()}
}

// childLineage returns the lineage of a document that directly follows h.
func (h Head) childLineage() []Ancestor {
	if h.Revision == 0 {
		return nil
	}
	lineage := append(slices.Clone(h.Lineage), h.ancestor())
	return lineage[max(0, len(lineage)-maxLineage):]
}

// reissue returns a copy of d that descends from d and from the head of another
// branch, whose documents it marks as overruled.
func (d Document) reissue(other Head) Document {
	lineage := d.childLineage()
	for _, a := range other.childLineage() {
		known := func(b Ancestor) bool { return a.Revision == b.Revision && a.Hash == b.Hash }
		if !slices.ContainsFunc(lineage, known) {
			a.Overruled = true
			lineage = append(lineage, a)
		}
	}
	slices.SortStableFunc(lineage, func(a, b Ancestor) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	next := d
	next.Revision = max(d.Revision, other.Revision) + 1
	next.Lineage = lineage[max(0, len(lineage)-maxLineage):]
	next.Hash = next.hash()
	return next
}

// edit returns the document that follows d with the text of the request. Its
// revision is one above the larger of that of d and highest.
func (d Document) edit(r Request, now time.Time, highest uint64) Document {
	next := Document{Text: r.Text, Head: Head{
		Revision: max(d.Revision, highest) + 1,
		EditID:   r.EditID,
		Author:   r.Author,
		Time:     now.UTC().Truncate(time.Millisecond),
		Lineage:  d.childLineage(),
	}}
	next.Hash = next.hash()
	return next
}

// parseRules validates the document and returns the rules in its text.
func (d Document) parseRules() (*rules.Set, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	set, err := rules.Parse(d.Text)
	return set, errors.Annotatef(err, "rules revision %d", d.Revision)
}
