// Package peer carries calls between the instances of the system by net/rpc.
// It adds what net/rpc lacks: deadlines, bounds on message size, and
// reconnection.
package peer

import (
	"context"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// ErrUnreachable means that the call got no answer; the other instance may or
// may not have carried it out.
const ErrUnreachable = errors.ConstError("instance unreachable")

// Caller calls methods of other instances. Method names have the form
// "Service.Method" as in net/rpc. The context's deadline bounds the call.
type Caller interface {
	Call(ctx context.Context, to model.InstanceID, method string, args, reply any) error
}
