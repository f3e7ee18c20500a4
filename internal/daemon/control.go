package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"jujubestile.example/jujubestile/internal/capacity"
	"jujubestile.example/jujubestile/internal/configsync"
	"jujubestile.example/jujubestile/internal/control"
	"jujubestile.example/jujubestile/internal/lookup"
	"jujubestile.example/jujubestile/internal/membership"
	"jujubestile.example/jujubestile/internal/model"
	"jujubestile.example/jujubestile/internal/store"
)

// controlHandler returns the handler of the operators' API.
func (d *Daemon) controlHandler() http.Handler {
	return control.NewHandler(control.Dependencies{
		State:     d.rules,
		Editor:    d.editor,
		Archive:   archive{d},
		Fleet:     fleet{d},
		Lookup:    operatorLookup{d.lookups},
		Drainer:   drainer{d},
		Explainer: explainer{d},
		Ready:     d.readiness,
		Now:       time.Now,
	})
}

// Edit writes an operator's edit of the rules.
func (d *Daemon) Edit(ctx context.Context, r configsync.Request) configsync.Result {
	return d.editor.Edit(ctx, r)
}

// readiness reports whether the instance accepts requests and, if not, the
// reason.
func (d *Daemon) readiness() (bool, string) {
	switch {
	case !d.rules.Ready():
		return false, "no rules revision is in force; the store or a peer must give one"
	case !d.router.Ready():
		return false, "no peer has told where traffic shifts stand"
	case !d.capacity.Admitting(time.Now()):
		return false, "the platform's list or the store must confirm the instance"
	}
	return true, ""
}

// archive implements control.Archive.
type archive struct{ d *Daemon }

// Revision implements control.Archive.
func (a archive) Revision(ctx context.Context, revision uint64) (configsync.Document, error) {
	if doc := a.d.rules.Document(); doc.Revision == revision {
		return doc, nil
	}
	doc, err := configsync.HistoryEntry(ctx, a.d.store, revision)
	if errors.Is(err, store.ErrNotFound) {
		return doc, errors.NotFoundf("revision %d", revision)
	}
	return doc, err
}

// History implements control.Archive.
func (a archive) History(ctx context.Context, limit int) ([]configsync.Head, error) {
	return configsync.History(ctx, a.d.store, a.d.rules.Head().Revision, limit)
}

// fleet implements control.Fleet.
type fleet struct{ d *Daemon }

// Self implements control.Fleet.
func (f fleet) Self() model.InstanceID {
	return f.d.settings.Instance
}

// Members implements control.Fleet.
func (f fleet) Members(now time.Time) []control.Member {
	view := f.d.members.View()
	out := make([]control.Member, 0, len(view.Members))
	for _, s := range view.Members {
		m := control.Member{
			ID: s.ID, Region: s.Region, Domain: s.Domain, State: s.State.String(),
			Revision: s.RulesRevision, Draining: s.Leaving, ReportAge: now.Sub(view.CreatedAt).Seconds(),
		}
		if s.ID == f.d.settings.Instance {
			m.Revision = f.d.Revision()
		}
		out = append(out, m)
	}
	return out
}

// operatorLookup implements control.Lookup.
type operatorLookup struct{ lookups *lookup.Service }

// Entries implements control.Lookup.
func (o operatorLookup) Entries(_ time.Time, caller netip.Addr) ([]control.Entry, time.Duration) {
	var out []control.Entry
	d := o.lookups.Directory()
	reasons := make(map[model.InstanceID]string)
	for _, i := range d.Explain(caller).Instances {
		reasons[i.ID] = i.Reason
	}
	for _, s := range d.Lookup(caller).Entries {
		out = append(out, control.Entry{Instance: s.ID, Region: s.Region, Address: s.EntryAddr.String(), Reason: reasons[s.ID]})
	}
	return out, lookup.TTL
}

// drainer implements control.Drainer.
type drainer struct{ d *Daemon }

// SetDraining implements control.Drainer. A request for another instance is
// forwarded to the control address of that instance, so that draining works
// without the store.
func (a drainer) SetDraining(ctx context.Context, id model.InstanceID, draining bool, author string) error {
	if id != a.d.settings.Instance {
		return a.forward(ctx, id, draining, author)
	}
	if draining {
		a.d.Drain()
	} else {
		a.d.Undrain()
	}
	return nil
}

func (a drainer) forward(ctx context.Context, id model.InstanceID, draining bool, author string) error {
	s, ok := a.d.members.View().Get(id)
	if !ok || s.State == membership.StateDead {
		return errors.NotFoundf("live instance %q", id)
	}
	c, err := control.NewClient([]string{s.ControlAddr.String()})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = c.SetDraining(ctx, id, draining, author)
	return errors.Trace(err)
}

// explainer implements control.Explainer.
type explainer struct{ d *Daemon }

// explainHoldTime is the assumed time for which a request holds a slot. Explain
// counts the slots that are free to a critical request for that long.
const explainHoldTime = time.Second

// Regions implements control.Explainer.
func (e explainer) Regions(now time.Time, s model.Service) []control.RegionView {
	set := e.d.rules.Rules()
	if set == nil {
		return nil
	}
	var out []control.RegionView
	for r := range set.Regions {
		key := capacity.Key{Region: r, Service: s}
		out = append(out, control.RegionView{
			Region: r, Endpoints: e.d.table.Usable(s, r, now), Slots: e.d.capacity.Usable(now, key),
			Free: e.d.capacity.Free(now, key, model.PriorityCritical, now.Add(explainHoldTime)),
		})
	}
	return out
}
