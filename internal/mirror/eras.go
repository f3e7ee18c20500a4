package mirror

import (
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

// eras translates the eras that a source reports if it reports an earlier one than
// that of the copy for good, because it no longer reports eras or has lost their
// count. Positions have to grow, since other instances compare them.
type eras struct {
	// reported is translated to used, unless the latter is 0.
	reported, used model.Era
	// earlier is the era of the last listings, if that is before the copy's. There
	// were listings of them, the first one at the time since.
	earlier  model.Era
	listings int
	since    time.Time
}

const (
	// minEarlierListings and minEarlierTime are the number of consecutive listings
	// of an earlier era, and the time that they have to span, after which they are
	// not taken for delayed responses.
	minEarlierListings = 3
	minEarlierTime     = time.Second
)

// translate returns a position with the era to use.
func (e eras) translate(p Position) Position {
	if e.used != 0 && p.Era == e.reported {
		p.Era = e.used
	}
	return p
}

// listed returns the position to use for a listing. It reports false if the listing
// is to be ignored because it is of an earlier era. started and copied are the
// positions of the copy before and after the listing.
func (e *eras) listed(at, started, copied Position, now time.Time) (Position, bool) {
	if out := e.translate(at); out.Era >= copied.Era {
		e.listings = 0
		return out, true
	}
	if e.listings == 0 || at.Era != e.earlier {
		e.earlier, e.listings, e.since = at.Era, 0, now
	}
	e.listings++
	if e.listings < minEarlierListings || now.Sub(e.since) < minEarlierTime || started.Era != copied.Era {
		return at, false
	}
	e.listings, e.reported, e.used = 0, at.Era, copied.Era
	if at.Revision < started.Revision {
		e.used++ // The store has lost changes, as in a restore.
	}
	return e.translate(at), true
}
