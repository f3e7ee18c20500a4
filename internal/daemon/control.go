package daemon

import (
	"context"
	"net/http"

	"github.com/go-chi/chi/v5"

	"jujubestile.example/jujubestile/internal/configsync"
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

// Edit writes an operator's edit of the rules.
func (d *Daemon) Edit(ctx context.Context, r configsync.Request) configsync.Result {
	return d.editor.Edit(ctx, r)
}
