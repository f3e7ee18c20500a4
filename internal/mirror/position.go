package mirror

import (
	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/model"
)

// Revision is the store's modification counter within an era.
type Revision int64

// Position is a point in the history of a store. The zero Position is before all
// others. A store that does not report its era stays in era 0.
type Position struct {
	Era      model.Era
	Revision Revision
}

// Before reports whether p is earlier than q. Eras take precedence, because the
// store gives revisions out again in a later one.
func (p Position) Before(q Position) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (p Position) MarshalZerologObject(e *zerolog.Event) {
	e.Uint64("era", uint64(p.Era)).Int64("revision", int64(p.Revision))
}
