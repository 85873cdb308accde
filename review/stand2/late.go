package main

import (
	"fmt"
	"sync"
	"time"
)

// Sizes of engines and models, as on the sheet: three models fit.
const (
	engineMemoryMB, modelMB = 230000, 72700
	diskLoad                = 840 * time.Millisecond
)

func engineModels(names ...string) map[string]model {
	models := map[string]model{}
	for _, name := range names {
		models[name] = model{weightsMB: modelMB, disk: diskLoad}
	}
	return models
}

// lateAfter is how long after it was sent the unanswered order is carried out at the latest.
const lateAfter = 11 * time.Second

// lateOrder: an order to load a model gets no answer and is carried out late. Meanwhile the engine has crashed and started
// again under its id, and has been ordered to load as many models as fit.
func lateOrder(d *deployment) ([]string, error) {
	models := engineModels("m1", "m2", "m3", "m4", "m5", "m6", "b1", "b2", "b3", "b4", "b5", "b6", "b7", "b8", "b9")
	d.store.put("config", "main", configuration(1, nil, engineSpec(engineMemoryMB, models)))
	s := newServer(serverParams{id: "i-7f3a91c2", service: engineService, zone: "ulemiste", models: models, weightsMB: engineMemoryMB, pause: 20 * time.Millisecond, events: 5}, d.store, d.log)
	if err := s.start(d.address(21), "r1", "m1", "m2", "m3"); err != nil {
		return nil, err
	}
	stop, err := d.startBusy(models)
	if err != nil {
		return nil, err
	}
	defer stop()
	if err := d.start(smallBounds); err != nil {
		return nil, err
	}
	d.pause(3 * time.Second)
	ask := func(n int, name string, longest time.Duration) answer {
		a := send(d.ctx, request{to: d.instances[n%len(d.instances)].frontend(), path: streamPath + "photo", model: name, deadline: longest})
		d.log.add("%s for %s: status %d, %d bytes, error %v", a.attempt, name, a.status, len(a.body), a.err)
		return a
	}
	if !d.await(20*time.Second, func() bool { return ask(0, "m4", 8*time.Second).status == 200 }) {
		return nil, fmt.Errorf("m4 is not loaded")
	}
	if !d.await(20*time.Second, func() bool { return ask(2, "m6", 8*time.Second).status == 200 }) {
		return nil, fmt.Errorf("m6 is not loaded")
	}
	d.pause(time.Second)
	s.mu.Lock()
	before := s.sequence
	if d.trouble {
		s.lateBy = lateAfter
	}
	s.mu.Unlock()
	d.log.say("sequence %d; m5 is requested", before)
	go ask(1, "m5", time.Second)
	lost := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.late) > 0
	}
	if d.trouble {
		if !d.await(10*time.Second, lost) {
			return nil, fmt.Errorf("no load was ordered")
		}
		d.pause(100 * time.Millisecond)
		s.crash()
		d.pause(1200 * time.Millisecond)
		if err := s.start(d.address(21), "r1"); err != nil {
			return nil, err
		}
		d.log.say("the engine has started again under its id")
	}
	d.pause(2 * time.Second) // the client of m5 has left
	var clients sync.WaitGroup
	until := time.Now().Add(lateAfter)
	for n, name := range []string{"m1", "m4", "m6"} {
		clients.Go(func() {
			for time.Now().Before(until) && d.ctx.Err() == nil {
				ask(n, name, 4*time.Second)
				d.pause(200 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	ran := len(s.runs)
	d.log.say("%d requests ran", ran)
	if ran < 5 {
		return nil, fmt.Errorf("only %d requests ran", ran)
	}
	var broken []string
	for _, o := range s.overloads {
		broken = append(broken, "LIMIT: "+o+"; the engine crashes")
	}
	return broken, nil
}

// startBusy starts three more engines, full of models that are asked for all the time. It returns a function that ends the requests.
func (d *deployment) startBusy(models map[string]model) (stop func(), err error) {
	for n := range 3 {
		p := serverParams{id: fmt.Sprintf("i-busy%d", n), service: engineService, zone: []string{"ulemiste", "kadaka", "pirita"}[n], models: models, weightsMB: engineMemoryMB, pause: 20 * time.Millisecond, events: 5}
		s := newServer(p, d.store, d.log)
		if err := s.start(d.address(22+n), "r1", busyModels(n)...); err != nil {
			return nil, err
		}
	}
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 3 {
		for _, name := range busyModels(n) {
			clients.Go(func() { d.keepBusy(d.instances[n], name, ended) })
		}
	}
	return func() { close(ended); clients.Wait() }, nil
}

func busyModels(n int) []string {
	return []string{fmt.Sprintf("b%d", 3*n+1), fmt.Sprintf("b%d", 3*n+2), fmt.Sprintf("b%d", 3*n+3)}
}

// keepBusy sends requests for a model to an instance until ended is closed.
func (d *deployment) keepBusy(i *instance, name string, ended chan struct{}) {
	for d.ctx.Err() == nil {
		select {
		case <-ended:
			return
		case <-time.After(40 * time.Millisecond):
		}
		a := send(d.ctx, request{to: i.frontend(), path: streamPath + "photo", model: name, deadline: 3 * time.Second})
		d.log.add("%s for %s at %s: status %d, error %v", a.attempt, name, i.name, a.status, a.err)
	}
}
