package dispatch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// Errors of a Router.
const (
	// ErrNoSlot means that no region has a free slot for the request.
	ErrNoSlot = errors.ConstError("no free slot")
	// ErrShiftCapped means that slots are free only in regions to which the
	// cap on traffic shifts lets no more requests go now.
	ErrShiftCapped = errors.ConstError("traffic shift cap reached")
)

// Need describes the slot that a request needs.
type Need struct {
	Service  model.Service
	Priority model.Priority
	// Deadline is when the request ends at the latest. A slot is only given
	// if it may be held until then.
	Deadline time.Time
	// Bytes is the request's size on links between regions.
	Bytes int
	// Exclude lists regions that the request has already tried.
	Exclude []model.Region
}

// Slot is the right to have one request in flight in a region. Exactly one of
// its release methods is called, once.
type Slot interface {
	Region() model.Region
	// Release returns the slot at once.
	Release()
	// ReleaseAt returns the slot at t. It is for requests without an answer,
	// which may still run at the endpoint until their deadline.
	ReleaseAt(t time.Time)
}

// Router chooses the region of a request and takes a slot there.
type Router interface {
	// Take takes a slot or returns ErrNoSlot or ErrShiftCapped. It does not
	// wait.
	Take(now time.Time, n Need) (Slot, error)
	// Slots returns how many slots the instance may use for the service now,
	// over all regions, free or taken.
	Slots(now time.Time, s model.Service) int
	// Freed returns a channel that receives a value after a slot of the
	// service may have become free. One value may stand for several slots.
	Freed(s model.Service) <-chan struct{}
}

// Observation is what one attempt at an endpoint showed.
type Observation struct {
	Endpoint model.Endpoint
	// Latency is the time from sending to the end of the answer.
	Latency time.Duration
	// Err is nil for an answer, or one of the errors of a Transport.
	Err error
	// Status is the answer's HTTP status.
	Status int
	// Utilization is the load that the endpoint reported, from 0 to 1, or a
	// negative value without a report.
	Utilization float64
	// RetryAfter is what an endpoint that refused asked for, or 0.
	RetryAfter time.Duration
	// Censored means that the attempt was cancelled after Latency because
	// another attempt answered first. The answer would have taken longer.
	Censored bool
}

// Balancer chooses endpoints inside a region.
type Balancer interface {
	// Pick returns an endpoint for the service in the region, except those
	// excluded. It counts the request as outstanding until Observe or Cancel.
	Pick(now time.Time, s model.Service, r model.Region, exclude []model.EndpointID) (model.Endpoint, bool)
	// Observe ends an attempt and learns from it.
	Observe(now time.Time, o Observation)
	// Cancel ends an attempt without learning from it.
	Cancel(id model.EndpointID)
}

// Claim is the right to run a request that may not be repeated.
type Claim interface {
	// Intent records that the request is about to be sent. The request is
	// sent only if Intent returns nil.
	Intent(ctx context.Context) error
}
