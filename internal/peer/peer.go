// Package peer carries calls between the instances of the system by net/rpc.
// It adds what net/rpc lacks: deadlines, bounds on message size, and
// reconnection.
//
// Messages are gob streams inside frames of a 4-byte big-endian length and
// that many bytes, so that a message's size is checked before it is decoded.
// Both gob streams of a connection live as long as the connection, because gob
// sends the description of each type once per stream.
package peer

import (
	"context"
	"net/netip"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// Errors of a Caller. An error that the called method returned has the type
// rpc.ServerError instead.
const (
	// ErrUnreachable means that the call got no answer; the other instance may or
	// may not have carried it out.
	ErrUnreachable = errors.ConstError("instance unreachable")
	// ErrNotSent comes together with ErrUnreachable if no byte of the call
	// left this instance, so that the other one did not carry it out.
	ErrNotSent = errors.ConstError("call not sent")
	// ErrTooLarge means that a message exceeds MaxMessageBytes.
	ErrTooLarge = errors.ConstError("message too large")
)

// MaxMessageBytes bounds one message. It fits the largest news of gossip (the
// largest value of the store and 64 KB) and 64 KB for the rest of the message.
const MaxMessageBytes = 1<<20 + 128<<10

// Caller calls methods of other instances. Method names have the form
// "Service.Method" as in net/rpc. The context's deadline bounds the call.
type Caller interface {
	Call(ctx context.Context, to model.InstanceID, method string, args, reply any) error
}

// Resolver returns where an instance accepts calls.
type Resolver func(model.InstanceID) (netip.AddrPort, bool)

// ContextReceiver is implemented by arguments whose method wants the context
// of the call. It ends at the caller's deadline, when the connection closes or
// when the server closes, and it carries the caller's trace.
type ContextReceiver interface {
	SetCallContext(context.Context)
}

// callError is a call without an answer.
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
