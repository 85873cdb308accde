package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
)

// recoveryConcurrency is the number of instances that the last checks query concurrently.
const recoveryConcurrency = 8

// checkRecovery checks that each instance serves requests again, with the newest configuration.
func (r *run) checkRecovery(ctx context.Context) []Violation {
	if err := r.await(ctx, "configuration", func() bool { return r.writeConfig(ctx) == nil }); err != nil {
		return []Violation{{"the store is back", err.Error()}}
	}
	version := r.version()
	found := make([][]Violation, len(r.entries))
	var wg sync.WaitGroup
	slots := make(chan struct{}, recoveryConcurrency)
	for i := range r.entries {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			found[i] = r.checkEntry(ctx, i, version)
		})
	}
	wg.Wait()
	var all []Violation
	for _, perEntry := range found {
		all = append(all, perEntry...)
	}
	return all
}

// checkEntry checks that an instance serves each route and model, and no removed route.
func (r *run) checkEntry(ctx context.Context, entry int, version int64) []Violation {
	var found []Violation
	for n, target := range append([]string{versionRoute(version), "unsafe", "keep"}, models...) {
		req := clientRequest{route: target}
		if n >= 3 {
			req = clientRequest{route: "stream", model: target}
		}
		attempts := 0
		err := r.await(ctx, target, func() bool {
			attempts++
			req.id = fmt.Sprintf("back-%d-%s-%d", entry, target, attempts)
			req.send(r.entryAddress(entry))
			return req.status == http.StatusOK && req.complete
		})
		if err != nil {
			found = append(found, Violation{"everything is served again after the faults", fmt.Sprintf("entry-%d: %s: status %d", entry, target, req.status)})
		}
	}
	old := clientRequest{id: fmt.Sprintf("back-%d-old", entry), route: versionRoute(version - 1)}
	if old.send(r.entryAddress(entry)); old.status != http.StatusNotFound {
		found = append(found, Violation{"an accepted configuration does not revert", fmt.Sprintf("entry-%d serves a dropped route: status %d", entry, old.status)})
	}
	return found
}
