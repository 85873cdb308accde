package balance

import (
	"time"

	"github.com/martenport/martenport/serving"
)

// sharedLifetime is how long the speeds that the holder has sent count without another message of it. Then those count
// that this instance has learnt itself, as they do if the holder knows of no difference.
const sharedLifetime = 5 * time.Second

// speeds are the engines' speeds as one instance knows them.
type speeds struct {
	own *SpeedLearner
	// unsent are the samples for the next report.
	unsent []SpeedSample
	shared map[string]EngineSpeed
	// sharedAt is when shared was received.
	sharedAt time.Time
	// ownSpeeds are those of own as last computed, by engine.
	ownSpeeds map[string]EngineSpeed
	ownAt     time.Time
}

// RecordSpeed records a sample.
func (b *Balancer) RecordSpeed(s SpeedSample, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.speeds.own.Add([]SpeedSample{s}, now)
	if len(b.speeds.unsent) < MaxSharedSamples {
		b.speeds.unsent = append(b.speeds.unsent, s)
	}
}

// TakeSpeedSamples returns the samples since the last call, for a report. If the report is lost, so are they.
func (b *Balancer) TakeSpeedSamples() []SpeedSample {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	samples := b.speeds.unsent
	b.speeds.unsent = nil
	return samples
}

// SetSharedSpeeds replaces the speeds that the holder has learnt from the samples of all instances.
func (b *Balancer) SetSharedSpeeds(shared []EngineSpeed, now time.Time) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.speeds.shared, b.speeds.sharedAt = speedsByEngine(shared[:min(len(shared), MaxSharedSpeeds)]), now
}

// speedsByEngine returns the valid speeds by engine, within the bounds of what can be learnt.
func speedsByEngine(list []EngineSpeed) map[string]EngineSpeed {
	byEngine := make(map[string]EngineSpeed, len(list))
	for _, s := range list {
		if s.Speed > 0 { // false for NaN as well
			s.Speed = min(maxSpeed, max(minSpeed, s.Speed))
			byEngine[s.Engine] = s
		}
	}
	return byEngine
}

// Speed returns the speed of an engine relative to the usual one: 1 if it is not known to differ.
func (b *Balancer) Speed(s serving.Server, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.speeds.known(now)
	if e, differs := known[s.ID]; differs && s.MayBeSameProcess(e.Born) {
		return e.Speed
	}
	return 1
}

// known returns the speeds that count now.
func (s *speeds) known(now time.Time) map[string]EngineSpeed {
	if len(s.shared) > 0 && now.Sub(s.sharedAt) < sharedLifetime {
		return s.shared
	}
	if now.Sub(s.ownAt) >= solveInterval {
		s.ownSpeeds, s.ownAt = speedsByEngine(s.own.Speeds(now)), now
	}
	return s.ownSpeeds
}

// LoadLevel returns how full a server is, of which others are the requests of other instances.
func (b *Balancer) LoadLevel(id string, others, slots int) LoadLevel {
	switch {
	case slots > 0 && b.RunsAtLeast(id, others, slots):
		return Full
	case slots > 0 && b.RunsAtLeast(id, others, (slots+1)/2):
		return HalfFull
	default:
		return HalfEmpty
	}
}
