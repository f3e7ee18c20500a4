package configsync

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/rules"
	"jujubestile.example/jujubestile/internal/store"
)

// topicName is the name of the gossip topic.
const topicName = "rules"

// maxDeltas is how many deltas an instance keeps for neighbours that missed
// some. At 13,000 edits a day they cover the last two minutes.
const maxDeltas = 16

const (
	// digestBytes is the size of a digest: the revision, the hash and the
	// position.
	digestBytes = digestBytesWithoutPosition + 16
	// digestBytesWithoutPosition is the size of a digest of earlier versions.
	digestBytesWithoutPosition = 8 + len(Hash{})
)

var _ membership.Topic = (*State)(nil)

// documentDelta is the change from one document to the next.
type documentDelta struct {
	// From is the hash of the document that the delta applies to. It is not
	// sent, because the neighbour's digest selects the first delta.
	From Hash `json:"-"`
	// size is the approximate size of the edits in bytes.
	size   int
	Rev    uint64    `json:"r"`
	EditID string    `json:"e"`
	Author string    `json:"a"`
	Time   time.Time `json:"t"`
	// Lineage is set only if it differs from childLineage of the document before.
	Lineage []Ancestor `json:"l,omitempty"`
	Edits   []lineEdit `json:"d"`
}

// lineEdit is a rules.LineEdit with short JSON names.
type lineEdit struct {
	At     int      `json:"a,omitempty"`
	Remove int      `json:"r,omitempty"`
	Insert []string `json:"i,omitempty"`
}

// news is the message of the topic. It has either Doc, or Deltas and the hash and
// position of the resulting document. Without Deltas, only the position has
// changed. It is encoded as JSON, because gob repeats the type descriptions in
// every message.
type news struct {
	Deltas   []documentDelta `json:"s,omitempty"`
	Hash     []byte          `json:"h,omitempty"`
	Position Position        `json:"p,omitzero"`
	Doc      *Document       `json:"doc,omitempty"`
}

// newDocumentDelta returns the delta between two documents. It returns nil if
// there is no old document, the new text is not larger than the delta, or the
// revision does not grow, because receivers skip deltas up to their revision.
func newDocumentDelta(from, to Document) *documentDelta {
	if from.Revision == 0 || to.Revision <= from.Revision {
		return nil
	}
	delta := rules.NewDelta(from.Text, to.Text)
	if delta.Bytes() >= len(to.Text) && len(to.Text) > 0 {
		return nil
	}
	next := &documentDelta{
		From: from.Hash, size: delta.Bytes(),
		Rev: to.Revision, EditID: to.EditID, Author: to.Author, Time: to.Time,
	}
	if !slices.Equal(to.Lineage, from.childLineage()) {
		next.Lineage = to.Lineage
	}
	for _, e := range delta.Edits {
		next.Edits = append(next.Edits, lineEdit(e))
	}
	return next
}

// appendDelta appends next and drops the oldest deltas beyond maxDeltas or beyond
// the size of the text in total, which also limits memory. If next is nil, the
// list is emptied. The list is copied because News reads it without the lock.
func appendDelta(deltas []documentDelta, next *documentDelta, textBytes int) []documentDelta {
	if next == nil {
		return nil
	}
	deltas = append(slices.Clone(deltas), *next)
	deltas = deltas[max(0, len(deltas)-maxDeltas):]
	size := 0
	for i := len(deltas) - 1; i >= 0; i-- {
		if size += deltas[i].size; size > textBytes {
			return slices.Clone(deltas[i+1:])
		}
	}
	return deltas
}

// Name implements membership.Topic.
func (s *State) Name() string { return topicName }

// Digest implements membership.Topic. It returns the revision, the hash and the
// position of the document in force. The hash is zero if this instance requests
// the full text.
func (s *State) Digest() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.inForce.Head
	if s.needFullText {
		h.Hash = Hash{}
	}
	b := binary.BigEndian.AppendUint64(make([]byte, 0, digestBytes), h.Revision)
	b = append(b, h.Hash[:]...)
	b = binary.BigEndian.AppendUint64(b, uint64(h.Position.Era))
	return binary.BigEndian.AppendUint64(b, uint64(h.Position.Replaced))
}

// parseDigest returns the revision, hash and position in a digest.
func parseDigest(b []byte) (Head, bool) {
	if len(b) != digestBytes && len(b) != digestBytesWithoutPosition {
		return Head{}, false
	}
	h := Head{Revision: binary.BigEndian.Uint64(b), Hash: Hash(b[8:digestBytesWithoutPosition])}
	if p := b[digestBytesWithoutPosition:]; len(p) > 0 {
		h.Position.Era = model.Era(binary.BigEndian.Uint64(p))
		h.Position.Replaced = store.Revision(binary.BigEndian.Uint64(p[8:]))
	}
	return h, true
}

// News implements membership.Topic. It returns the deltas since the neighbour's
// document if they are available and smaller than the text, and the full
// document otherwise.
func (s *State) News(digest []byte) []byte {
	theirs, ok := parseDigest(digest)
	if !ok {
		return nil
	}
	s.mu.Lock()
	s.contacted = true
	doc, deltas := s.inForce, s.deltas
	if doc.forkedFrom(theirs) {
		s.recordFork(theirs.Revision, theirs.Hash)
	}
	s.mu.Unlock()
	switch {
	case !doc.ahead(theirs):
		return nil
	case doc.Hash == theirs.Hash:
		return news{Hash: doc.Hash[:], Position: doc.Position}.encode()
	}
	return encodeNews(doc, deltasSince(deltas, theirs.Hash))
}

// forkedFrom reports whether a digest shows another document of the same revision
// and neither is newer than the other.
func (h Head) forkedFrom(theirs Head) bool {
	sameRevision := theirs.Revision == h.Revision && h.Revision > 0
	ordered := h.Position.known() && theirs.Position.known()
	return sameRevision && !ordered && theirs.Hash != h.Hash && theirs.Hash != Hash{}
}

// deltasSince returns the delta that applies to the document with the given hash
// and all later ones, or nil if there is none.
func deltasSince(deltas []documentDelta, h Hash) []documentDelta {
	i := slices.IndexFunc(deltas, func(x documentDelta) bool { return x.From == h })
	if i < 0 {
		return nil
	}
	return deltas[i:]
}

// encodeNews encodes the deltas, or the full document if there are none or they
// are larger than its text. It returns nil if the message is too large, which
// cannot happen within rules.MaxStoredBytes.
func encodeNews(doc Document, deltas []documentDelta) []byte {
	n := news{Doc: &doc}
	if len(deltas) > 0 {
		n = news{Deltas: deltas, Hash: doc.Hash[:], Position: doc.Position}
	}
	b := n.encode()
	if n.Doc == nil && len(b) > len(doc.Text) {
		return encodeNews(doc, nil)
	}
	return b
}

// encode returns nil if the message is too large.
func (n news) encode() []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(n); err != nil || b.Len() > membership.MaxNewsBytes {
		return nil
	}
	return bytes.TrimSpace(b.Bytes())
}

// Merge implements membership.Topic.
func (s *State) Merge(message []byte) (changed bool, err error) {
	s.mu.Lock()
	s.contacted = true
	s.mu.Unlock()
	v, offered, err := s.merge(message)
	if errors.Is(err, rules.ErrDeltaMismatch) {
		s.requestFullText(offered)
	}
	return v == Applied, errors.Trace(err)
}

// merge applies the document of a news message. It also returns the revision, hash
// and position of that document.
func (s *State) merge(message []byte) (v ApplyResult, offered Head, err error) {
	if len(message) > membership.MaxNewsBytes {
		return Unchanged, offered, errors.Annotatef(ErrMalformed, "news of %d bytes", len(message))
	}
	var n news
	if err := json.Unmarshal(message, &n); err != nil {
		return Unchanged, offered, errors.Annotate(ErrMalformed, err.Error())
	}
	var doc Document
	if n.Doc != nil {
		doc = *n.Doc
		doc.Hash = doc.hash()
	} else if doc, err = n.apply(s.Document()); err != nil {
		return Unchanged, n.result(), errors.Trace(err)
	}
	v, err = s.Apply(doc)
	return v, doc.Head, errors.Trace(err)
}

// result returns the revision, hash and position of the document that the deltas
// lead to.
func (n news) result() Head {
	h := Head{Position: n.Position}
	if len(n.Hash) == len(Hash{}) {
		h.Hash = Hash(n.Hash)
	}
	if len(n.Deltas) > 0 {
		h.Revision = n.Deltas[len(n.Deltas)-1].Rev
	}
	return h
}

// requestFullText makes the next digest request the full text if the offered
// document is newer than the one in force.
func (s *State) requestFullText(offered Head) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.needFullText = s.needFullText || offered.ahead(s.inForce.Head)
}

// apply applies the deltas to doc and returns the resulting document. Deltas up
// to the revision of doc are skipped.
func (n news) apply(doc Document) (Document, error) {
	empty := len(n.Deltas) == 0 && !n.Position.known()
	if empty || len(n.Deltas) > maxDeltas || len(n.Hash) != len(Hash{}) {
		return Document{}, errors.Annotate(ErrMalformed, "steps")
	}
	if !n.result().ahead(doc.Head) {
		return doc, nil
	}
	for _, d := range n.Deltas {
		if d.Rev <= doc.Revision {
			continue
		}
		next, err := d.apply(doc)
		if err != nil {
			return Document{}, err
		}
		doc = next
	}
	if doc.Hash != Hash(n.Hash) {
		return Document{}, errors.Annotatef(rules.ErrDeltaMismatch, "hash of revision %d", doc.Revision)
	}
	doc.Position = n.Position
	return doc, nil
}

func (d documentDelta) apply(from Document) (Document, error) {
	text, err := rules.ApplyEdits(from.Text, d.edits())
	if err != nil {
		return Document{}, errors.Trace(err)
	}
	next := Document{Text: text, Head: Head{Revision: d.Rev, EditID: d.EditID, Author: d.Author, Time: d.Time, Lineage: d.Lineage}}
	if next.Lineage == nil {
		next.Lineage = from.childLineage()
	}
	next.Hash = next.hash()
	return next, nil
}

func (d documentDelta) edits() []rules.LineEdit {
	out := make([]rules.LineEdit, 0, len(d.Edits))
	for _, e := range d.Edits {
		out = append(out, rules.LineEdit(e))
	}
	return out
}
