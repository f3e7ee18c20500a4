package desired

import (
	"crypto/rand"
	"crypto/sha256"
	"slices"

	"jujubestile.example/jujubestile/internal/model"
)

// Tenant is a customer whose callers identify themselves with API keys.
type Tenant struct {
	Name string
	// Keys has the hashes of the tenant's API keys.
	Keys []KeyHash
	// Priority replaces the rank of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate and Burst are the tenant's quota over all instances: requests per
	// second, and requests beyond that at once. A rate of 0 means no limit.
	Rate, Burst float64
	// AllowedRegions lists the regions in which the tenant's requests may run, in
	// addition to the restriction of the route. If it is empty, the tenant has no
	// restriction.
	AllowedRegions []model.Region
}

// Allows reports whether the tenant's requests may run in a region. A nil tenant has
// no restriction.
func (t *Tenant) Allows(region model.Region) bool {
	return t == nil || len(t.AllowedRegions) == 0 || slices.Contains(t.AllowedRegions, region)
}

// KeyHash is the hash of an API key. Hashes of different processes differ.
type KeyHash [sha256.Size]byte

// hashSecret keeps keys from being guessed from their hashes, for example in a memory
// dump, and lookups from telling by their duration how much of a key is right.
var hashSecret = newHashSecret()

func newHashSecret() []byte {
	b := make([]byte, sha256.Size)
	if _, err := rand.Read(b); err != nil {
		panic(err) // Documented to never happen.
	}
	return b
}

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash {
	var buf [2 * sha256.Size]byte
	return sha256.Sum256(append(append(buf[:0], hashSecret...), key...))
}

// SetTenants sets the tenants of a state that is not in use yet. Requests then need an
// API key, unless their route is public, even if there is no tenant. A key that several
// tenants have is that of the first one.
func (s *State) SetTenants(tenants []Tenant) {
	s.Tenants, s.KeysRequired = tenants, true
	s.keys = make(map[KeyHash]*Tenant, len(tenants))
	for i := range tenants {
		for _, k := range tenants[i].Keys {
			if s.keys[k] == nil {
				s.keys[k] = &tenants[i]
			}
		}
	}
}

// TenantOf returns the tenant with an API key, or nil. It takes the same time for any
// number of tenants.
func (s *State) TenantOf(key KeyHash) *Tenant { return s.keys[key] }
