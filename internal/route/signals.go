package route

import (
	"sync"

	"jujubestile.example/jujubestile/internal/model"
)

// Signals holds the channels that tell of slots that became free. Its Signal
// method is the Freed function of the capacity.
type Signals struct {
	mu       sync.RWMutex
	channels map[model.Service]chan struct{}
}

// NewSignals returns signals without channels.
func NewSignals() *Signals {
	return &Signals{channels: make(map[model.Service]chan struct{})}
}

// Signal says that a slot of the service may have become free. It does not
// block.
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
