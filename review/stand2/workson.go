package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// albumPause is the time between the events of the streams that must not be repeated.
	albumPause = 150 * time.Millisecond
	// albumEvents is the number of their events.
	albumEvents = 80
	// cutFor is how long the engine is cut off from the store, and entryLifetime after how much of that its entry is removed.
	cutFor, entryLifetime = 5 * time.Second, 3 * beatInterval
	// overlap is how long an engine may work on a request that has gone on at another one.
	overlap = 400 * time.Millisecond
)

// worksOn: an engine is cut off from the store, so that its entry is removed, and breaks off some answers. It works on the runs of
// these. The instances reach it all the while.
func worksOn(d *deployment) ([]string, error) {
	models := engineModels("m1")
	d.store.put("config", "main", configuration(1, nil, engineSpec(engineMemoryMB, models)))
	var engines []*server
	for n, zone := range []string{"ulemiste", "kadaka", "pirita", "ulemiste", "kadaka"} {
		p := serverParams{id: fmt.Sprintf("i-%d0c2", n+1), service: engineService, zone: zone, models: models, weightsMB: engineMemoryMB, pause: 2 * time.Millisecond, events: 10}
		s := newServer(p, d.store, d.log)
		if err := s.start(d.address(21+n), "r1", "m1"); err != nil {
			return nil, err
		}
		engines = append(engines, s)
	}
	for _, s := range engines {
		s.peer = func(address string) *server {
			for _, other := range engines {
				if other.address == address {
					return other
				}
			}
			return nil
		}
	}
	if err := d.start(smallBounds); err != nil {
		return nil, err
	}
	d.pause(3 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, i := range d.instances {
		for range 12 {
			clients.Go(func() { d.askOften(i, stop) })
		}
		for range 4 {
			clients.Go(func() {
				a := send(d.ctx, request{to: i.frontend(), path: albumPath + "album", model: "m1", deadline: 25 * time.Second})
				d.log.add("%s for an album at %s: status %d, %d events, error %v", a.attempt, i.name, a.status, strings.Count(a.body, "id: "), a.err)
			})
		}
	}
	d.pause(time.Second)
	var broken []string
	if d.trouble {
		broken = d.cutAndBreak(engines)
	}
	close(stop)
	clients.Wait()
	ran := 0
	for _, s := range engines {
		ran += len(s.runs)
	}
	d.log.say("%d requests ran", ran)
	return broken, nil
}

// askOften sends short requests that may be repeated until stop is closed.
func (d *deployment) askOften(i *instance, stop chan struct{}) {
	for d.ctx.Err() == nil {
		select {
		case <-stop:
			return
		case <-time.After(12 * time.Millisecond):
		}
		a := send(d.ctx, request{to: i.frontend(), path: streamPath + "photo", model: "m1", deadline: 3 * time.Second})
		d.log.add("%s for a caption at %s: status %d, %d events, error %v", a.attempt, i.name, a.status, strings.Count(a.body, "id: "), a.err)
	}
}

// cutAndBreak cuts an engine off from the store and breaks off answers. It returns descriptions of the streams that went on at
// another engine while that engine worked on them.
func (d *deployment) cutAndBreak(engines []*server) (twice []string) {
	x := engines[0]
	for _, s := range engines {
		if s.countActive(albumPath) > x.countActive(albumPath) {
			x = s
		}
	}
	x.mu.Lock()
	x.cutOff = true
	x.mu.Unlock()
	began := time.Now()
	d.log.say("%s is cut off from the store", x.params.id)
	d.pause(2 * time.Second)
	captions := 0
	for range 8 {
		if captions < 5 {
			captions += len(x.breakOff(streamPath, 1))
		}
		d.pause(120 * time.Millisecond)
	}
	d.pause(time.Until(began.Add(entryLifetime)))
	d.store.expire(x.params.id)
	d.log.say("the entry of %s is removed", x.params.id)
	d.pause(600 * time.Millisecond)
	second := x.breakOff(albumPath, 3)
	d.log.say("%s has broken off %d captions and %d albums since it was cut off, of %d requests that it ran", x.params.id, captions, len(second), x.ranSince(began))
	d.pause(overlap + 200*time.Millisecond)
	for _, work := range second {
		twice = append(twice, d.wentOn(engines, x, work)...)
	}
	d.pause(time.Until(began.Add(cutFor)))
	x.mu.Lock()
	x.cutOff = false
	x.mu.Unlock()
	return twice
}

// countActive returns the number of streams of a route that the server works on.
func (s *server) countActive(path string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, work := range s.active {
		if strings.HasPrefix(work.path, path) {
			n++
		}
	}
	return n
}

// ranSince returns the number of requests that the server began to run since a time.
func (s *server) ranSince(t time.Time) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.runs {
		if r.at.After(t) {
			n++
		}
	}
	return n
}

// breakOff breaks off the answers of up to n streams of a route, and returns these.
func (s *server) breakOff(path string, n int) (streams []*stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, work := range s.active {
		if len(streams) < n && strings.HasPrefix(work.path, path) {
			work.breakOff()
			streams = append(streams, work)
		}
	}
	return streams
}

// wentOn describes a stream that another engine began while x works on it for over 400 ms more.
func (d *deployment) wentOn(engines []*server, x *server, work *stream) (twice []string) {
	x.mu.Lock()
	active := x.active[work.attempt] == work
	x.mu.Unlock()
	for _, s := range engines {
		if s == x {
			continue
		}
		s.mu.Lock()
		for _, r := range s.runs {
			if since := time.Since(r.at); r.attempt == work.attempt && active && since > overlap {
				twice = append(twice, fmt.Sprintf("TWICE: %s went on at %s, and %s works on it %d ms later", work.attempt, r.server, x.params.id, since.Milliseconds()))
			}
		}
		s.mu.Unlock()
	}
	return twice
}
