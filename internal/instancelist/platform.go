// Package instancelist reads the platform's list of live and leaving endpoints and
// entry instances. The list lags behind the actual state.
package instancelist

import (
	"context"

	"jujubestile.example/jujubestile/internal/model"
)

// Listing is the content of the platform's list at one time.
type Listing struct {
	Endpoints []model.Endpoint
	Entries   []model.EntryInstance
}

// Source reads the platform's list.
type Source interface {
	List(ctx context.Context) (Listing, error)
}
