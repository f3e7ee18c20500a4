package daemon

import (
	"net/http"

	"github.com/go-chi/chi/v5"
)

func (d *Daemon) controlHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/ready", func(w http.ResponseWriter, _ *http.Request) {
		if !d.IsReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return r
}
