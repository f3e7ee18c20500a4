// Package peer implements calls between the instances of the system by net/rpc.
// It adds what net/rpc lacks: deadlines, limits on the size of messages, and
// reconnection.
//
// Each message is a frame: a length of 4 bytes in big-endian order, followed by
// that many bytes of a gob stream. The size of a message is thus checked before
// it is decoded. A connection has one gob stream in each direction, which lasts
// as long as the connection, because gob sends the description of each type
// once per stream.
package peer

import (
	"context"
	"net/netip"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// Errors of a Caller. An error that the called method has returned is an
// rpc.ServerError instead.
const (
	// ErrUnreachable means that the call got no response. The other instance
	// may or may not have executed it.
	ErrUnreachable = errors.ConstError("instance unreachable")
	// ErrNotSent is returned together with ErrUnreachable if no byte of the
	// call was sent, so that the other instance cannot have executed it.
	ErrNotSent = errors.ConstError("call not sent")
	// ErrTooLarge means that a message exceeds MaxMessageBytes.
	ErrTooLarge = errors.ConstError("message too large")
)

// MaxMessageBytes is the largest size of a message. It is enough for the largest
// gossip update (the largest value of the store plus 64 KB) and 64 KB for the
// rest of the message.
const MaxMessageBytes = 1<<20 + 128<<10

// Caller calls methods of other instances. Method names have the form
// "Service.Method" as in net/rpc. The call ends at the context's deadline.
type Caller interface {
	Call(ctx context.Context, to model.InstanceID, method string, args, reply any) error
}

// Resolver returns the address at which an instance accepts calls. It reports
// false if the instance is unknown.
type Resolver func(model.InstanceID) (netip.AddrPort, bool)

// ContextReceiver is implemented by the arguments of methods that need the
// context of the call. The context ends at the caller's deadline, or when the
// connection or the server is closed. It carries the caller's trace context.
type ContextReceiver interface {
	SetCallContext(context.Context)
}

// callError is the error of a call that got no response.
type callError struct {
	to     model.InstanceID
	method string
	cause  error
	sent   bool
}

func (e *callError) Error() string {
	return "calling " + e.method + " of " + string(e.to) + ": " + e.cause.Error()
}

func (e *callError) Unwrap() error { return e.cause }

func (e *callError) Is(target error) bool {
	return target == ErrUnreachable || (target == ErrNotSent && !e.sent)
}
