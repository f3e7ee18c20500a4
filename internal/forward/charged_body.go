package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/bound"
)

// ErrBodyRefused is returned by the body of a request behind BodyHandler if it does not
// fit into the budget. The rest of the body is not read.
const ErrBodyRefused = errBodyRefused

// chargedBodyCost is what a byte of a body takes in a handler that reads it whole into a
// buffer that grows.
const chargedBodyCost = 2

// BodyHandler charges the requests of a listener of the guard. Their bodies are charged
// as next reads them and until it returns.
func (g *Guard) BodyHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a := connOf(r.Context())
		if a == nil {
			next.ServeHTTP(w, r)
			return
		}
		c := a.beginRequest(r.Header)
		defer c.end()
		defer a.endRequest()
		if r.ContentLength == 0 {
			a.whole.Store(true)
		} else {
			c.body = bound.Large
			r.Body = &chargedBody{ReadCloser: r.Body, ctx: r.Context(), conn: a, charge: c}
		}
		next.ServeHTTP(w, r)
	})
}

// chargedBody charges a body in parts before they are read.
type chargedBody struct {
	io.ReadCloser
	ctx    context.Context
	conn   *guardedConn
	charge *requestCharge
	// left is what has been charged and not been read.
	left int
	err  error
}

// Read implements io.Reader.
func (b *chargedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.left == 0 {
		part := int64(bodyPart)
		if err := b.charge.add(b.ctx, chargedBodyCost*part, time.Now().Add(time.Duration(float64(bodyWait)/bodyWaitShare))); err != nil {
			b.err = errors.Trace(err)
			b.conn.guard.closed(b.conn, bound.BodyRefused)
			return 0, b.err
		}
		b.left = int(part)
		b.conn.enter(phaseBody)
	}
	n, err := b.ReadCloser.Read(p[:min(len(p), b.left)])
	b.left -= n
	if err != nil {
		b.err = err
		b.conn.resume()
		b.conn.whole.Store(errors.Is(err, io.EOF))
	}
	return n, err
}
