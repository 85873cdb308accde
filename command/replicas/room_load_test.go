package replicas

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/martenport/martenport/directory"
	"github.com/martenport/martenport/serving"
)

// The load that playRoom plays: sixteen engines with twelve slots. Four models of urgent callers have a copy on every
// fourth engine, 240 models of patient callers one copy each. Requests run for 1.6 s on average, and engines begin
// those of the highest priority first. The urgent requests need .4 of the slots, the patient ones .5 and, in a burst
// from 20 to 30 s, 2.3 times that. Refused requests come back twice, 1.5 s later. Reports take .6 s, as do replies.
const (
	roomEngines                     = 16
	roomUrgent, roomPatient         = 4, 240
	roomRun                         = 1.6
	roomStep                        = 20 * time.Millisecond
	roomReportEvery                 = 5 // steps
	roomLag                         = 600 * time.Millisecond
	roomBurst, roomAfter, roomEnd   = 20 * time.Second, 30 * time.Second, 40 * time.Second
	roomBurstFactor                 = 2.3
	roomReturn, roomTries           = 1500 * time.Millisecond, 3
	urgentSlots, patientSlots       = 0.4, 0.5
	roomUrgentWait, roomPatientWait = 8 * time.Second, 15 * time.Second
)

// roomCase is one play.
type roomCase struct {
	// byModel: the decision of before, by model only.
	byModel bool
	urgent  serving.TrafficClass
	// bursting is the index of the class that sends the burst, 0 for the urgent one.
	bursting int
	// holderLost is when the holder is lost until the end, and successorAt when one without history begins; 0 if never.
	holderLost, successorAt time.Duration
	// lostReports is the share of reports that are lost, and staleReplies that of replies.
	lostReports, staleReplies float64
	// shifts: in the burst, patient callers ask for half of the models only.
	shifts bool
	// urgentBack is when urgent callers, who send nothing from the beginning of the burst on, come back; 0 if they stay.
	urgentBack time.Duration
	seed       uint64
}

// outcome is what becomes of the requests of a class that first came in a part of the play.
type outcome struct{ onTime, late, refused, sent int }

func (o outcome) share(n int) float64 { return float64(n) / float64(max(1, o.sent)) }

func (o outcome) String() string {
	return fmt.Sprintf("%.2f on time, %.2f late, %.2f refused of %d", o.share(o.onTime), o.share(o.late), o.share(o.refused), o.sent)
}

// roomRequest is a request with its class, 0 for urgent, and the time of its first try.
type roomRequest struct {
	class int
	model string
	first time.Duration
	// sent is when it was admitted.
	sent  time.Duration
	tries int
}

type roomEngine struct {
	running []runningRequest
	queued  [2][]roomRequest
}

// runningRequest is a request that runs until ends.
type runningRequest struct {
	roomRequest
	ends, began time.Duration
}

func (e *roomEngine) load() int { return len(e.running) + len(e.queued[0]) + len(e.queued[1]) }

// roomReport is what reaches the holder at a time.
type roomReport struct {
	at       time.Duration
	arrivals map[string]*ClassTraffic
	running  map[string]map[serving.Unit]int
}

// roomReply is what reaches the instances at a time.
type roomReply struct {
	at    time.Duration
	admit map[string]float64
	room  directory.Room
}

// roomPlay is the state of a play.
type roomPlay struct {
	roomCase
	random  *rand.Rand
	classes [2]serving.TrafficClass
	fleet   *Fleet
	dir     *directory.Directory
	engines [roomEngines]roomEngine
	counts  map[string]*ClassTraffic
	returns map[time.Duration][]roomRequest
	reports []roomReport
	replies []roomReply
	// during and after are the outcomes of the requests that first came in the burst and in the ten seconds after it.
	during, after [2]outcome
}

var roomEpoch = time.Unix(1000, 0)

// playRoom plays a case.
func playRoom(c roomCase) *roomPlay {
	p := &roomPlay{
		roomCase: c, random: rand.New(rand.NewPCG(3, c.seed)), classes: [2]serving.TrafficClass{c.urgent, patientClass}, dir: directory.New(),
		counts: map[string]*ClassTraffic{}, returns: map[time.Duration][]roomRequest{},
	}
	p.fleet = roomFleet(roomEpoch)
	for _, e := range p.fleet.Engines() {
		p.dir.ApplyServer(e.Server, roomEpoch)
	}
	pending := [2]float64{}
	for now, step := time.Duration(0), 0; now < roomEnd+roomPatientWait; now, step = now+roomStep, step+1 {
		for _, r := range p.returns[now] {
			p.send(r, now)
		}
		delete(p.returns, now)
		for class, slots := range []float64{urgentSlots, patientSlots} {
			if class == p.bursting && now >= roomBurst && now < roomAfter {
				slots *= roomBurstFactor
			}
			if class == 0 && now >= roomBurst && now < p.urgentBack {
				continue
			}
			rate := slots * roomEngines * admitSlots / roomRun
			for pending[class] += rate * roomStep.Seconds() * p.random.ExpFloat64(); pending[class] >= 1; pending[class]-- {
				p.send(roomRequest{class: class, model: p.model(class, now), first: now}, now)
			}
		}
		for i := range p.engines {
			p.step(&p.engines[i], now)
		}
		if step%roomReportEvery == 0 {
			p.exchange(now)
		}
	}
	return p
}

// roomFleet returns the fleet of the play.
func roomFleet(now time.Time) *Fleet {
	spec := &serving.EngineSpec{Slots: admitSlots, MemoryMB: 1e6, AdapterSlots: 1, Models: map[string]serving.Model{}}
	var held [roomEngines][]string
	for i := range roomUrgent {
		for e := i; e < roomEngines; e += roomUrgent {
			held[e] = append(held[e], fmt.Sprintf("urgent%d", i))
		}
	}
	for i := range roomPatient {
		held[i%roomEngines] = append(held[i%roomEngines], fmt.Sprintf("patient%d", i))
	}
	for _, models := range held {
		for _, m := range models {
			spec.Models[m] = serving.Model{Name: m, MemoryMB: 1, DiskLoad: time.Second}
		}
	}
	return testFleet(now, spec, held[:]...)
}

func (p *roomPlay) model(class int, now time.Duration) string {
	if class == 0 {
		return fmt.Sprintf("urgent%d", p.random.IntN(roomUrgent))
	}
	n := p.random.IntN(roomPatient)
	if p.shifts && now >= roomBurst {
		n /= 2
	}
	return fmt.Sprintf("patient%d", n)
}

// outcome returns the outcomes to which a request counts, nil if none.
func (p *roomPlay) outcome(r roomRequest) *outcome {
	switch {
	case r.first < roomBurst, r.first >= roomEnd:
		return &outcome{}
	case r.first < roomAfter:
		return &p.during[r.class]
	}
	return &p.after[r.class]
}

// send admits or refuses a request, and queues it at the less busy one of two engines.
func (p *roomPlay) send(r roomRequest, now time.Duration) {
	if r.tries == 0 {
		p.outcome(r).sent++
	}
	c := p.count(r)
	c.Arrived++
	if r.tries > 0 {
		c.Returned++
	}
	if p.random.Float64() >= p.share(r, now) {
		if r.tries == 0 {
			c.Refused++
		}
		if r.tries++; r.tries == roomTries {
			p.outcome(r).refused++
			return
		}
		at := now + roomReturn
		p.returns[at] = append(p.returns[at], r)
		return
	}
	r.sent = now
	a, b := p.engineOf(r.model), p.engineOf(r.model)
	if b.load() < a.load() {
		a = b
	}
	a.queued[r.class] = append(a.queued[r.class], r)
}

func (p *roomPlay) engineOf(model string) *roomEngine {
	var i int
	if _, err := fmt.Sscanf(model, "urgent%d", &i); err == nil {
		return &p.engines[i+roomUrgent*p.random.IntN(roomEngines/roomUrgent)]
	}
	_, _ = fmt.Sscanf(model, "patient%d", &i)
	return &p.engines[i%roomEngines]
}

// share returns the share of such requests that an instance admits.
func (p *roomPlay) share(r roomRequest, now time.Duration) float64 {
	class := p.classes[r.class]
	if !p.byModel {
		if share, known := p.dir.AdmitClass(r.model, class, roomEpoch.Add(now)); known {
			return share
		}
	}
	if class.Priority == 0 {
		return 1
	}
	return p.dir.Admit(r.model, roomEpoch.Add(now))
}

func (p *roomPlay) count(r roomRequest) *ClassTraffic {
	if p.counts[r.model] == nil {
		p.counts[r.model] = &ClassTraffic{Service: "llm", Model: r.model, Class: p.classes[r.class]}
	}
	return p.counts[r.model]
}

// step ends and begins requests on an engine.
func (p *roomPlay) step(e *roomEngine, now time.Duration) {
	e.running = slices.DeleteFunc(e.running, func(r runningRequest) bool {
		if r.ends > now {
			return false
		}
		c := p.count(r.roomRequest)
		c.Answered++
		c.RunTime += r.ends - r.began
		return true
	})
	for len(e.running) < admitSlots {
		r, queued := p.next(e)
		if !queued {
			return
		}
		waited := now - r.first
		switch {
		case waited > []time.Duration{roomUrgentWait, roomPatientWait}[r.class]:
			p.outcome(r).late++
			continue // the client has left
		case waited > p.classes[r.class].Objective:
			p.outcome(r).late++
		default:
			p.outcome(r).onTime++
		}
		e.running = append(e.running, runningRequest{r, now + time.Duration(p.random.ExpFloat64()*roomRun*float64(time.Second)), now})
	}
}

// next takes the next request from the queue of an engine.
func (p *roomPlay) next(e *roomEngine) (r roomRequest, queued bool) {
	class := 0
	if a, b := e.queued[0], e.queued[1]; len(a) == 0 || len(b) > 0 && p.classes[0].Priority == p.classes[1].Priority && b[0].sent < a[0].sent {
		class = 1
	}
	if len(e.queued[class]) == 0 {
		return roomRequest{}, false
	}
	r, e.queued[class] = e.queued[class][0], e.queued[class][1:]
	return r, true
}

// exchange sends the reports of the instances, delivers those that have arrived, and applies the replies.
func (p *roomPlay) exchange(now time.Duration) {
	r := roomReport{at: now + roomLag, arrivals: p.counts, running: map[string]map[serving.Unit]int{}}
	for i := range p.engines {
		units := map[serving.Unit]int{}
		for _, run := range p.engines[i].running {
			units[serving.Unit{Model: run.model}]++
		}
		for _, queue := range p.engines[i].queued {
			for _, q := range queue {
				units[serving.Unit{Model: q.model}]++
			}
		}
		r.running[string(rune('a'+i))+"-engine"] = units
	}
	p.counts = map[string]*ClassTraffic{}
	if p.random.Float64() >= p.lostReports {
		p.reports = append(p.reports, r)
	}
	if p.successorAt > 0 && now >= p.successorAt && now < p.successorAt+roomStep*roomReportEvery {
		p.fleet = roomFleet(roomEpoch.Add(now))
	}
	for len(p.reports) > 0 && p.reports[0].at <= now {
		p.receive(p.reports[0], now)
		p.reports = p.reports[1:]
	}
	for len(p.replies) > 0 && p.replies[0].at <= now {
		reply := p.replies[0]
		p.replies = p.replies[1:]
		p.dir.ApplyViews(1, nil, nil, roomEpoch.Add(now))
		p.dir.ApplyAdmissions(reply.admit)
		p.dir.ApplyRoom(reply.room)
	}
}

// receive gives a report to the holder, whose reply is on its way then.
func (p *roomPlay) receive(r roomReport, now time.Duration) {
	if p.holderLost > 0 && now >= p.holderLost && (p.successorAt == 0 || now < p.successorAt) {
		return
	}
	at := roomEpoch.Add(now)
	for _, model := range slices.Sorted(maps.Keys(r.arrivals)) {
		c := r.arrivals[model]
		d := Arrivals{Count: c.Arrived - c.Returned, Weight: float64(c.Arrived), Deferrable: c.Arrived, Served: c.Answered}
		if c.Class.Priority == 0 {
			d.Deferrable, d.Served = 0, 0
		}
		p.fleet.RecordArrivals(model, d, at)
		p.fleet.RecordClassTraffic(*c, at)
		p.fleet.RecordRefused(model, c.Class, c.Refused, at)
	}
	p.fleet.SetRunning(r.running, at)
	if p.random.Float64() >= p.staleReplies {
		p.replies = append(p.replies, roomReply{at: now + roomLag, admit: p.fleet.Admissions(at), room: p.fleet.Room(at)})
	}
}
