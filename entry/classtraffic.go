package entry

import (
	"time"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/replicas"
	"github.com/martenport/martenport/serving"
)

// maxClassTraffic bounds the models and classes of one report.
const maxClassTraffic = 1024

// classTraffic counts requests by model and class since the last report to the holder. It is not safe for concurrent
// use.
type classTraffic struct {
	counts map[classOfModel]*replicas.ClassTraffic
}

type classOfModel struct {
	model string
	class serving.TrafficClass
}

// of returns the counts for a model and a class. It returns counts that are not reported if there are too many.
func (c *classTraffic) of(model string, room forward.RoomClass) *replicas.ClassTraffic {
	key := classOfModel{model, room.Class}
	if known := c.counts[key]; known != nil {
		return known
	}
	counts := &replicas.ClassTraffic{Service: room.Service, Model: model, Class: room.Class}
	if c.counts == nil {
		c.counts = map[classOfModel]*replicas.ClassTraffic{}
	}
	if len(c.counts) < maxClassTraffic {
		c.counts[key] = counts
	}
	return counts
}

func (c *classTraffic) recordArrival(model string, demand forward.Demand) {
	if demand.Room == nil {
		return
	}
	counts := c.of(model, *demand.Room)
	counts.Arrived++
	if demand.Returned {
		counts.Returned++
	}
}

func (c *classTraffic) recordAnswer(r forward.Run, ran time.Duration) {
	if r.Room == nil {
		return
	}
	counts := c.of(r.Unit.Model, *r.Room)
	counts.Answered++
	counts.RunTime += ran
}

// take returns the counts and begins new ones.
func (c *classTraffic) take() []replicas.ClassTraffic {
	list := make([]replicas.ClassTraffic, 0, len(c.counts))
	for _, counts := range c.counts {
		list = append(list, *counts)
	}
	clear(c.counts)
	return list
}

// recordRefused records the refusal of a request for lack of room that was not counted shortly before.
func (f *follower) recordRefused(model string, room forward.RoomClass) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.traffic.of(model, room).Refused++
}
