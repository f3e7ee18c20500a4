package route

import (
	"sync"

	"jujubestile.example/jujubestile/internal/model"
)

// Signals wakes requests that wait for a slot, by a channel for each service.
// Its Signal method is used as capacity.Config.Freed.
type Signals struct {
	mu       sync.RWMutex
	channels map[model.Service]chan struct{}
}

// NewSignals returns Signals that no request waits for yet.
func NewSignals() *Signals {
	return &Signals{channels: make(map[model.Service]chan struct{})}
}

// Signal reports that a slot of the service may have become free. It does not
// block. Signals that have not been received yet are merged into one.
func (s *Signals) Signal(name model.Service) {
	s.mu.RLock()
	ch := s.channels[name]
	s.mu.RUnlock()
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (s *Signals) channel(name model.Service) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	ch := s.channels[name]
	if ch == nil {
		ch = make(chan struct{}, 1)
		s.channels[name] = ch
	}
	return ch
}
