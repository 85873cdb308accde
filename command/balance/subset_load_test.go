package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Size and load of a sparseCluster.
const (
	sparseInstances = 83
	sparseEngines   = 140
	sparseDomains   = 3
	sparseModels    = 100
	hotEngines      = 12
	hotPerSecond    = 240
	coldPerSecond   = 130
	sparseReportAge = 660 * time.Millisecond
	sparseStep      = 20 * time.Millisecond
	sparseObjective = 800 * time.Millisecond
)

// sparseCluster plays many instances, each with few requests, in front of many engines: a hot model
// on hotEngines, and sparseModels models on one to three engines each.
type sparseCluster struct {
	random    *rand.Rand
	instances []*sparseInstance
	shares    float64 // sum of the instances' shares of requests
	models    [][]int // engines by model; the first model is hot
	running   [sparseEngines]int
	pending   []sparseRun

	// new connections for requests for the hot model and for others; requests of both
	hotNews, coldNews, requests, onTime int
	hotLoad                             [hotEngines]float64
	steps                               int
	peaks                               float64 // sum over the steps of the load of the busiest hot engine, as a multiple of the mean
}

// sparseIDs are the engines' IDs.
var sparseIDs = func() (ids [sparseEngines]string) {
	for e := range ids {
		ids[e] = fmt.Sprintf("engine-%d", e)
	}
	return ids
}()

// sparseInstance is an instance with its connections.
type sparseInstance struct {
	balancer *Balancer
	share    float64
	domain   int
	own      [sparseEngines]int
	reported [sparseEngines]int
	reportAt time.Time
	// idle are the times at which the idle connections to an engine were last used.
	idle [sparseEngines][]time.Time
}

// Open implements Connections.
func (i *sparseInstance) Open(id string) int {
	engine := slices.Index(sparseIDs[:], id)
	return i.own[engine] + len(i.idle[engine])
}

// sparseRun is a request in flight.
type sparseRun struct {
	at       time.Time
	instance *sparseInstance
	engine   int
	done     func(Outcome, time.Time)
}

// newSparseCluster returns a cluster; instances is the number that each instance is told, 0 for none.
func newSparseCluster(instances int, seed uint64) *sparseCluster {
	c := &sparseCluster{random: rand.New(rand.NewPCG(seed, 1))}
	for n := range sparseInstances {
		i := &sparseInstance{balancer: New(DefaultParams()), share: 0.2 + c.random.ExpFloat64(), domain: n % sparseDomains, reportAt: time.Now()}
		i.balancer.SetSubset(Subset{Instance: fmt.Sprintf("instance-%d", n), Instances: func() int { return instances }, Connections: i})
		c.instances, c.shares = append(c.instances, i), c.shares+i.share
	}
	hot := make([]int, hotEngines)
	for n := range hot {
		hot[n] = n
	}
	c.models = append(c.models, hot)
	for range sparseModels {
		c.models = append(c.models, c.random.Perm(sparseEngines)[:1+c.random.IntN(3)])
	}
	return c
}

// run plays the load for a given time; counts begin after the first quarter.
func (c *sparseCluster) run(length time.Duration) {
	start, hot, cold := time.Now(), 0.0, 0.0
	for at := time.Duration(0); at < length; at += sparseStep {
		now := time.Now()
		c.end(now)
		c.report(now)
		for hot += hotPerSecond * sparseStep.Seconds(); hot >= 1; hot-- {
			c.send(c.models[0], now, now.Sub(start) > length/4)
		}
		for cold += coldPerSecond * sparseStep.Seconds(); cold >= 1; cold-- {
			c.send(c.models[1+c.random.IntN(sparseModels)], now, now.Sub(start) > length/4)
		}
		if now.Sub(start) > length/4 {
			c.steps++
			for e := range c.hotLoad {
				c.hotLoad[e] += float64(c.running[e])
			}
			c.peaks += timesMean(c.running[:hotEngines])
		}
		time.Sleep(sparseStep)
	}
}

// end ends the requests that are due and closes connections that were idle for too long.
func (c *sparseCluster) end(now time.Time) {
	c.pending = slices.DeleteFunc(c.pending, func(r sparseRun) bool {
		if now.Before(r.at) {
			return false
		}
		r.done(Succeeded, now)
		r.instance.own[r.engine]--
		r.instance.idle[r.engine] = append(r.instance.idle[r.engine], now)
		c.running[r.engine]--
		return true
	})
	for _, i := range c.instances {
		for e, idle := range i.idle {
			if len(idle) == 0 {
				continue
			}
			i.idle[e] = slices.DeleteFunc(idle, func(used time.Time) bool { return now.Sub(used) >= keptAlive })
		}
	}
}

// report tells the instances that are due what the others run.
func (c *sparseCluster) report(now time.Time) {
	for n, i := range c.instances {
		offset := time.Duration(n) * sparseReportAge / sparseInstances
		if now.Sub(i.reportAt) < sparseReportAge && (now.Sub(i.reportAt) < offset || c.steps > 0 || len(c.pending) > 0) {
			continue
		}
		i.reportAt = now
		for e := range c.running {
			i.reported[e] = c.running[e] - i.own[e]
		}
	}
}

// send sends a request for a model that the given engines have. An engine takes longer the more
// requests it runs.
func (c *sparseCluster) send(engines []int, now time.Time, counted bool) {
	i := c.instance()
	candidates := make([]Candidate, 0, len(engines))
	for _, e := range engines {
		candidates = append(candidates, Candidate{
			ID: sparseIDs[e], SameDomain: e%sparseDomains == i.domain, Slots: 16, OthersInFlight: i.reported[e], ReportAge: now.Sub(i.reportAt),
		})
	}
	e := engines[i.balancer.Pick(candidates, now)]
	isNew := len(i.idle[e]) == 0
	if !isNew {
		i.idle[e] = i.idle[e][:len(i.idle[e])-1]
	}
	c.running[e]++
	i.own[e]++
	takes := 200*time.Millisecond + time.Duration(c.running[e])*25*time.Millisecond
	c.pending = append(c.pending, sparseRun{at: now.Add(takes), instance: i, engine: e, done: i.balancer.Start(sparseIDs[e], "")})
	if !counted {
		return
	}
	c.requests++
	if isNew && len(engines) == hotEngines {
		c.hotNews++
	} else if isNew {
		c.coldNews++
	}
	if takes <= sparseObjective {
		c.onTime++
	}
}

// instance returns an instance in proportion to its share.
func (c *sparseCluster) instance() *sparseInstance {
	at := c.random.Float64() * c.shares
	for _, i := range c.instances {
		if at -= i.share; at < 0 {
			return i
		}
	}
	return c.instances[0]
}

// timesMean returns the highest of loads as a multiple of their mean.
func timesMean[T int | float64](loads []T) float64 {
	sum := T(0)
	for _, load := range loads {
		sum += load
	}
	return float64(slices.Max(loads)) * float64(len(loads)) / max(1, float64(sum))
}

// TestSubsetSavesConnections: with a subset and preferred connections, instances open at most half
// as many connections for the hot model as before and no more for the others, the busiest engine is
// at most a tenth busier, over the whole time and at a time, and no fewer requests are on time.
func TestSubsetSavesConnections(t *testing.T) {
	var before, after sparseTotals
	for seed := range uint64(2) {
		synctest.Test(t, func(t *testing.T) {
			before.add(newSparseCluster(0, seed))
			after.add(newSparseCluster(sparseInstances, seed))
		})
	}
	t.Logf("before %+v", before)
	t.Logf("after  %+v", after)
	if after.HotNews*2 > before.HotNews || after.ColdNews > before.ColdNews {
		t.Error("too many new connections")
	}
	if after.Busiest > 1.1*before.Busiest || after.BusiestAtATime > 1.1*before.BusiestAtATime {
		t.Error("the busiest engine is too busy")
	}
	if after.OnTime < before.OnTime {
		t.Error("fewer requests are on time")
	}
}

// sparseTotals are the sums over plays.
type sparseTotals struct {
	HotNews, ColdNews, Requests, OnTime int
	Busiest, BusiestAtATime             float64
}

// add plays a cluster and adds what was seen.
func (s *sparseTotals) add(c *sparseCluster) {
	c.run(40 * time.Second)
	s.HotNews, s.ColdNews, s.Requests, s.OnTime = s.HotNews+c.hotNews, s.ColdNews+c.coldNews, s.Requests+c.requests, s.OnTime+c.onTime
	s.Busiest += timesMean(c.hotLoad[:])
	s.BusiestAtATime += c.peaks / float64(c.steps)
}
