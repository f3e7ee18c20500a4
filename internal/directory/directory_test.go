package directory

import (
	"net/netip"
	"testing"

	"jujubestile.example/jujubestile/internal/fleet"
	"jujubestile.example/jujubestile/internal/model"
)

func instance(ip string, region model.Region, domain model.Domain) fleet.Presence {
	return fleet.Presence{ID: model.InstanceID(ip), Region: region, Domain: domain, Ready: true,
		Entry: netip.AddrPortFrom(netip.MustParseAddr(ip), 80)}
}

func addresses(a Answer) string {
	out := ""
	for _, e := range a.Entries {
		out += e.Addr().String() + " "
	}
	return out
}

// Guards against answers that name instances which are leaving or not ready, that
// skip the caller's own region, or that are empty although an instance is ready.
func TestChoose(t *testing.T) {
	leaving := instance("10.0.0.3", "a", "a1")
	leaving.Leaving = true
	notReady := instance("10.0.0.4", "a", "a1")
	notReady.Ready = false
	all := []fleet.Presence{instance("10.0.0.1", "a", "a1"), instance("10.0.0.2", "a", "a2"), leaving, notReady,
		instance("10.1.0.1", "b", "b1"), instance("10.2.0.1", "c", "c1")}
	for _, c := range []struct {
		name    string
		query   Query
		allowed map[model.Region]bool
		want    string
	}{
		{"own region, own failure domain first", Query{Region: "a", Domain: "a2"}, nil, "10.0.0.2 10.0.0.1 "},
		{"own region although not an allowed one", Query{Region: "a", Domain: "a1"}, map[model.Region]bool{"b": true}, "10.0.0.1 10.0.0.2 "},
		{"no instance in the region: an allowed region", Query{Region: "d"}, map[model.Region]bool{"c": true}, "10.2.0.1 "},
		{"no instance in the region, all regions allowed: all", Query{Region: "d"}, nil, "10.0.0.1 10.0.0.2 10.1.0.1 10.2.0.1 "},
		{"no instance in the region or the allowed ones: all", Query{Region: "d"}, map[model.Region]bool{"e": true}, "10.0.0.1 10.0.0.2 10.1.0.1 10.2.0.1 "},
	} {
		if got := addresses(Choose(c.query, all, c.allowed)); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	if a := Choose(Query{Region: "a"}, nil, nil); len(a.Entries) != 0 {
		t.Errorf("answer without instances: %v", a)
	}
}
