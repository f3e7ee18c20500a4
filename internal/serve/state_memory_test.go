package serve

import (
	"io"
	"runtime"
	"testing"

	"github.com/rs/zerolog"

	"jujubestile.example/jujubestile/internal/events"
	"jujubestile.example/jujubestile/internal/mirror"
)

const (
	// controlMemory is what control may take on an instance.
	controlMemory = 64 << 20
	// successiveStates is the number of changes that the log of changes of a copy holds.
	successiveStates = 512
	// largeStateRoutes makes a desired state of a quarter of the largest value of the
	// store.
	largeStateRoutes = 2800
)

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against the instance that watches the store keeping every desired state of a
// series, until it exceeds the memory of its machine.
func TestSuccessiveDesiredStatesTakeBoundedMemory(t *testing.T) {
	in := New(Settings{}, events.New(io.Discard, zerolog.Disabled, "i0"))
	in.copy.Replace("", nil, mirror.Position{Revision: 1})
	before := heapInUse()
	size := 0
	for n := 1; n <= successiveStates; n++ {
		state := encodedState(n, largeStateRoutes)
		size = len(state)
		at := mirror.Revision(1 + n)
		in.copy.Apply("", []mirror.Event{{Item: mirror.Item{Key: "op/config", Value: state, Revision: at}}}, mirror.Position{Revision: at})
	}
	if v := in.desiredVersion(); v != successiveStates {
		t.Fatalf("version %d in force", v)
	}
	if grown := int64(heapInUse()) - int64(before); grown > controlMemory {
		t.Errorf("%d MB after %d states of %d KB, at most %d MB wanted", grown>>20, successiveStates, size>>10, controlMemory>>20)
	}
	runtime.KeepAlive(in)
}
