package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// otherInstanceRetryAfter is the Retry-After value of a refusal that lists other
// instances, for callers that ignore the list.
const otherInstanceRetryAfter = time.Second

// Drain starts a graceful stop. During the grace period requests are still
// served, and each connection is closed after its response, so that callers
// learn of the stop. After the grace period new requests are refused as not run.
func (h *Handler) Drain(grace time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refuseAfter.IsZero() {
		h.refuseAfter = time.Now().Add(grace)
	}
}

// InFlight returns the number of requests whose response is not yet written.
func (h *Handler) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.inFlight
}

// Wait waits until no request is in flight or the context ends.
func (h *Handler) Wait(ctx context.Context) error {
	for {
		h.mu.Lock()
		if h.inFlight == 0 {
			h.mu.Unlock()
			return nil
		}
		if h.idle == nil {
			h.idle = make(chan struct{})
		}
		idle := h.idle
		h.mu.Unlock()
		select {
		case <-idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// trackInFlight is middleware that counts the requests in flight and, while
// draining, closes connections.
func (h *Handler) trackInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.beginRequest() {
			w.Header().Set("Connection", "close")
		}
		defer h.endRequest()
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) beginRequest() (draining bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight++
	return !h.refuseAfter.IsZero()
}

func (h *Handler) endRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.inFlight == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
}

// graceOver reports whether the Handler is draining and the grace period has
// ended.
func (h *Handler) graceOver() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.refuseAfter.IsZero() && !time.Now().Before(h.refuseAfter)
}

func (h *Handler) refuseDraining(w http.ResponseWriter, r *http.Request) {
	h.refuseWithEntries(w, r, newProblem(http.StatusServiceUnavailable, "draining", "This instance is about to stop", ""))
}

// refuseWithEntries refuses a request and lists other instances in the response.
func (h *Handler) refuseWithEntries(w http.ResponseWriter, r *http.Request, p *Problem) {
	p.withRetryAfter(otherInstanceRetryAfter)
	p.Entries = h.cfg.Directory.Entries(remoteAddr(r))
	h.refuse(w, r, p)
}

// remoteAddr returns the caller's address, or the zero address.
func remoteAddr(r *http.Request) netip.Addr {
	ap, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}
