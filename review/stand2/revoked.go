package main

import (
	"fmt"
	"sync"
	"time"
)

// revokeBound is revokeMs of the settings.
const revokeBound = 5 * time.Second

// silentFor is how long the store is silent, the longest such outage on the site's days.
const silentFor = 4500 * time.Millisecond

// Keys of the two tenants; the first one is taken away.
const (
	lostKey, keptKey = "key-of-gallery", "key-of-archive"
)

// keyTraffic sends requests with both keys to all instances until it is stopped.
type keyTraffic struct {
	d    *deployment
	stop chan struct{}
	done sync.WaitGroup

	mu   sync.Mutex
	sent map[string]sentKey
}

// sentKey is a request with a key.
type sentKey struct {
	key, to string
	at      time.Time
}

// keyInterval is the time between two requests with a key to one instance.
const keyInterval = 50 * time.Millisecond

func startKeyTraffic(d *deployment) *keyTraffic {
	t := &keyTraffic{d: d, stop: make(chan struct{}), sent: map[string]sentKey{}}
	for _, i := range d.instances {
		for _, key := range []string{lostKey, keptKey} {
			t.done.Go(func() { t.send(i, key) })
		}
	}
	return t
}

func (t *keyTraffic) send(i *instance, key string) {
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		select {
		case <-t.stop:
			return
		case <-time.After(keyInterval):
		}
		pending.Go(func() {
			a := send(t.d.ctx, request{to: i.frontend(), path: plainPath + "photo", key: key, deadline: 1500 * time.Millisecond})
			t.mu.Lock()
			t.sent[a.attempt] = sentKey{key: key, to: i.name, at: a.sent}
			t.mu.Unlock()
			t.d.log.add("%s with %s to %s: status %d, error %v", a.attempt, key, i.name, a.status, a.err)
		})
	}
}

// end stops the traffic and waits for the answers.
func (t *keyTraffic) end() {
	close(t.stop)
	t.done.Wait()
}

// runsLate returns the runs of requests with the key that was taken away which were sent later than the bound after the
// acknowledgement. It fails if the requests with the other key did not run.
func (t *keyTraffic) runsLate(s *server, acknowledged time.Time) (broken []string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := 0
	for _, r := range s.runs {
		q, known := t.sent[r.attempt]
		after := q.at.Sub(acknowledged)
		switch {
		case known && q.key == keptKey:
			kept++
		case known && after > revokeBound:
			broken = append(broken, fmt.Sprintf("CONFIG: %s was sent to %s with %s %.3f s after the acknowledgement that took the key away, and ran", r.attempt, q.to, q.key, after.Seconds()))
		}
	}
	t.d.log.say("%d requests sent, %d with the key that stays ran", len(t.sent), kept)
	if kept == 0 {
		return nil, fmt.Errorf("no request with the key that stays ran")
	}
	return broken, nil
}

// startKeys starts a plain server and the instances with a configuration in which both keys hold.
func startKeys(d *deployment) (*server, error) {
	d.store.put("config", "main", configuration(1, map[string][]string{"gallery": {lostKey}, "archive": {keptKey}}, nil))
	s := newServer(serverParams{id: "i-7f3a91c2", service: plainService, zone: "ulemiste"}, d.store, d.log)
	if err := s.start(d.address(21), "r1"); err != nil {
		return nil, err
	}
	return s, d.start(keyBounds)
}

// withoutKey is the configuration that takes the first key away.
func withoutKey() map[string]any {
	return configuration(3, map[string][]string{"gallery": {}, "archive": {keptKey}}, nil)
}

// revokedRestart: a key is taken away. In a drill the store comes back from a copy that is older than that, and a process
// that was killed meanwhile starts and reads the copy.
func revokedRestart(d *deployment) ([]string, error) {
	s, err := startKeys(d)
	if err != nil {
		return nil, err
	}
	t := startKeyTraffic(d)
	d.pause(2 * time.Second)
	saved := d.store.copy()
	d.pause(200 * time.Millisecond)
	d.store.put("config", "main", withoutKey())
	acknowledged := time.Now()
	d.log.say("a configuration without %s is acknowledged", lostKey)
	d.pause(5200 * time.Millisecond)
	if d.trouble {
		killed := d.instances[2]
		d.store.setState(busy)
		killed.kill()
		d.log.say("the store is away; %s is killed", killed.name)
		d.pause(500 * time.Millisecond)
		d.store.restore(saved)
		d.store.setState(serving)
		d.log.say("the store is back from a copy that is %.1f s old", time.Since(acknowledged).Seconds()+0.2)
		if err := killed.start(false); err != nil {
			return nil, err
		}
		d.pause(1500 * time.Millisecond)
		d.store.put("config", "main", withoutKey())
		d.log.say("the operator has written the configuration again")
	}
	d.pause(4 * time.Second)
	t.end()
	return t.runsLate(s, acknowledged)
}

// revokedDeaf: a key is taken away while watches of the store hear nothing for a second. Then the history is dropped, the
// watches are cut, and the store is down.
func revokedDeaf(d *deployment) ([]string, error) {
	s, err := startKeys(d)
	if err != nil {
		return nil, err
	}
	t := startKeyTraffic(d)
	d.pause(3 * time.Second)
	began := time.Now()
	if d.trouble {
		d.await(2*time.Second, func() bool {
			for _, age := range d.store.configWatches() {
				if age > 250*time.Millisecond && age < 320*time.Millisecond {
					return true
				}
			}
			return false
		})
		began = time.Now()
		d.store.beginDeaf()
		d.log.say("watches hear nothing")
	}
	d.store.put("config", "main", withoutKey())
	acknowledged := time.Now()
	d.log.say("a configuration without %s is acknowledged", lostKey)
	if d.trouble {
		d.pause(time.Until(began.Add(time.Second)))
		d.store.setState(silent)
		d.store.compact()
		d.log.say("the history is dropped, watches are cut, the store is down")
	}
	d.pause(silentFor)
	d.store.setState(serving)
	if d.trouble {
		d.log.say("the store is back")
	}
	d.pause(4 * time.Second)
	t.end()
	return t.runsLate(s, acknowledged)
}
