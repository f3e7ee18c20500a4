// Package daemon builds one entry instance from its settings, runs it and
// stops it gracefully.
package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/platform"
	"jujubestile.example/jujubestile/internal/settings"
	"jujubestile.example/jujubestile/internal/store/etcd"
)

const (
	// readHeaderTimeout bounds a slow sender of a request header.
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds a request header.
	maxHeaderBytes = 16 << 10
)

// Daemon is one entry instance.
type Daemon struct {
	settings settings.Settings
	log      events.Logger
	store    *etcd.Client
	list     *listPoller
	entry    *http.Server
}

// New builds an instance. It opens no connection yet.
func New(s settings.Settings, log events.Logger) *Daemon {
	d := &Daemon{
		settings: s,
		log:      log,
		store:    etcd.New(s.Store),
		list:     newListPoller(platform.NewClient(s.Platform.URL), time.Duration(s.Platform.Poll), log),
	}
	d.entry = newServer(newThinEntry(d.list))
	return d
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Run listens, serves until ctx is done and then stops gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	ln, err := listen(d.settings.Listen.Entry)
	if err != nil {
		d.log.Log(events.StartFailed).Err(err).Send()
		return err
	}
	go func() { _ = d.entry.Serve(ln) }()
	go d.list.run(ctx)
	d.log.Log(events.Started).Stringer("entry", d.settings.Listen.Entry).Send()
	<-ctx.Done()
	return d.stop()
}

func (d *Daemon) stop() error {
	d.log.Log(events.Leaving).Send()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Shutdown.Grace))
	defer cancel()
	err := d.entry.Shutdown(ctx)
	d.store.Close()
	d.log.Log(events.Stopped).Send()
	return errors.Trace(err)
}

func listen(a netip.AddrPort) (net.Listener, error) {
	ln, err := net.Listen("tcp", a.String())
	return ln, errors.Annotatef(err, "listening on %s", a)
}
