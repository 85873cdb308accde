package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/martenport/martenport/serving"
)

// unevenSamples returns a sample of each model on the engines that have it. Every fourth engine runs at .55 of the
// usual speed; any engine is slowed down to 2.5 times the time in 15 of 100 samples.
func unevenSamples(engines, models int, random *rand.Rand) []SpeedSample {
	var samples []SpeedSample
	for m := range models {
		for _, e := range rand.New(rand.NewPCG(uint64(m), 1)).Perm(engines)[:1+m%3] {
			micros := float64(2000*(1+m%9)) / trueSpeed(e) * math.Exp(0.15*random.NormFloat64())
			if random.Float64() < 0.15 {
				micros *= 2.5
			}
			samples = append(samples, SpeedSample{Engine: fmt.Sprintf("e%d", e), Born: 1, Model: fmt.Sprintf("m%d", m), EventMicros: micros})
		}
	}
	return samples
}

func trueSpeed(engine int) float64 {
	if engine%4 == 0 {
		return 0.55 / 1.2
	}
	return 1
}

// learnt returns the learnt speeds by engine.
func learnt(l *SpeedLearner, at time.Time) map[string]float64 {
	speeds := map[string]float64{}
	for _, s := range l.Speeds(at) {
		speeds[s.Engine] = s.Speed
	}
	return speeds
}

// TestSpeedsLearnt: slow engines are known after some samples of each, although models differ more than engines, a third
// of the models has one copy and samples are noisy. No usual engine counts as slow.
func TestSpeedsLearnt(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	l := NewSpeedLearner()
	for i := range cellSamples {
		for _, s := range unevenSamples(60, 180, random) {
			l.Add([]SpeedSample{s}, now.Add(time.Duration(i)*time.Second))
		}
	}
	speeds := learnt(l, now.Add(10*time.Second))
	found, wrong := 0, 0
	for e := range 60 {
		speed, differs := speeds[fmt.Sprintf("e%d", e)]
		switch {
		case trueSpeed(e) < 1 && differs && speed < 0.7:
			found++
		case trueSpeed(e) == 1 && differs:
			wrong++
		}
	}
	t.Logf("%d of 15 slow engines found, %d of 45 others wrong", found, wrong)
	if found < 15 || wrong > 0 {
		t.Errorf("%d of 15 slow engines found, %d of 45 others wrong", found, wrong)
	}
}

// TestEqualEnginesNotTold: among equal engines with noise, none differs.
func TestEqualEnginesNotTold(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	l := NewSpeedLearner()
	for range 10 {
		for e := range 20 {
			l.Add([]SpeedSample{{Engine: fmt.Sprintf("e%d", e), Model: "m", EventMicros: 5000 * math.Exp(0.1*random.NormFloat64())}}, now)
		}
	}
	if speeds := l.Speeds(now.Add(time.Second)); len(speeds) > 0 {
		t.Errorf("%v differ", speeds)
	}
}

// twoEngines returns a learner that knows that b takes twice as long as a and c.
func twoEngines(born int64) *SpeedLearner {
	l := NewSpeedLearner()
	for range minCellSamples {
		for id, micros := range map[string]float64{"a": 5000, "b": 10000, "c": 5000} {
			l.Add([]SpeedSample{{Engine: id, Born: born, Model: "m", EventMicros: micros}}, now)
		}
	}
	return l
}

// TestSpeedForgotten: an engine's speed ends with its process, late samples of the earlier process do not count, and a
// speed without new samples is dropped.
func TestSpeedForgotten(t *testing.T) {
	l := twoEngines(5)
	if s := learnt(l, now.Add(time.Second)); len(s) != 1 || math.Abs(s["b"]-0.5) > 0.01 {
		t.Fatalf("%v, want b at half speed", s)
	}
	l.Add([]SpeedSample{{Engine: "b", Born: 6, Model: "m", EventMicros: 5000}}, now)
	for range 10 {
		l.Add([]SpeedSample{{Engine: "b", Born: 5, Model: "m", EventMicros: 90000}}, now)
	}
	if s := learnt(l, now.Add(2*time.Second)); len(s) != 0 {
		t.Errorf("%v, want nothing of the new process", s)
	}
	if s := learnt(twoEngines(5), now.Add(sampleLifetime)); len(s) != 0 {
		t.Errorf("%v known after the lifetime of samples", s)
	}
	l = twoEngines(5)
	l.Forget("b")
	if s := learnt(l, now.Add(time.Second)); len(s) != 0 {
		t.Errorf("%v known of a server that is gone", s)
	}
}

// TestHostileSamples: invalid samples are ignored, one message counts once for an engine with a model, and both what is
// kept and what is told are bounded.
func TestHostileSamples(t *testing.T) {
	l := twoEngines(1)
	var flood []SpeedSample
	for range 1000 {
		flood = append(flood, SpeedSample{Engine: "a", Born: 1, Model: "m", EventMicros: maxEventMicros})
	}
	l.Add(flood, now)
	for _, micros := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300} {
		for range 20 {
			l.Add([]SpeedSample{{Engine: "a", Born: 1, Model: "m", EventMicros: micros}, {Engine: "a", Born: 1, Model: "m", Level: 99, EventMicros: 1}, {Model: "m", EventMicros: 5}}, now)
		}
	}
	if s := learnt(l, now.Add(time.Second)); len(s) != 1 || s["b"] == 0 {
		t.Errorf("%v, want only b", s)
	}
	for i := range 2 * maxLearntEngines {
		l.Add([]SpeedSample{{Engine: fmt.Sprint(i), Model: fmt.Sprint(i % 100), EventMicros: float64(1 + i)}, {Engine: "a", Born: 1, Model: fmt.Sprint(i), EventMicros: 1}}, now)
	}
	if len(l.engines) > maxLearntEngines || len(l.engines["a"].cells) > maxCells {
		t.Errorf("%d engines, %d cells of one", len(l.engines), len(l.engines["a"].cells))
	}
	for _, test := range []struct {
		events  int
		between time.Duration
	}{{0, time.Second}, {1, time.Second}, {-5, time.Second}, {50, 0}, {50, -time.Second}, {minSampleEvents, 24 * time.Hour}} {
		if s, ok := NewSpeedSample("a", 1, "m", Full, test.events, test.between); ok {
			t.Errorf("%+v is a sample: %+v", test, s)
		}
	}
}

// TestSharedSpeeds: the holder's speeds count while it answers, and then what the instance has learnt itself. Neither
// counts for another process of the engine, and nonsense is ignored.
func TestSharedSpeeds(t *testing.T) {
	b := New(DefaultParams())
	for range minCellSamples {
		for id, micros := range map[string]float64{"a": 5000, "b": 10000, "c": 5000} {
			b.RecordSpeed(SpeedSample{Engine: id, Born: 1, Model: "m", EventMicros: micros}, now)
		}
	}
	at := now.Add(2 * time.Second)
	speed := func(id string, born int64, at time.Time) float64 {
		return b.Speed(serving.Server{ID: id, Born: born}, at)
	}
	if s := speed("b", 1, at); math.Abs(s-0.5) > 0.01 {
		t.Errorf("own speed %.2f", s)
	}
	b.SetSharedSpeeds([]EngineSpeed{{"a", 1, 0.4}, {"c", 1, math.NaN()}, {"d", 1, -3}, {"e", 1, 1e9}}, at)
	for id, want := range map[string]float64{"a": 0.4, "b": 1, "c": 1, "d": 1, "e": maxSpeed} {
		if s := speed(id, 1, at); s != want {
			t.Errorf("%s: %.2f, want %.2f", id, s, want)
		}
	}
	if s := speed("a", 2, at); s != 1 {
		t.Errorf("the next process has speed %.2f", s)
	}
	if s := speed("b", 1, at.Add(sharedLifetime)); math.Abs(s-0.5) > 0.01 {
		t.Errorf("%.2f without the holder, want the own speed", s)
	}
	if n := len(b.TakeSpeedSamples()); n != 3*minCellSamples || len(b.TakeSpeedSamples()) != 0 {
		t.Errorf("%d samples to report", n)
	}
	for range 2 * MaxSharedSamples {
		b.RecordSpeed(SpeedSample{Engine: "a", Model: "m", EventMicros: 5000}, now)
	}
	if n := len(b.TakeSpeedSamples()); n != MaxSharedSamples {
		t.Errorf("%d samples to report", n)
	}
}

// BenchmarkSpeeds measures what the holder computes once per solveInterval, with 140 engines and 400 models.
func BenchmarkSpeeds(b *testing.B) {
	random, l := rand.New(rand.NewPCG(1, 4)), NewSpeedLearner()
	for range cellSamples {
		for _, s := range unevenSamples(140, 400, random) {
			l.Add([]SpeedSample{s}, now)
		}
	}
	for b.Loop() {
		l.solve()
	}
}
