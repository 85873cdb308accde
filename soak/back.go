package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
)

// askedAtOnce is how many instances the last checks ask at the same time.
const askedAtOnce = 8

// comesBack checks that each instance serves again, by the newest configuration.
func (r *run) comesBack(ctx context.Context) []Breach {
	if err := r.await(ctx, "configuration", func() bool { return r.configure(ctx) == nil }); err != nil {
		return []Breach{{"the store is back", err.Error()}}
	}
	version := r.version()
	found := make([][]Breach, len(r.entries))
	var work sync.WaitGroup
	room := make(chan struct{}, askedAtOnce)
	for i := range r.entries {
		work.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			found[i] = r.serves(ctx, i, version)
		})
	}
	work.Wait()
	var all []Breach
	for _, of := range found {
		all = append(all, of...)
	}
	return all
}

// serves checks that an instance serves each route and model, and no dropped route.
func (r *run) serves(ctx context.Context, entry int, version int64) []Breach {
	var found []Breach
	for n, what := range append([]string{versionRoute(version), "unsafe", "keep"}, models...) {
		t := try{route: what}
		if n >= 3 {
			t = try{route: "stream", model: what}
		}
		attempt := 0
		err := r.await(ctx, what, func() bool {
			attempt++
			t.id = fmt.Sprintf("back-%d-%s-%d", entry, what, attempt)
			t.send(r.entryAddress(entry))
			return t.status == http.StatusOK && t.whole
		})
		if err != nil {
			found = append(found, Breach{"everything is served again after the faults", fmt.Sprintf("entry-%d: %s: status %d", entry, what, t.status)})
		}
	}
	old := try{id: fmt.Sprintf("back-%d-old", entry), route: versionRoute(version - 1)}
	if old.send(r.entryAddress(entry)); old.status != http.StatusNotFound {
		found = append(found, Breach{"an accepted configuration does not revert", fmt.Sprintf("entry-%d serves a dropped route: status %d", entry, old.status)})
	}
	return found
}
