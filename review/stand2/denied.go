package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// slowWork is how long the servers work on a request; the sheet's longest is 450 ms.
	slowWork = 440 * time.Millisecond
	// crashGap is the time between the ends of the servers.
	crashGap = 150 * time.Millisecond
	// downTime is how long a server is down; up to 4.8 s on the site's days.
	downTime = 3 * time.Second
	// soundRequests are sent after the servers are back.
	soundRequests = 60
)

// refusedSound: all servers of the plain service crash, one after the other, while some requesters ask for the same picture, and
// are back after some seconds. From then on others ask for it.
func refusedSound(d *deployment) ([]string, error) {
	d.store.put("config", "main", configuration(1, nil, nil))
	var servers []*server
	for n, zone := range []string{"ulemiste", "kadaka", "pirita"} {
		s := newServer(serverParams{id: fmt.Sprintf("i-%d0c2", n+1), service: plainService, zone: zone, work: slowWork}, d.store, d.log)
		if err := s.start(d.address(21+n), "r1"); err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	if err := d.start(smallBounds); err != nil {
		return nil, err
	}
	d.pause(12 * time.Second) // the instances have run for long enough to know of all crashes
	var burst sync.WaitGroup
	for n := range 6 {
		burst.Go(func() { d.fetch(n, "wedding") })
	}
	d.pause(150 * time.Millisecond)
	if d.trouble {
		for _, s := range servers {
			s.crash()
			if s != servers[0] {
				d.pause(crashGap)
			}
		}
		d.pause(downTime)
		for _, s := range servers {
			if err := s.start("", "r1"); err != nil {
				return nil, err
			}
		}
	}
	burst.Wait()
	d.pause(time.Second)
	if d.trouble {
		if err := d.crashAgain(servers); err != nil {
			return nil, err
		}
	}
	d.pause(9 * time.Second)
	return d.countDenied()
}

// crashAgain lets one server crash once more while the picture is asked for again, and comes back after it has started.
func (d *deployment) crashAgain(servers []*server) error {
	running := make(chan *server, 16)
	for _, s := range servers {
		s.mu.Lock()
		s.onRun = func(run) {
			select {
			case running <- s:
			default:
			}
		}
		s.mu.Unlock()
	}
	go d.fetch(0, "wedding")
	select {
	case s := <-running:
		d.pause(crashGap)
		s.crash()
		d.pause(downTime)
		return s.start("", "r1")
	case <-time.After(5 * time.Second):
		return fmt.Errorf("no server runs the request")
	}
}

// fetch asks an instance for a picture, with the sheet's one retry, and returns the last answer.
func (d *deployment) fetch(n int, picture string) (a answer) {
	for try := range 2 {
		i := d.instances[(n+try)%len(d.instances)]
		a = send(d.ctx, request{to: i.frontend(), path: plainPath + picture, deadline: 1500 * time.Millisecond})
		d.log.add("%s for %s at %s: status %d, %.90q, error %v", a.attempt, picture, i.name, a.status, a.body, a.err)
		if a.err == nil && (a.status == 200 || a.status == 400) {
			break
		}
	}
	return a
}

// countDenied sends requests for the picture and, in between, for others, and returns how many of the first were denied.
func (d *deployment) countDenied() ([]string, error) {
	denied, served, others := 0, 0, 0
	for n := range soundRequests {
		a := d.fetch(n, "wedding")
		switch {
		case a.status == 400:
			denied++
		case a.status == 200:
			served++
		}
		if d.fetch(n, fmt.Sprintf("other-%d", n)).status == 200 {
			others++
		}
	}
	d.log.say("of %d requests for the picture %d got 400 and %d were served; of %d for others %d were served", soundRequests, denied, served, soundRequests, others)
	if others < soundRequests/2 {
		return nil, fmt.Errorf("the service is not back")
	}
	if denied <= 5+2*soundRequests/500 {
		return nil, nil
	}
	return []string{fmt.Sprintf("DENIED: %d of %d proper requests are ended with 400", denied, 2*soundRequests)}, nil
}
