package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// renewalsLost is the number of renewals of the lease that the copy of the store lacks.
	renewalsLost = 7
	// storeLatency is the store's time for an answer, as on the sheet.
	storeLatency = 4 * time.Millisecond
	// maxFrozen is the longest freeze of a machine on the site's days.
	maxFrozen = 7400 * time.Millisecond
)

// leaseRecord is the part of the record of the system's lease that this case looks at: when to end the freeze.
type leaseRecord struct {
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
}

// lease returns the record of the lease and its revision.
func (s *objectStore) lease() (r leaseRecord, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.objects["leases"] {
		_ = json.Unmarshal(o.Spec, &r) // of the system, which writes JSON
		revision = o.Metadata.Revision
	}
	return r, revision
}

// sameFence: the holder is frozen while the store is away and comes back from a copy. Another machine becomes the holder. The
// first one goes on when the lease has the revision again that it had before.
func sameFence(d *deployment) ([]string, error) {
	models := engineModels("m1", "m2", "m3", "m4", "m5", "m6", "m7")
	d.store.latency = storeLatency
	d.store.put("config", "main", limitedConfiguration(engineSpec(engineMemoryMB, models)))
	s := newServer(serverParams{id: "i-7f3a91c2", service: engineService, zone: "ulemiste", models: models, weightsMB: engineMemoryMB, pause: 20 * time.Millisecond, events: 5}, d.store, d.log)
	if err := s.start(d.address(21), "r1", "m1", "m2", "m3"); err != nil {
		return nil, err
	}
	if err := d.start(keyBounds); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	defer clients.Wait()
	defer close(stop)
	for _, i := range d.instances {
		clients.Go(func() { d.askAlways(i, "m1", stop) })
	}
	d.pause(2 * time.Second)
	for round := range maxRounds {
		taken, err := d.freezeHolder(s, coldModels[round])
		if err != nil {
			return nil, err
		}
		if taken || !d.trouble {
			break
		}
	}
	d.pause(12 * time.Second)
	d.log.say("%d of the last %d answers to requests, all machines together, are 200", d.servedOf(lastAnswers), lastAnswers)
	now, _ := d.store.lease()
	restarted := d.otherThan(now.Holder, d.second)
	restarted.signal(syscall.SIGTERM)
	<-restarted.ended
	if err := restarted.start(false); err != nil {
		return nil, err
	}
	d.log.say("%s was stopped and has started again", restarted.name)
	clients.Go(func() { d.askAlways(restarted, lastModel, stop) })
	d.pause(10 * time.Second)
	return s.fencesOfTwo(), nil
}

// maxRounds is how often the disruption is played at most, until another machine takes the lease from the one that took it.
const maxRounds = 3

// coldModels are those that are requested in each round, and lastModel the one at the end.
var coldModels = []string{"m4", "m5", "m6"}

const lastModel = "m7"

// freezeHolder freezes the holder while the store is away and comes back from a copy, until the machine that has taken the lease
// has sent orders and the lease is at its revision of before. It reports whether a third record of the lease followed, under the
// fence number of the second one.
func (d *deployment) freezeHolder(s *server, cold string) (taken bool, err error) {
	first, _ := d.store.lease()
	saved, revision := d.copyAndWait(renewalsLost)
	if saved.objects == nil {
		return false, fmt.Errorf("the lease is not renewed, or something else changes")
	}
	holder := d.instanceNamed(first.Holder)
	frozen := time.Now()
	if d.trouble {
		holder.signal(syscall.SIGSTOP)
		d.store.setState(busy)
		d.log.say("%s, the holder, is frozen; the store is away; the lease is at revision %d", holder.name, revision)
		d.pause(300 * time.Millisecond)
		d.store.restore(saved)
		d.store.setState(serving)
		d.log.say("the store is back from a copy at revision %d", saved.revision)
	}
	stop := make(chan struct{})
	defer close(stop)
	for _, i := range d.instances {
		go d.askAlways(i, cold, stop)
	}
	if !d.trouble {
		d.pause(5 * time.Second)
		return false, nil
	}
	reached := d.await(time.Until(frozen.Add(maxFrozen)), func() bool {
		now, at := d.store.lease()
		return now.Holder != first.Holder && at == revision && s.orderedBy(now)
	})
	second, at := d.store.lease()
	holder.signal(syscall.SIGCONT)
	d.second = second.Holder
	d.log.say("%s goes on after %.1f s; the lease is %s's at revision %d, fence %d; at the revision of before: %t", holder.name, time.Since(frozen).Seconds(), second.Holder, at, second.Fence, reached)
	taken = d.await(4*time.Second, func() bool {
		now, _ := d.store.lease()
		return now.Fence == second.Fence && now.Holder != second.Holder
	})
	if taken {
		now, _ := d.store.lease()
		d.log.say("%s has taken the lease with fence %d", now.Holder, now.Fence)
	}
	return taken, nil
}

// lastAnswers is how many answers are looked at for the record.
const lastAnswers = 100

// servedOf returns how many of the last n answers are successes.
func (d *deployment) servedOf(n int) (served int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, status := range d.statuses[max(0, len(d.statuses)-n):] {
		if status == 200 {
			served++
		}
	}
	return served
}

// otherThan returns an instance with none of the names.
func (d *deployment) otherThan(names ...string) *instance {
	for _, i := range d.instances {
		if !slices.Contains(names, i.name) {
			return i
		}
	}
	return d.instances[0]
}

// limitedConfiguration has a tenant with an allowance, so that the holder renews the lease once a second.
func limitedConfiguration(engine map[string]any) map[string]any {
	c := configuration(1, map[string][]string{"gallery": {keptKey}}, engine)
	c["tenants"].([]any)[0].(map[string]any)["ratePerS"] = 1000
	c["tenants"].([]any)[0].(map[string]any)["burst"] = 1000
	return c
}

// askAlways sends requests for a model to an instance until stop is closed.
func (d *deployment) askAlways(i *instance, name string, stop chan struct{}) {
	for d.ctx.Err() == nil {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		a := send(d.ctx, request{to: i.frontend(), path: streamPath + "photo", key: keptKey, model: name, deadline: 2 * time.Second})
		d.log.add("%s for %s at %s: status %d, error %v", a.attempt, name, i.name, a.status, a.err)
		d.mu.Lock()
		d.statuses = append(d.statuses, a.status)
		d.mu.Unlock()
	}
}

// copyAndWait copies the store and waits until the lease has been renewed n times, and nothing else has changed. It returns the
// copy and the lease's revision.
func (d *deployment) copyAndWait(n int64) (backup, int64) {
	for range 3 {
		saved := d.store.copy()
		revision := int64(0)
		done := func() bool {
			_, revision = d.store.lease()
			return revision >= saved.revision+n
		}
		if d.await(15*time.Second, done) && revision == saved.revision+n {
			return saved, revision
		}
	}
	return backup{}, 0
}

func (d *deployment) instanceNamed(name string) *instance {
	for _, i := range d.instances {
		if i.name == name {
			return i
		}
	}
	return d.instances[0]
}

// orderedBy reports whether the holder of a lease has sent the server an order under it.
func (s *server) orderedBy(l leaseRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.orders {
		if o.Holder == l.Holder && o.Fence == l.Fence {
			return true
		}
	}
	return false
}

// fencesOfTwo returns the orders that bear a fence number under which another holder had sent orders to the server.
func (s *server) fencesOfTwo() (broken []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holders := map[int64]string{}
	for _, o := range s.orders {
		if known := holders[o.Fence]; known != "" && known != o.Holder {
			broken = append(broken, fmt.Sprintf("ONE: %s orders %s of %s with fence number %d, which %s has used", o.Holder, o.Operation, o.Model, o.Fence, known))
		}
		holders[o.Fence] = o.Holder
	}
	return broken
}
