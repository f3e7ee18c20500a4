package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"
)

// retryElsewhere is the Retry-After of an instance that is about to stop, for
// callers that ignore the list of other instances.
const retryElsewhere = time.Second

// Drain begins a graceful stop. For the grace time, in which callers learn of
// it, requests are served and their connections closed after the response.
// Then new work is refused as not run.
func (h *Handler) Drain(grace time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refuseAfter.IsZero() {
		h.refuseAfter = time.Now().Add(grace)
	}
}

// InFlight returns the number of requests in flight.
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

// count counts requests in flight and closes connections while draining.
func (h *Handler) count(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.begin() {
			w.Header().Set("Connection", "close")
		}
		defer h.end()
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) begin() (draining bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight++
	return !h.refuseAfter.IsZero()
}

func (h *Handler) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inFlight--
	if h.inFlight == 0 && h.idle != nil {
		close(h.idle)
		h.idle = nil
	}
}

// refusing reports whether the grace time is over.
func (h *Handler) refusing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.refuseAfter.IsZero() && !time.Now().Before(h.refuseAfter)
}

func (h *Handler) refuseDraining(w http.ResponseWriter, r *http.Request) {
	h.refuseElsewhere(w, r, newProblem(http.StatusServiceUnavailable, "draining", "This instance is about to stop", ""))
}

// refuseElsewhere refuses a request and names other instances.
func (h *Handler) refuseElsewhere(w http.ResponseWriter, r *http.Request, p *Problem) {
	p.after(retryElsewhere)
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
