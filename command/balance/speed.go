package balance

import (
	"math"
	"slices"
	"time"
)

// Engines of one service differ in speed. An engine's speed shows in the time between the events of its streams: unlike
// the latency of requests, it depends neither on the length of an answer or prompt nor on the time in a queue. It does
// depend on the model and on how full the engine is. Therefore the times are compared only between engines with the
// same model and load level, and all comparisons together give the speeds (solve).
//
// Only what an instance has seen itself is used: what clients announce about tokens, and engines about themselves, is
// not. A single stream says little, since an engine may be slowed down for some hundred milliseconds, so the median of
// several streams counts.

// LoadLevel says how full an engine is.
type LoadLevel int

// The load levels.
const (
	HalfEmpty LoadLevel = iota
	HalfFull
	Full
)

// SpeedSample is the time between events of one stream.
type SpeedSample struct {
	Engine string
	// Born identifies the engine's process, see serving.Server; 0 if it is not known.
	Born  int64
	Model string
	Level LoadLevel
	// EventMicros is the mean time between two events in microseconds.
	EventMicros float64
}

const (
	// minSampleEvents and minSampleTime are the number of events and the time from the first to the last from which a
	// stream is a sample: the times of fewer events are those of messages rather than of the engine.
	minSampleEvents = 4
	minSampleTime   = 40 * time.Millisecond
	// maxEventMicros is the longest time between events of a sample, that of an engine that stands still.
	maxEventMicros = 10e6
)

// NewSpeedSample returns the sample of a complete stream, and false if the stream is too short for one.
func NewSpeedSample(engine string, born int64, model string, level LoadLevel, events int, between time.Duration) (SpeedSample, bool) {
	s := SpeedSample{Engine: engine, Born: born, Model: model, Level: level}
	if events < minSampleEvents || between < minSampleTime {
		return s, false
	}
	s.EventMicros = float64(between.Microseconds()) / float64(events-1)
	return s, s.valid()
}

// valid reports whether the sample can be used. Samples of other instances may be wrong in any way.
func (s SpeedSample) valid() bool {
	return s.Engine != "" && s.EventMicros >= 1 && s.EventMicros <= maxEventMicros && s.Level >= HalfEmpty && s.Level <= Full
}

// EngineSpeed is the speed of an engine relative to the usual speed of all engines.
type EngineSpeed struct {
	Engine string
	Born   int64
	Speed  float64
}

const (
	// MaxSharedSpeeds bounds the speeds in one message, and MaxSharedSamples the samples.
	MaxSharedSpeeds  = 256
	MaxSharedSamples = 64
	// usualRange is the factor by which a speed must differ from the usual one to count.
	usualRange = 1.25
	// minSpeed and maxSpeed bound what is learnt, so that no error hides an engine or sends everything to one.
	minSpeed, maxSpeed = 0.25, 2
	// cellSamples is the number of samples of an engine with one model and level that are kept, and minCellSamples the
	// number from which their median counts.
	cellSamples, minCellSamples = 15, 5
	// maxCells bounds the models and levels of one engine.
	maxCells = 16
	// maxLearntEngines bounds the engines.
	maxLearntEngines = 4096
	// sampleLifetime is how long a sample counts.
	sampleLifetime = 60 * time.Second
	// solveInterval is how often speeds are computed: they change with an engine's process only.
	solveInterval = time.Second
	// solveRounds bounds the rounds in which the means settle, which is when none moves by more than settled.
	solveRounds = 50
	settled     = 0.005
)

// column is what must be equal for times to be compared.
type column struct {
	model string
	level LoadLevel
}

// cell has the latest samples of an engine for a column, in logarithms of microseconds.
type cell struct {
	logs []float64
	last time.Time
}

// learntEngine is what is known of one engine.
type learntEngine struct {
	born  int64
	cells map[column]*cell
}

// SpeedLearner learns the speeds of engines from samples. It is not safe for concurrent use.
type SpeedLearner struct {
	engines  map[string]*learntEngine
	speeds   []EngineSpeed
	solvedAt time.Time
}

// NewSpeedLearner returns a SpeedLearner that knows nothing.
func NewSpeedLearner() *SpeedLearner {
	return &SpeedLearner{engines: map[string]*learntEngine{}}
}

// Add adds the samples of one message. An engine's cell gets at most one of them, so that no single instance decides
// how fast an engine is.
func (l *SpeedLearner) Add(samples []SpeedSample, now time.Time) {
	type key struct {
		engine string
		column column
	}
	seen := map[key]bool{}
	for _, s := range samples[:min(len(samples), MaxSharedSamples)] {
		k := key{s.Engine, column{s.Model, s.Level}}
		if s.valid() && !seen[k] {
			seen[k] = true
			l.add(s, now)
		}
	}
}

// add adds a valid sample. What is known of an earlier process of the engine is forgotten.
func (l *SpeedLearner) add(s SpeedSample, now time.Time) {
	e := l.engines[s.Engine]
	switch {
	case e != nil && s.Born != 0 && s.Born < e.born:
		return
	case e == nil && len(l.engines) >= maxLearntEngines:
		return
	case e == nil || s.Born > e.born && e.born != 0:
		e = &learntEngine{cells: map[column]*cell{}}
		l.engines[s.Engine] = e
	}
	e.born = max(e.born, s.Born)
	k := column{s.Model, s.Level}
	c := e.cells[k]
	if c == nil {
		if len(e.cells) >= maxCells {
			e.dropOldest()
		}
		c = &cell{}
		e.cells[k] = c
	}
	c.logs = append(c.logs, math.Log(s.EventMicros))
	c.logs = c.logs[max(0, len(c.logs)-cellSamples):]
	c.last = now
}

// dropOldest drops the cell whose last sample is the oldest.
func (e *learntEngine) dropOldest() {
	var oldest column
	found := false
	for k, c := range e.cells {
		if !found || c.last.Before(e.cells[oldest].last) {
			oldest, found = k, true
		}
	}
	delete(e.cells, oldest)
}

// Forget forgets an engine that no longer exists.
func (l *SpeedLearner) Forget(engine string) {
	delete(l.engines, engine)
	l.speeds = slices.DeleteFunc(slices.Clone(l.speeds), func(s EngineSpeed) bool { return s.Engine == engine })
}

// Speeds returns the speeds of the engines that differ from the usual speed, at most MaxSharedSpeeds, the most
// different ones first. The result must not be changed.
func (l *SpeedLearner) Speeds(now time.Time) []EngineSpeed {
	if now.Sub(l.solvedAt) < solveInterval {
		return l.speeds
	}
	l.solvedAt = now
	l.expire(now)
	l.speeds = nil
	for id, offset := range l.solve() {
		speed := min(maxSpeed, max(minSpeed, math.Exp(-offset)))
		if speed >= usualRange || speed <= 1/usualRange {
			l.speeds = append(l.speeds, EngineSpeed{Engine: id, Born: l.engines[id].born, Speed: speed})
		}
	}
	slices.SortFunc(l.speeds, func(a, b EngineSpeed) int {
		if c := compareDifference(a.Speed, b.Speed); c != 0 {
			return c
		}
		if a.Engine < b.Engine {
			return -1
		}
		return 1
	})
	l.speeds = l.speeds[:min(len(l.speeds), MaxSharedSpeeds)]
	return l.speeds
}

// compareDifference orders speeds by their difference from the usual one, the largest first.
func compareDifference(a, b float64) int {
	switch da, db := math.Abs(math.Log(a)), math.Abs(math.Log(b)); {
	case da > db:
		return -1
	case da < db:
		return 1
	default:
		return 0
	}
}

// expire drops what is older than sampleLifetime.
func (l *SpeedLearner) expire(now time.Time) {
	for id, e := range l.engines {
		for k, c := range e.cells {
			if now.Sub(c.last) >= sampleLifetime {
				delete(e.cells, k)
			}
		}
		if len(e.cells) == 0 {
			delete(l.engines, id)
		}
	}
}

// comparison is the median logarithm of an engine's times in a column, both by number.
type comparison struct {
	column, engine int
	time           float64
}

// solve returns the logarithm of each engine's time relative to the usual one. A time is modelled as that of its column
// times that of its engine; both are found by least squares, alternating between the means of the two. Columns with a
// single engine compare nothing and are left out, and so are engines without any other column.
func (l *SpeedLearner) solve() map[string]float64 {
	ids, comparisons, columns := l.comparisons()
	offsets, usual := make([]float64, len(ids)), make([]float64, columns)
	for moved, round := math.Inf(1), 0; moved > settled && round < solveRounds; round++ {
		means(usual, comparisons, func(c comparison) (int, float64) { return c.column, c.time - offsets[c.engine] })
		before := slices.Clone(offsets)
		means(offsets, comparisons, func(c comparison) (int, float64) { return c.engine, c.time - usual[c.column] })
		center := median(offsets)
		moved = 0
		for i := range offsets {
			offsets[i] -= center
			moved = max(moved, math.Abs(offsets[i]-before[i]))
		}
	}
	byEngine := make(map[string]float64, len(ids))
	for i, id := range ids {
		byEngine[id] = offsets[i]
	}
	return byEngine
}

// means sets each element to the mean of the values that part assigns to it. Each gets at least one.
func means(result []float64, comparisons []comparison, part func(comparison) (int, float64)) {
	counts := make([]float64, len(result))
	clear(result)
	for _, c := range comparisons {
		i, value := part(c)
		result[i] += value
		counts[i]++
	}
	for i := range result {
		result[i] /= counts[i]
	}
}

// comparisons returns what can be compared: the engines' times in the columns that have several of them.
func (l *SpeedLearner) comparisons() (ids []string, comparisons []comparison, columns int) {
	enginesOf := map[column]int{}
	for _, e := range l.engines {
		for k, c := range e.cells {
			if len(c.logs) >= minCellSamples {
				enginesOf[k]++
			}
		}
	}
	numbers := map[column]int{}
	for id, e := range l.engines {
		known := len(comparisons)
		for k, c := range e.cells {
			if len(c.logs) < minCellSamples || enginesOf[k] < 2 {
				continue
			}
			if _, numbered := numbers[k]; !numbered {
				numbers[k] = len(numbers)
			}
			comparisons = append(comparisons, comparison{numbers[k], len(ids), median(c.logs)})
		}
		if len(comparisons) > known {
			ids = append(ids, id)
		}
	}
	return ids, comparisons, len(numbers)
}

// median returns the median, 0 of nothing.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
