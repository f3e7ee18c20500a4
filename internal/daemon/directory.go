package daemon

import (
	"net/http"
	"net/netip"

	"jujubestile.example/jujubestile/internal/entry"
	"jujubestile.example/jujubestile/internal/lookup"
)

// pathEntries is the path at which callers look up entry instances.
const pathEntries = "/v1/entries"

// entryHandler returns the handler of the entry address: it serves lookups and
// the requests of callers.
func (d *Daemon) entryHandler() http.Handler {
	lookups := entry.WithoutBody(d.lookups)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == pathEntries && r.Method == http.MethodGet {
			lookups.ServeHTTP(w, r)
			return
		}
		d.entry.ServeHTTP(w, r)
	})
}

// directory implements entry.Directory.
type directory struct{ lookups *lookup.Service }

// Entries implements entry.Directory.
func (a directory) Entries(caller netip.Addr) []entry.Entry {
	var out []entry.Entry
	for _, s := range a.lookups.Directory().Lookup(caller).Entries {
		out = append(out, entry.Entry{ID: s.ID, Addr: s.EntryAddr, Region: s.Region, KeyPrefix: s.KeyPrefix})
	}
	return out
}
