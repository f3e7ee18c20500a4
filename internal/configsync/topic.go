package configsync

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/rules"
)

// topicName identifies the topic in gossip.
const topicName = "rules"

// maxSteps is how many deltas an instance keeps for neighbours that missed
// some. At 13,000 edits a day they cover the last two minutes.
const maxSteps = 16

// digestBytes is the revision and the hash.
const digestBytes = 8 + len(Hash{})

var _ membership.Topic = (*State)(nil)

// step leads from one document to the next.
type step struct {
	// From is the hash of the document that the step applies to. It is not
	// sent: the digest of the neighbour names the first one.
	From Hash `json:"-"`
	// size is the approximate size of the edits.
	size   int
	Rev    uint64    `json:"r"`
	EditID string    `json:"e"`
	Author string    `json:"a"`
	Time   time.Time `json:"t"`
	// Lineage is present only where it is not the one of a direct successor.
	Lineage []Ancestor `json:"l,omitempty"`
	Edits   []lineEdit `json:"d"`
}

// lineEdit is a rules.LineEdit with short names for the wire.
type lineEdit struct {
	At     int      `json:"a,omitempty"`
	Remove int      `json:"r,omitempty"`
	Insert []string `json:"i,omitempty"`
}

// news is the message of the topic: either Steps or Doc. It is JSON, because
// gob repeats the description of the types in every message.
type news struct {
	Steps []step    `json:"s,omitempty"`
	Hash  []byte    `json:"h,omitempty"`
	Doc   *Document `json:"doc,omitempty"`
}

// newStep returns the step to a new document, or nil if the whole text is as
// small.
func newStep(from, to Document) *step {
	if from.Revision == 0 {
		return nil
	}
	delta := rules.NewDelta(from.Text, to.Text)
	if delta.Bytes() >= len(to.Text) && len(to.Text) > 0 {
		return nil
	}
	next := &step{
		From: from.Hash, size: delta.Bytes(),
		Rev: to.Revision, EditID: to.EditID, Author: to.Author, Time: to.Time,
	}
	if !slices.Equal(to.Lineage, from.descend()) {
		next.Lineage = to.Lineage
	}
	for _, e := range delta.Edits {
		next.Edits = append(next.Edits, lineEdit(e))
	}
	return next
}

// appendStep adds the next step and drops the oldest ones that are too many or
// together larger than the text, which also bounds memory. Without a next step
// the list starts anew. The list is copied, as News reads it without the lock.
func appendStep(steps []step, next *step, textBytes int) []step {
	if next == nil {
		return nil
	}
	steps = append(slices.Clone(steps), *next)
	steps = steps[max(0, len(steps)-maxSteps):]
	size := 0
	for i := len(steps) - 1; i >= 0; i-- {
		if size += steps[i].size; size > textBytes {
			return slices.Clone(steps[i+1:])
		}
	}
	return steps
}

// Name implements membership.Topic.
func (s *State) Name() string { return topicName }

// Digest implements membership.Topic: the revision and the hash of the
// document in force. The hash is zero if only the whole text is of use.
func (s *State) Digest() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := binary.BigEndian.AppendUint64(make([]byte, 0, digestBytes), s.inForce.Revision)
	if s.wantText {
		return append(b, make([]byte, len(Hash{}))...)
	}
	return append(b, s.inForce.Hash[:]...)
}

// News implements membership.Topic: the deltas since the neighbour's document
// if they are kept and smaller than the whole document, else that.
func (s *State) News(digest []byte) []byte {
	if len(digest) != digestBytes {
		return nil
	}
	revision := binary.BigEndian.Uint64(digest)
	hash := Hash(digest[8:])
	s.mu.Lock()
	s.heard = true
	doc, steps := s.inForce, s.steps
	if revision == doc.Revision && revision > 0 && hash != doc.Hash && hash != (Hash{}) {
		s.noteFork(revision, hash)
	}
	s.mu.Unlock()
	if revision >= doc.Revision {
		return nil
	}
	return encodeNews(doc, since(steps, hash))
}

// since returns the steps from the document with the hash, or nil.
func since(steps []step, h Hash) []step {
	i := slices.IndexFunc(steps, func(x step) bool { return x.From == h })
	if i < 0 {
		return nil
	}
	return steps[i:]
}

// encodeNews returns nil if the message is too large, which MaxStoredBytes of
// the rules rules out.
func encodeNews(doc Document, steps []step) []byte {
	n := news{Doc: &doc}
	if len(steps) > 0 {
		n = news{Steps: steps, Hash: doc.Hash[:]}
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	if err := e.Encode(n); err != nil || b.Len() > membership.MaxNewsBytes {
		return nil
	}
	if n.Doc == nil && b.Len() > len(doc.Text) {
		return encodeNews(doc, nil)
	}
	return bytes.TrimSpace(b.Bytes())
}

// Merge implements membership.Topic.
func (s *State) Merge(message []byte) (changed bool, err error) {
	s.mu.Lock()
	s.heard = true
	s.mu.Unlock()
	v, last, err := s.merge(message)
	if errors.Is(err, rules.ErrDeltaMismatch) {
		s.requestText(last)
	}
	return v == Applied, errors.Trace(err)
}

// merge puts the document of a message in force. It also returns the revision
// that the message leads to.
func (s *State) merge(message []byte) (v ApplyResult, revision uint64, err error) {
	if len(message) > membership.MaxNewsBytes {
		return Unchanged, 0, errors.Annotatef(ErrMalformed, "news of %d bytes", len(message))
	}
	var n news
	if err := json.Unmarshal(message, &n); err != nil {
		return Unchanged, 0, errors.Annotate(ErrMalformed, err.Error())
	}
	var doc Document
	if n.Doc != nil {
		doc = *n.Doc
		doc.Hash = doc.hash()
	} else if doc, err = n.apply(s.Document()); err != nil {
		return Unchanged, n.last(), errors.Trace(err)
	}
	v, err = s.Apply(doc)
	return v, doc.Revision, errors.Trace(err)
}

// last returns the revision that the steps lead to, or 0.
func (n news) last() uint64 {
	if len(n.Steps) == 0 {
		return 0
	}
	return n.Steps[len(n.Steps)-1].Rev
}

// requestText makes the next digest ask for the whole text, unless the news is
// merely late.
func (s *State) requestText(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wantText = s.wantText || revision > s.inForce.Revision
}

// apply returns the document that the steps lead to. Steps that the document
// already contains are skipped.
func (n news) apply(doc Document) (Document, error) {
	if len(n.Steps) == 0 || len(n.Steps) > maxSteps || len(n.Hash) != len(Hash{}) {
		return Document{}, errors.Annotate(ErrMalformed, "steps")
	}
	if n.last() <= doc.Revision {
		return doc, nil
	}
	for _, st := range n.Steps {
		if st.Rev <= doc.Revision {
			continue
		}
		next, err := st.apply(doc)
		if err != nil {
			return Document{}, err
		}
		doc = next
	}
	if doc.Hash != Hash(n.Hash) {
		return Document{}, errors.Annotatef(rules.ErrDeltaMismatch, "hash of revision %d", doc.Revision)
	}
	return doc, nil
}

func (st step) apply(from Document) (Document, error) {
	text, err := rules.ApplyEdits(from.Text, st.edits())
	if err != nil {
		return Document{}, errors.Trace(err)
	}
	next := Document{Text: text, Head: Head{Revision: st.Rev, EditID: st.EditID, Author: st.Author, Time: st.Time, Lineage: st.Lineage}}
	if next.Lineage == nil {
		next.Lineage = from.descend()
	}
	next.Hash = next.hash()
	return next, nil
}

func (st step) edits() []rules.LineEdit {
	out := make([]rules.LineEdit, 0, len(st.Edits))
	for _, e := range st.Edits {
		out = append(out, rules.LineEdit(e))
	}
	return out
}
