package configsync

import (
	"cmp"

	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/store"
)

// Position locates the write of a document in the history of the store: the era,
// and the store's revision of the value that the write replaced. In one era, only
// one write replaces a given revision, so positions of documents that were written
// in their own era are unique. It is zero if the store reports no eras.
type Position struct {
	Era      model.Era      `json:"era"`
	Replaced store.Revision `json:"replaced"`
}

// positionAfter returns the position of a document that replaces kv.
func positionAfter(kv store.KeyValue) Position {
	if kv.Era == 0 {
		return Position{}
	}
	return Position{Era: kv.Era, Replaced: kv.Revision}
}

func (p Position) known() bool { return p.Era > 0 }

// compare orders positions by era and then by revision.
func (p Position) compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Replaced, q.Replaced))
}

// ahead reports whether h is newer than a document of which only revision, hash
// and position are known.
func (h Head) ahead(other Head) bool {
	if h.Position.known() && other.Position.known() || h.Hash == other.Hash {
		return h.Position.compare(other.Position) > 0
	}
	return h.Revision > other.Revision
}

// certified reports whether the document was written in the era in which it was
// read. Any other document may come from a backup, or from a write that was sent
// before a restore and took effect after it.
func (h Head) certified(kv store.KeyValue) bool {
	return kv.Era > 0 && h.Position.Era == kv.Era
}

// needsRecovery reports whether documents that the instances have in force may be
// missing from the store. A document without a position was written before the
// store reported eras, and is trusted until the instance has one with a position.
func (h Head) needsRecovery(kv store.KeyValue, local Head) bool {
	return kv.Era > 0 && !h.certified(kv) && (h.Position.known() || local.Position.known())
}

// writtenAt identifies one state of the rules key in the history of the store.
type writtenAt struct {
	era      model.Era
	revision store.Revision
}

func stateOf(kv store.KeyValue) writtenAt { return writtenAt{kv.Era, kv.Revision} }
