package admission

import (
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/forward"
	"jujubestile.example/jujubestile/internal/model"
)

// Errors of a Router.
const (
	// ErrNoSlot means that no region has a free slot for the request.
	ErrNoSlot = errors.ConstError("no free slot in any region")
	// ErrShiftCapped means that slots are free only in regions to which the
	// cap on traffic shifts currently allows no more requests.
	ErrShiftCapped = errors.ConstError("cap on traffic shifts reached")
)

// Router chooses the region of a request and takes a slot there.
type Router interface {
	// Take takes a slot or returns ErrNoSlot or ErrShiftCapped. It does not
	// block.
	Take(now time.Time, n forward.AdmissionRequest) (forward.Slot, error)
	// Slots returns the number of slots, free and taken, that the instance may
	// currently use for the service in all regions.
	Slots(now time.Time, s model.Service) int
	// Freed returns a channel that receives a value after a slot of the
	// service may have become free. One value may stand for several slots.
	Freed(s model.Service) <-chan struct{}
}
