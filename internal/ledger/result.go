package ledger

import (
	"net/http"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// maxResponseBytes bounds the body and header of one recorded response.
	// Confirmations of entries and payments are a few KB.
	maxResponseBytes = 64 << 10
	// maxCacheBytes bounds all recorded responses of the owner's records, and
	// again those of the witness's.
	maxCacheBytes = 8 << 20
	// resultOverheadBytes is the approximate cost of a Result besides its
	// body and header.
	resultOverheadBytes = 200
)

// Result is the recorded outcome of a key. It is immutable and never replaced
// by another outcome; only its body may be discarded.
type Result struct {
	Outcome model.Outcome
	// Status, Header and Body are the endpoint's response if the outcome is
	// answered.
	Status int
	Header http.Header
	Body   []byte
	// BodyGone means that the request ran with this status, and that the
	// response was too large to keep or has been discarded.
	BodyGone bool
}

// size includes the overhead of a record, so that many small responses are
// bounded as well.
func (r *Result) size() int {
	if r.Body == nil && r.Header == nil {
		return 0
	}
	n := resultOverheadBytes + len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

func (r *Result) withoutBody() *Result {
	return &Result{Outcome: r.Outcome, Status: r.Status, BodyGone: true}
}

// cache bounds the recorded responses. The oldest lose their bodies first.
type cache struct {
	max, bytes int
	queue      []**Result
}

// put stores r in place and discards the bodies of older results as needed.
func (c *cache) put(place **Result, r *Result) {
	size := r.size()
	if size > maxResponseBytes || size > c.max {
		*place = r.withoutBody()
		return
	}
	*place = r
	if size == 0 {
		return
	}
	c.bytes += size
	c.queue = append(c.queue, place)
	for c.bytes > c.max {
		oldest := c.queue[0]
		c.queue[0] = nil
		c.queue = c.queue[1:]
		c.bytes -= (*oldest).size()
		*oldest = (*oldest).withoutBody()
	}
}
