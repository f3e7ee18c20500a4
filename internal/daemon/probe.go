package daemon

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/model"
)

// probePath is what a probe asks for. Any answer below status 500 counts, so
// that endpoints without such a path pass.
const probePath = "/healthz"

// prober implements dispatch.Prober over HTTP, with a new connection each time.
type prober struct{ client *http.Client }

func newProber() prober {
	return prober{&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Probe implements dispatch.Prober.
func (p prober) Probe(ctx context.Context, e model.Endpoint) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Addr.String()+probePath, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusInternalServerError {
		return errors.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
