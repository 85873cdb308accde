package standin

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/martenport/martenport/platform"
	"github.com/martenport/martenport/store"
)

// Announce writes the server's entry to the store at the given interval until ctx is done.
func (s *Server) Announce(ctx context.Context, p store.Store, every time.Duration) {
	for {
		key := platform.PrefixServers + s.params.ID
		version := store.Revision(0)
		if obj, err := p.Get(ctx, key); err == nil {
			version = obj.Version
		}
		if ctx.Err() != nil {
			return // the entry may have been removed since
		}
		_, _ = p.Put(ctx, key, s.entry(), version) // retried at the next interval
		select {
		case <-time.After(every):
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) entry() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entrySequence++
	var onDisk []string
	for name := range s.params.Models {
		onDisk = append(onDisk, name)
	}
	slices.Sort(onDisk)
	address := s.address
	if s.params.Announced != "" {
		address = s.params.Announced
	}
	value, _ := json.Marshal(map[string]any{
		"service": s.params.Service, "address": address, "zone": s.params.FailureDomain, "version": cmp.Or(s.params.Version, "v1"), "slots": s.params.slots(), "state": s.state,
		"coldLeftMs": 0, "sequence": s.entrySequence,
		"born": s.born, "models": s.models(), "available": map[string]any{"onDisk": onDisk},
	})
	return value
}

// models returns the loaded models with their adapters. s.mu must be held.
func (s *Server) models() []map[string]any {
	models := []map[string]any{}
	for name, adapters := range s.loaded {
		list := []string{}
		for a := range adapters {
			list = append(list, a)
		}
		slices.Sort(list)
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": list})
	}
	return models
}
