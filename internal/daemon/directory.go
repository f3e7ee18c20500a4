package daemon

import (
	"net/netip"

	"jujubestile.example/jujubestile/internal/entry"
)

// directory implements entry.Directory.
type directory struct{ d *Daemon }

// Entries implements entry.Directory.
func (a directory) Entries(netip.Addr) []entry.Entry {
	var out []entry.Entry
	for _, s := range a.d.alive() {
		out = append(out, entry.Entry{ID: s.ID, Addr: s.EntryAddr, Region: s.Region, KeyPrefix: s.KeyPrefix})
	}
	self := a.d.settings
	return append(out, entry.Entry{ID: self.Instance, Addr: self.Listen.Entry, Region: self.Region, KeyPrefix: a.d.ledger.Prefix()})
}
