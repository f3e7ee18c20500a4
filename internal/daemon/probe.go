package daemon

import (
	"context"
	"net/http"
	"time"

	"jujubestile.example/jujubestile/internal/model"
)

const (
	// probeEvery is how often ejected endpoints that are due are looked for.
	probeEvery = 200 * time.Millisecond
	// probeTimeout bounds a probe, which takes about 6 ms on a sound endpoint.
	probeTimeout = 500 * time.Millisecond
	// probePath is what a probe asks for. Any answer below status 500 counts,
	// so that endpoints without such a path pass.
	probePath = "/healthz"
)

// probe asks ejected endpoints whether they answer again.
func (d *Daemon) probe(ctx context.Context) {
	client := &http.Client{
		Timeout:   probeTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, e := range d.balancer.DueProbes(time.Now()) {
			d.loop(func() { d.balancer.Probed(time.Now(), e.ID, answers(ctx, client, e)) })
		}
	}
}

func answers(ctx context.Context, client *http.Client, e model.Endpoint) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Addr.String()+probePath, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusInternalServerError
}
