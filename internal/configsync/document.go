// Package configsync keeps the rules document in force: it takes new documents
// from the store and from neighbours, never returns to an earlier one, and
// writes operators' edits.
//
// # Order of documents
//
// A compare-and-swap of the store orders edits. The store may be restored to
// an older copy, and then a second edit can get the revision of one that was
// accepted before. A fixed order of two such documents, for example by edit
// id, would make the accepted edit the loser half of the time. Therefore each
// document names its ancestors (Lineage), and no instance replaces a document
// by one that does not descend from it. An instance with a document that does
// not appear in the lineage of a newer one has found a fork.
//
// An edit is accepted when it was written to the store, more than half of the
// relays have it in force, and the store still has it. It is written only
// after at least half of the relays said which document they have, and they
// agree. A relay that finds a fork between the store and itself asks the
// others and issues the document of the majority again, with a higher
// revision, by a compare-and-swap. The lineage of the new document marks the
// other branch as overruled, so that holders of either branch take it. Two
// branches cannot both have a majority, so that an accepted edit is not the
// overruled one.
//
// What can still lose an accepted edit is a restore of the store that coincides
// with the loss of relays that had the edit in force (by a restart, lost
// contact, or a change of relays): before a relay has written the document
// back, or while an edit is in progress that began before the restore and may
// swap by a revision number that the store uses a second time.
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
	// Key is where the store keeps the document.
	Key = "rules"
	// MaxEditIDBytes and MaxAuthorBytes bound the fields of a document.
	MaxEditIDBytes = 64
	MaxAuthorBytes = 128
	// maxLineage is how many ancestors a document names. With their edit ids
	// they take at most 2.5 KB, within rules.EnvelopeBytes.
	maxLineage = 16
)

// ErrMalformed means that a document or message cannot be read.
const ErrMalformed = errors.ConstError("malformed rules document")

// Hash is the SHA-256 of a document.
type Hash [sha256.Size]byte

// shortHash identifies an ancestor. 64 bits suffice against accidental
// collisions among 16 documents.
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

// Ancestor is an earlier document.
type Ancestor struct {
	Revision uint64    `json:"r"`
	EditID   string    `json:"e"`
	Hash     shortHash `json:"h"`
	// Overruled means that the document does not contain the ancestor's edit:
	// it belongs to the branch of a fork that was given up.
	Overruled bool `json:"o,omitempty"`
}

// Head describes a document without its text.
type Head struct {
	Revision uint64    `json:"revision"`
	EditID   string    `json:"edit_id"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// Lineage lists up to maxLineage earlier documents, the oldest first.
	Lineage []Ancestor `json:"lineage,omitempty"`
	Hash    Hash       `json:"-"`
}

// Document is one state of the rules file.
type Document struct {
	Head
	Text string `json:"text"`
}

// Encode returns the document as the store keeps it.
func (d Document) Encode() ([]byte, error) {
	var b strings.Builder
	e := json.NewEncoder(&b)
	// Escaped HTML characters would take six bytes each.
	e.SetEscapeHTML(false)
	if err := e.Encode(d); err != nil {
		return nil, errors.Trace(err)
	}
	if b.Len() > store.MaxValueBytes {
		return nil, errors.Annotatef(store.ErrTooLarge, "rules document of %d bytes", b.Len())
	}
	return []byte(b.String()), nil
}

// Decode reads a document of the store and computes its hash. It does not
// check the rules in it.
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

// check tests everything but the rules.
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

// ValidEditID reports whether s has 1 to MaxEditIDBytes letters, digits, '-'
// and '_'.
func ValidEditID(s string) bool {
	other := func(r rune) bool {
		return r >= utf8.RuneSelf || !unicode.IsLetter(r) && !unicode.IsDigit(r) && r != '-' && r != '_'
	}
	return s != "" && len(s) <= MaxEditIDBytes && !strings.ContainsFunc(s, other)
}

// ValidAuthor reports whether s has 1 to MaxAuthorBytes bytes of printable
// text without quotes and backslashes.
func ValidAuthor(s string) bool {
	other := func(r rune) bool { return !unicode.IsPrint(r) || r == '"' || r == '\\' }
	return strings.TrimSpace(s) != "" && len(s) <= MaxAuthorBytes && utf8.ValidString(s) && !strings.ContainsFunc(s, other)
}

// hash covers all fields, each with its length.
func (d Document) hash() Hash {
	h := sha256.New()
	number(h, d.Revision)
	field(h, d.EditID)
	field(h, d.Author)
	number(h, uint64(d.Time.UnixNano()))
	for _, a := range d.Lineage {
		number(h, a.Revision)
		field(h, a.EditID)
		h.Write(a.Hash[:])
		if a.Overruled {
			field(h, "overruled")
		}
	}
	field(h, d.Text)
	return Hash(h.Sum(nil))
}

func number(h hash.Hash, n uint64) {
	h.Write(binary.BigEndian.AppendUint64(nil, n))
}

func field(h hash.Hash, s string) {
	number(h, uint64(len(s)))
	h.Write([]byte(s))
}

// relation says how a document relates to the one in force.
type relation int

const (
	older relation = iota
	same
	newer
	// forked means that the document does not descend from the one in force.
	forked
)

// relate compares h with the document in force. Without common ancestors in
// the lineage, which happens only after more than maxLineage edits or for a
// document written by hand, the higher revision counts as descending.
func (h Head) relate(inForce Head) relation {
	switch {
	case h.Hash == inForce.Hash:
		return same
	case inForce.Revision == 0:
		return newer
	case h.Revision < inForce.Revision:
		return older
	case h.Revision == inForce.Revision:
		return forked
	case h.names(inForce):
		return newer
	case h.beginsAfter(inForce.Revision):
		return newer
	}
	return forked
}

// beginsAfter reports whether the lineage cannot tell which document had the
// revision. A full lineage may have lost one of two documents of its first
// revision.
func (h Head) beginsAfter(revision uint64) bool {
	if len(h.Lineage) == 0 {
		return true
	}
	first := h.Lineage[0].Revision
	return first > revision || first == revision && len(h.Lineage) == maxLineage
}

func (h Head) names(other Head) bool {
	return slices.ContainsFunc(h.Lineage, func(a Ancestor) bool {
		return a.Revision == other.Revision && a.Hash == other.Hash.short()
	})
}

// builtOn reports whether h is the other document or contains its edits.
func (h Head) builtOn(other Head) bool {
	return h.Hash == other.Hash || slices.ContainsFunc(h.Lineage, func(a Ancestor) bool {
		return !a.Overruled && a.Revision == other.Revision && a.Hash == other.Hash.short()
	})
}

// fate says what became of an edit, as seen from a later document.
type fate int

const (
	fateUnknown fate = iota
	fateContained
	fateOverruled
)

// fateOf tells whether the document contains the edit id. fateUnknown means
// that it is not in the lineage.
func (h Head) fateOf(editID string) fate {
	if h.EditID == editID {
		return fateContained
	}
	out := fateUnknown
	for _, a := range h.Lineage {
		if a.EditID != editID {
			continue
		}
		if !a.Overruled {
			return fateContained
		}
		out = fateOverruled
	}
	return out
}

func (h Head) ancestor() Ancestor {
	return Ancestor{Revision: h.Revision, EditID: h.EditID, Hash: h.Hash.short()}
}

// descend returns the lineage of a direct successor of h.
func (h Head) descend() []Ancestor {
	if h.Revision == 0 {
		return nil
	}
	lineage := append(slices.Clone(h.Lineage), h.ancestor())
	return lineage[max(0, len(lineage)-maxLineage):]
}

// reissue returns d as the successor of both d and the head of another branch.
func (d Document) reissue(other Head) Document {
	lineage := d.descend()
	for _, a := range other.descend() {
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

// edit returns the successor of d with another text.
func (d Document) edit(r Request, now time.Time, floor uint64) Document {
	next := Document{Text: r.Text, Head: Head{
		Revision: max(d.Revision, floor) + 1,
		EditID:   r.EditID,
		Author:   r.Author,
		Time:     now.UTC().Truncate(time.Millisecond),
		Lineage:  d.descend(),
	}}
	next.Hash = next.hash()
	return next
}

// valid checks a document wholly and returns its rules.
func (d Document) valid() (*rules.Set, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	set, err := rules.Parse(d.Text)
	return set, errors.Annotatef(err, "rules revision %d", d.Revision)
}
