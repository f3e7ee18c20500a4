package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/ledger"
	"jujubestile.example/jujubestile/internal/model"
)

// OutcomeReport is the response to GET /v1/outcomes/KEY.
type OutcomeReport struct {
	Outcome model.Outcome `json:"outcome"`
	// Reason is the reason of an unknown outcome.
	Reason string `json:"reason,omitempty"`
	// Status, Header and Body are the endpoint's response. The body is encoded
	// in base64.
	Status int         `json:"status,omitempty"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// BodyGone means that the header and body are no longer available. Status is
	// still set.
	BodyGone bool `json:"body_gone,omitempty"`
	// KeyPrefix is the prefix of the caller's next key for this instance.
	KeyPrefix string `json:"key_prefix"`
}

// outcome handles GET /v1/outcomes/KEY. It closes a key that has not run, so that
// the outcome "not-run" is final.
func (h *Handler) outcome(w http.ResponseWriter, r *http.Request) {
	key, err := url.PathUnescape(chi.URLParam(r, "key"))
	if err == nil {
		err = ledger.CheckKey(key)
	}
	if err != nil {
		h.writeProblem(w, newProblem(http.StatusBadRequest, "invalid-key", "The key is malformed", model.OutcomeUnknown))
		return
	}
	timeout, err := timeoutOf(r.Header, lookupTimeout, h.cfg.MaxTimeout)
	if err != nil {
		h.writeProblem(w, newProblem(http.StatusBadRequest, "timeout", "Malformed request", model.OutcomeUnknown).withDetail(err.Error()))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	report := OutcomeReport{Outcome: model.OutcomeUnknown}
	res, err := h.cfg.Ledger.Lookup(ctx, key)
	var refusal *ledger.Refusal
	switch {
	case err == nil:
		report = OutcomeReport{Outcome: res.Outcome, Status: res.Status, Header: res.Header, Body: res.Body, BodyGone: res.BodyGone}
	case errors.As(err, &refusal):
		report.Outcome, report.Reason = refusal.Outcome, string(refusal.Reason)
	}
	report.KeyPrefix = h.cfg.Ledger.Prefix()
	writeJSON(w, report.Outcome, report)
}

// EntriesReport is the response to GET /v1/entries.
type EntriesReport struct {
	TTLMillis int64   `json:"ttl_ms"`
	Entries   []Entry `json:"entries"`
}

// entries handles GET /v1/entries?caller=ADDR. The parameter defaults to the
// remote address of the connection.
func (h *Handler) entries(w http.ResponseWriter, r *http.Request) {
	caller := remoteAddr(r)
	if s := r.URL.Query().Get("caller"); s != "" {
		addr, err := netip.ParseAddr(s)
		if err != nil {
			h.writeProblem(w, newProblem(http.StatusBadRequest, "caller", "Malformed caller address", model.OutcomeNotRun))
			return
		}
		caller = addr.Unmap()
	}
	ttl := h.cfg.EntriesTTL
	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(ttl.Seconds())))
	report := EntriesReport{TTLMillis: ttl.Milliseconds(), Entries: h.cfg.Directory.Entries(caller)}
	if report.Entries == nil {
		report.Entries = []Entry{}
	}
	writeJSON(w, model.OutcomeAnswered, report)
}

func writeJSON(w http.ResponseWriter, o model.Outcome, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(OutcomeHeader, string(o))
	_, _ = w.Write(body)
}
