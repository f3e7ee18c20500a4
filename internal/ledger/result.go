package ledger

import (
	"net/http"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// maxResponseBytes limits the body and header of one recorded response.
	// Typical responses, confirmations of entries and payments, are a few KB.
	maxResponseBytes = 64 << 10
	// maxCacheBytes limits the recorded responses of a holderTable, and
	// separately those of a witnessTable.
	maxCacheBytes = 8 << 20
	// resultOverheadBytes is the approximate size of a Result without its body
	// and header.
	resultOverheadBytes = 200
)

// Result is the recorded outcome of a key. It is immutable. A record's Result is
// never replaced by another outcome, only by one without header and body.
type Result struct {
	Outcome model.Outcome
	// Status, Header and Body are the endpoint's response if the outcome is
	// "answered".
	Status int
	Header http.Header
	Body   []byte
	// BodyGone means that the response's header and body were too large to keep
	// or have been discarded. Status is kept.
	BodyGone bool
}

// size returns the memory used by the response. It includes an overhead, so that
// many small responses are limited too.
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

// responseCache limits the memory of the recorded responses. It discards the
// header and body of the oldest responses first.
type responseCache struct {
	max, bytes int
	queue      []**Result
}

// put stores r in *dst and discards older responses as needed.
func (c *responseCache) put(dst **Result, r *Result) {
	size := r.size()
	if size > maxResponseBytes || size > c.max {
		*dst = r.withoutBody()
		return
	}
	*dst = r
	if size == 0 {
		return
	}
	c.bytes += size
	c.queue = append(c.queue, dst)
	for c.bytes > c.max {
		oldest := c.queue[0]
		c.queue[0] = nil
		c.queue = c.queue[1:]
		c.bytes -= (*oldest).size()
		*oldest = (*oldest).withoutBody()
	}
}
