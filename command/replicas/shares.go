package replicas

import (
	"bytes"
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
)

// room is the state of the room of all contended services.
type room struct {
	services   map[string]*serviceRoom
	computedAt time.Time
}

// serviceRoom is the state of the room of one service.
type serviceRoom struct {
	classes map[serving.TrafficClass]*classState
	// running and slots are those of all engines that get requests.
	running, slots float64
	// scarceUntil is until when the traffic counts as unusual after a shortage.
	scarceUntil time.Time
}

// classState is the state of one class in a service. All sizes are concurrent requests.
type classState struct {
	usual usualRoom
	// requested counts every send of a client, offered each request once, and served the answered ones.
	requested, offered, served float64
	// admitted is the part of requested that is admitted.
	admitted float64
	seen     time.Time
	// short: the class was last reported as short of room. differsSince is since when that is no longer so.
	short        bool
	differsSince time.Time
}

// admitClass returns the class under which traffic of a class is recorded, which bounds their number.
func (r *room) admitClass(service string, class serving.TrafficClass, now time.Time) serving.TrafficClass {
	if r.services == nil {
		r.services = map[string]*serviceRoom{}
	}
	s := r.services[service]
	if s == nil {
		s = &serviceRoom{classes: map[serving.TrafficClass]*classState{}}
		r.services[service] = s
	}
	if s.classes[class] == nil && len(s.classes) >= maxClasses-1 {
		class = serving.OtherClass
	}
	if s.classes[class] == nil {
		s.classes[class] = &classState{}
	}
	s.classes[class].seen = now
	return class
}

// maxRoomEngines bounds the engines in Room: those that refuse most.
const maxRoomEngines = 256

// Room returns the share of the requests to admit on each short engine by class, in contended services.
//
// How many requests an engine gets follows from its load and throughput, like the shares of Admissions, but over all
// its models: hundreds of models that are rarely asked for keep an engine as busy as one that is asked for often. They
// are divided between the classes.
func (f *Fleet) Room(now time.Time) directory.Room {
	if len(f.room.services) == 0 {
		return directory.Room{}
	}
	f.decay(now)
	f.sumTraffic(now)
	var divided []dividedEngine
	for _, e := range f.Engines() {
		s := f.room.services[e.Server.Service]
		if s == nil || !servesNow(e, now) {
			continue
		}
		s.running += e.load() * float64(slotsOf(e))
		s.slots += float64(slotsOf(e))
		if d, short := f.divideEngine(e, s, now); short {
			divided = append(divided, d)
		}
	}
	f.observeRoom(now)
	return encodeRoom(divided)
}

// dividedEngine is an engine on which not all requests can be admitted, with the shares of the claims.
type dividedEngine struct {
	id     string
	claims []claim
	shares []float64
}

// refused returns how many concurrent requests are refused on the engine.
func (d dividedEngine) refused() float64 {
	refused := 0.0
	for i, c := range d.claims {
		refused += (1 - d.shares[i]) * c.requested
	}
	return refused
}

// encodeRoom returns the shares of the maxRoomEngines engines that refuse most.
func encodeRoom(divided []dividedEngine) directory.Room {
	slices.SortStableFunc(divided, func(a, b dividedEngine) int { return cmp.Compare(b.refused(), a.refused()) })
	r := directory.Room{Known: true}
	index := map[serving.TrafficClass]int{}
	for _, d := range divided[:min(len(divided), maxRoomEngines)] {
		for _, c := range d.claims {
			if _, found := index[c.class]; !found {
				index[c.class] = len(r.Classes)
				r.Classes = append(r.Classes, c.class)
			}
		}
		e := directory.EngineRoom{Engine: d.id, Percent: bytes.Repeat([]byte{100}, len(r.Classes))}
		for i, c := range d.claims {
			e.Percent[index[c.class]] = byte(math.Round(100 * d.shares[i]))
		}
		r.Engines = append(r.Engines, e)
	}
	return r
}

// sumTraffic sums up the traffic of all classes.
func (f *Fleet) sumTraffic(now time.Time) {
	for _, s := range f.room.services {
		maps.DeleteFunc(s.classes, func(_ serving.TrafficClass, c *classState) bool { return now.Sub(c.seen) > classLifetime })
		s.running, s.slots = 0, 0
		for _, c := range s.classes {
			c.requested, c.offered, c.served, c.admitted = 0, 0, 0, 0
		}
	}
	for _, d := range f.demand {
		s := f.room.services[d.service]
		if s == nil {
			continue
		}
		seconds := f.meanRunTime(d)
		for _, c := range d.classes {
			if state := s.classes[c.class]; state != nil {
				state.requested += c.arrived * seconds
				state.admitted += c.arrived * seconds
				state.offered += c.distinct * seconds
				state.served += c.answered * seconds
			}
		}
	}
}

// scarceShare is the share of all requests of a service below which room is scarce, as it is when all engines together
// have more than targetLoad. Less is refused when single engines are busy by chance.
const scarceShare = 0.75

// observeRoom updates what is usual for all classes.
func (f *Fleet) observeRoom(now time.Time) {
	passed := now.Sub(f.room.computedAt)
	f.room.computedAt = now
	for _, s := range f.room.services {
		requested, admitted := 0.0, 0.0
		for _, c := range s.classes {
			requested += c.requested
			admitted += c.admitted
		}
		if admitted < scarceShare*requested || s.running > targetLoad*s.slots {
			// The rates still include the traffic of a shortage for some time after it.
			s.scarceUntil = now.Add(2 * trafficWindow)
		}
		for _, c := range s.classes {
			c.usual.observe(c.offered, now.Before(s.scarceUntil), passed)
		}
	}
}

// divideEngine divides the room of an engine between the classes. It returns false if all requests can be admitted.
func (f *Fleet) divideEngine(e *Engine, service *serviceRoom, now time.Time) (d dividedEngine, short bool) {
	load := e.load()
	if load <= admitAllLoad {
		return dividedEngine{}, false
	}
	requested, answered, total := 0.0, 0.0, 0.0
	var claims []claim
	for model, c := range e.Copies {
		d := f.demand[model]
		if c.State != Resident || d == nil {
			continue
		}
		copies := float64(f.servingCopies(model, now))
		for _, class := range d.classes {
			requested += class.arrived / copies
			answered += class.answered / copies
			concurrent := class.arrived / copies * f.meanRunTime(d)
			total += concurrent
			claims = addClaim(claims, class.class, concurrent)
		}
	}
	if requested < minDeferrableRate {
		return dividedEngine{}, false
	}
	seconds := total / requested
	room, excess := engineRoom(load-acceptableQueue(claims, seconds), slotsOf(e), requested, answered)
	if excess <= 0 && room >= requested {
		return dividedEngine{}, false
	}
	d = dividedEngine{id: e.Server.ID, claims: service.guarantee(claims)}
	d.shares = divideRoom(room*seconds, excess*seconds, d.claims)
	for i, c := range d.claims {
		d.shares[i] = max(minAdmittedShare, d.shares[i])
		if state := service.classes[c.class]; state != nil {
			state.admitted -= (1 - d.shares[i]) * c.requested
		}
	}
	return d, true
}

// queueTime is the time in which the load of an engine is brought to targetLoad: longer than reports and replies take,
// and shorter than callers wait.
const queueTime = 2 * time.Second

// The share of its objective that a request may spend in the queue of an engine, and how many requests may queue for
// each slot however patient they are.
const (
	queueShare = 0.25
	maxQueue   = 0.5
)

// acceptableQueue returns how many requests may queue for each slot of an engine beyond targetLoad. They are those of
// the lowest priority, since engines serve higher ones first, and the least patient of them decides.
func acceptableQueue(claims []claim, runSeconds float64) float64 {
	var last serving.TrafficClass
	for i, c := range claims {
		if i == 0 || c.class.Priority > last.Priority || c.class.Priority == last.Priority && c.class.Objective < last.Objective {
			last = c.class
		}
	}
	wait := queueShare * last.Objective.Seconds()
	return min(maxQueue, max(0, wait/max(runSeconds, 0.01)-(targetLoad-1)))
}

// engineRoom returns how many requests per second an engine has room for, given the requested and the answered rate:
// as many as it answers, and more while its load is below targetLoad. excess is how many fewer must come for queueTime
// if its load is above.
func engineRoom(load float64, slots int, requested, answered float64) (room, excess float64) {
	saturation := min(1, max(0, (load-admitAllLoad)/(saturatedLoad-admitAllLoad)))
	distance := (targetLoad - load) * float64(slots) / queueTime.Seconds()
	room = min(requested, (1-saturation)*requested+saturation*(answered+max(0, distance)))
	return room, saturation * max(0, -distance)
}

// load returns the number of running and queued requests per slot of the engine.
func (e *Engine) load() float64 {
	running := 0
	for _, c := range e.Copies {
		running += c.Running
	}
	return float64(running) / float64(max(1, slotsOf(e)))
}

// guarantee orders the claims of classes, and sets which part of each the guarantee of the class covers.
func (s *serviceRoom) guarantee(claims []claim) []claim {
	slices.SortFunc(claims, func(a, b claim) int { return compareClasses(a.class, b.class) })
	for i := range claims {
		c := &claims[i]
		c.guaranteed = c.requested
		if state := s.classes[c.class]; state != nil {
			c.guaranteed *= state.usual.guaranteedShare(state.requested)
		}
	}
	return claims
}

// addClaim adds requests to the claim of a class.
func addClaim(claims []claim, class serving.TrafficClass, requests float64) []claim {
	for i := range claims {
		if claims[i].class == class {
			claims[i].requested += requests
			return claims
		}
	}
	return append(claims, claim{class: class, requested: requests})
}

// servingCopies returns the number of engines that serve a model now, at least 1.
func (f *Fleet) servingCopies(model string, now time.Time) int {
	n := 0
	for _, e := range f.holding(model) {
		if e.Copies[model].State == Resident && servesNow(e, now) {
			n++
		}
	}
	return max(1, n)
}

// servesNow reports whether the engine gets requests.
func servesNow(e *Engine, now time.Time) bool {
	return !e.Server.Draining && !now.Before(e.FailingUntil)
}

func compareClasses(a, b serving.TrafficClass) int {
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Objective, b.Objective))
}
