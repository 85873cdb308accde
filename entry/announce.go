package entry

import (
	"context"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/martenport/martenport/command/lease"
)

// A new holder tells all instances that it is. Without that each of them looks for it in the
// store, again and again from the moment at which the one before has fallen silent: 195
// instances make some 1,200 reads for each loss, and have the word of the new holder up to
// 0.8 s later. Nothing rests on an announcement but where reports and questions are sent:
// who may order engines is decided by the record in the store alone.

// announceAtOnce is how many instances are told at the same time: a few hundred are done
// within some tens of round trips, and their first reports do not all come together.
const announceAtOnce = 16

// announce tells all other instances that this one is the holder.
func (f *follower) announce(ctx context.Context) {
	f.mu.Lock()
	record := f.record
	f.mu.Unlock()
	if record.Holder != f.name {
		return // another took over meanwhile, and announces itself
	}
	addresses := f.members.others(ctx)
	callAll(addresses, func(address string) { f.announceTo(ctx, address, record) }) // who is not reached finds the record
	f.log.WithFields(logrus.Fields{"fence": record.Fence, "instances": len(addresses)}).Info("lease announced")
}

// callAll calls each instance, announceAtOnce at the same time, and returns when all calls are over.
func callAll(addresses []string, call func(address string)) {
	var calls errgroup.Group
	calls.SetLimit(announceAtOnce)
	for _, address := range addresses {
		calls.Go(func() error {
			call(address)
			return nil
		})
	}
	_ = calls.Wait() // none fails the others
}

func (f *follower) announceTo(ctx context.Context, address string, record lease.Record) {
	ctx, cancel := context.WithTimeout(ctx, wantTimeout)
	defer cancel()
	_ = f.pool.Call(ctx, address, methodAnnounce, &AnnounceArgs{Record: record}, &AnnounceReply{})
}

// announced takes over what a new holder says of itself, and reports to it at once.
func (f *follower) announced(record lease.Record) {
	f.heardRecord(record, "holder")
	f.wake()
}
