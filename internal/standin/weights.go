package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/internal/pause"
)

// transferStep is the interval at which a transfer's share of the bandwidth is recomputed.
const transferStep = 50 * time.Millisecond

// WeightStore is the rate-limited store of checkpoints that engines share.
type WeightStore struct {
	starts  *rate.Limiter
	streams int

	mu            sync.Mutex
	active        int     // guarded by mu
	speedFraction float64 // fraction of full speed; guarded by mu
}

// NewWeightStore returns a store that starts at most startsPerSecond transfers per second and runs up to streams
// of them at full speed. More transfers share the bandwidth of that many.
func NewWeightStore(startsPerSecond float64, streams int) *WeightStore {
	return &WeightStore{starts: rate.NewLimiter(rate.Limit(startsPerSecond), 1), streams: streams, speedFraction: 1}
}

// SetSpeed slows the store down to a fraction of its full speed.
func (s *WeightStore) SetSpeed(fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speedFraction = fraction
}

func (s *WeightStore) share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.speedFraction * min(1, float64(s.streams)/float64(max(s.active, 1)))
}

func (s *WeightStore) addActive(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += delta
}

// Fetch simulates reading the given number of bytes: it returns after the time that this takes while the other
// transfers share the bandwidth. bytesPerSecond is the full speed of a transfer.
func (s *WeightStore) Fetch(ctx context.Context, bytes, bytesPerSecond float64) error {
	if err := s.starts.Wait(ctx); err != nil {
		return err
	}
	s.addActive(1)
	defer s.addActive(-1)
	for bytes > 0 {
		speed := bytesPerSecond * s.share()
		step := min(transferStep, time.Duration(bytes/speed*float64(time.Second))+time.Nanosecond)
		if !pause.For(ctx, step) {
			return ctx.Err()
		}
		bytes -= speed * step.Seconds()
	}
	return nil
}

// Speeds holds the load speed in bytes per second for each checkpoint tier.
type Speeds map[backend.Tier]float64

// DefaultSpeeds returns the speeds of a server with fast local disks.
func DefaultSpeeds() Speeds {
	return Speeds{backend.TierMemory: 12e9, backend.TierDisk: 3e9, backend.TierRemote: 1e9}
}
