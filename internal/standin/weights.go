package standin

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/martenport/martenport/backend"
	"github.com/martenport/martenport/internal/pause"
)

// transferStep is how often a transfer's share of the store is worked out.
const transferStep = 50 * time.Millisecond

// WeightStore is the rate-limited store of checkpoints that engines share.
type WeightStore struct {
	starts  *rate.Limiter
	streams int

	mu     sync.Mutex
	active int     // guarded by mu
	slow   float64 // guarded by mu; 1 is full speed
}

// NewWeightStore returns a store that starts so many loads a second and runs
// so many at full speed; more of them share that speed.
func NewWeightStore(startsPerSecond float64, streams int) *WeightStore {
	return &WeightStore{starts: rate.NewLimiter(rate.Limit(startsPerSecond), 1), streams: streams, slow: 1}
}

// SetSpeed slows the store down to a fraction of its full speed.
func (s *WeightStore) SetSpeed(fraction float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = fraction
}

func (s *WeightStore) share() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slow * min(1, float64(s.streams)/float64(max(s.active, 1)))
}

func (s *WeightStore) count(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += delta
}

// Fetch takes as long as reading bytes from the store at full speed
// bytesPerSecond takes beside the other transfers.
func (s *WeightStore) Fetch(ctx context.Context, bytes, bytesPerSecond float64) error {
	if err := s.starts.Wait(ctx); err != nil {
		return err
	}
	s.count(1)
	defer s.count(-1)
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

// Speeds gives bytes a second for each checkpoint tier.
type Speeds map[backend.Tier]float64

// DefaultSpeeds are those of a server with fast local disks.
func DefaultSpeeds() Speeds {
	return Speeds{backend.TierMemory: 12e9, backend.TierDisk: 3e9, backend.TierRemote: 1e9}
}
