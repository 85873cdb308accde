package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/martenport/martenport/command/skew"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
)

// Sending of the origins of streams that began before servers of a second software version appeared.
const (
	// unsentInterval is how long such streams may be without a copy of their origin.
	unsentInterval = 100 * time.Millisecond
	// maxOriginsPerCall bounds the origins in one call, about 60 B each.
	maxOriginsPerCall = 512
	// originCalls is the number of calls at a time.
	originCalls = 8
)

// runUnsent sends origins to the instances that keep them once there are several versions, until ctx ends.
func (o *streamOrigins) runUnsent(ctx context.Context) {
	for pause.For(ctx, unsentInterval) {
		for service := range o.dir.Versions() {
			if o.severalVersions(service) {
				o.handOver(ctx, service, "servers of a second software version have appeared")
			}
		}
	}
}

// severalVersions reports whether a service has several versions, or a streaming route leads to it and to one with other
// versions: a stream that a client resumes may be sent to either.
func (o *streamOrigins) severalVersions(service string) bool {
	if len(o.dir.MixedVersions()[service]) > 0 {
		return true
	}
	known, config := o.dir.Versions(), o.dir.Config()
	return config != nil && slices.ContainsFunc(config.Routes, func(r serving.Route) bool {
		return r.Kind == serving.Streaming && leadsTo(r.Targets, service) && slices.ContainsFunc(r.Targets, func(t serving.Target) bool {
			return len(known[t.Service]) > 0 && !slices.Equal(known[t.Service], known[service])
		})
	})
}

// leadsTo reports whether a service is among the targets of a route.
func leadsTo(targets []serving.Target, service string) bool {
	return slices.ContainsFunc(targets, func(t serving.Target) bool { return t.Service == service })
}

// handOverAll sends the origins that no other instance has, as this one is about to end: servers of a second version may
// appear while the streams can still be resumed.
func (o *streamOrigins) handOverAll(ctx context.Context) {
	for service := range o.dir.Versions() {
		o.handOver(ctx, service, "the instance ends")
	}
	o.resend(ctx)
}

// handOver sends the origins of a service's streams that no other instance has.
func (o *streamOrigins) handOver(ctx context.Context, service, reason string) {
	if entries := o.unsent.Take(service, clock.Now()); len(entries) > 0 {
		o.sendUnsent(ctx, entries, reason)
	}
}

// sendUnsent records origins here and sends them to all instances that may keep them.
func (o *streamOrigins) sendUnsent(ctx context.Context, entries []skew.Entry, reason string) {
	for _, e := range entries { // at once: they are not among the unsent any more, and clients may ask for them
		o.table.Record(e.Attempt, e.Origin, clock.Now())
	}
	kept, instances := o.sendBatch(ctx, entries)
	for _, e := range entries {
		if !kept[e.Attempt] {
			o.unkept.add(unkeptOrigin{e, clock.Now()})
		}
	}
	o.logSent(len(entries), instances, reason)
}

// sendBatch sends origins to all instances that may keep them. It returns the attempts of those that an instance keeps, or that
// no other one is there for, and the number of instances that they were sent to.
func (o *streamOrigins) sendBatch(ctx context.Context, entries []skew.Entry) (kept map[string]bool, instances int) {
	kept = map[string]bool{}
	byKeeper := map[string][]skew.Entry{}
	for _, e := range entries {
		candidates, _ := o.keepers(ctx, e.Attempt)
		kept[e.Attempt] = len(candidates) == 0
		for _, address := range slices.Concat(candidates...) {
			byKeeper[address] = append(byKeeper[address], e)
		}
	}
	var mu sync.Mutex // guards kept
	var calls errgroup.Group
	calls.SetLimit(originCalls)
	for address, origins := range byKeeper {
		for chunk := range slices.Chunk(origins, maxOriginsPerCall) {
			calls.Go(func() error {
				sent := o.sendChunk(ctx, address, chunk)
				mu.Lock()
				defer mu.Unlock()
				for _, e := range chunk {
					kept[e.Attempt] = kept[e.Attempt] || sent
				}
				return nil
			})
		}
	}
	_ = calls.Wait() // no call returns an error
	maps.DeleteFunc(kept, func(_ string, sent bool) bool { return !sent })
	return kept, len(byKeeper)
}

func (o *streamOrigins) logSent(streams, instances int, reason string) {
	o.log.WithFields(logrus.Fields{"streams": streams, "instances": instances}).Info("origins of streams sent, " + reason)
}

// sendChunk sends origins to an instance, and reports whether it keeps them.
func (o *streamOrigins) sendChunk(ctx context.Context, address string, entries []skew.Entry) bool {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	err := o.pool.Call(ctx, address, methodRecordOrigins, &RecordOriginsArgs{Entries: entries}, &RecordOriginReply{})
	outcome := "sent"
	if err != nil {
		outcome = "failed"
	}
	o.set.GetOrCreateCounter(`martenport_stream_origins_sent_total{outcome="` + outcome + `"}`).Add(len(entries))
	return err == nil
}
