package daemon

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"jujubestile.example/jujubestile/internal/model"
)

// newThinEntry serves the shortest whole path: lookups from the platform's
// list, and requests to a random endpoint of their service.
func newThinEntry(list *listPoller) http.Handler {
	t := thinEntry{list: list, client: &http.Client{Timeout: 2 * time.Second}}
	r := chi.NewRouter()
	r.Get("/v1/entries", t.entries)
	r.HandleFunc("/v1/services/{service}/*", t.forward)
	return r
}

type thinEntry struct {
	list   *listPoller
	client *http.Client
}

func (t thinEntry) entries(w http.ResponseWriter, _ *http.Request) {
	type item struct {
		ID   model.InstanceID `json:"id"`
		Addr string           `json:"addr"`
	}
	var out struct {
		Entries []item `json:"entries"`
	}
	for _, e := range t.list.listing().Entries {
		if !e.Leaving {
			out.Entries = append(out.Entries, item{e.ID, e.EntryAddr.String()})
		}
	}
	_ = json.NewEncoder(w).Encode(out)
}

func (t thinEntry) forward(w http.ResponseWriter, r *http.Request) {
	var found []model.Endpoint
	for _, e := range t.list.listing().Endpoints {
		if e.Service == model.Service(chi.URLParam(r, "service")) && !e.Leaving {
			found = append(found, e)
		}
	}
	if len(found) == 0 {
		http.Error(w, "no endpoint", http.StatusServiceUnavailable)
		return
	}
	body, _ := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<20))
	url := "http://" + found[rand.IntN(len(found))].Addr.String() + "/" + chi.URLParam(r, "*") + "?" + r.URL.RawQuery
	req, _ := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(body))
	req.Header = r.Header.Clone()
	resp, err := t.client.Do(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}
