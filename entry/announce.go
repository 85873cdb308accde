package entry

import (
	"context"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/martenport/martenport/command/lease"
)

// A new holder announces itself to all instances. Without that, each instance looks for it in the
// store repeatedly once the previous holder has stopped answering: 195 instances then make about
// 1,200 reads per lost holder and get the new holder's updates up to 0.8 s later. Announcements only
// decide which instance the others send their reports and their requests for the holder to. The right
// to order loads rests on the record in the store alone.

// maxConcurrentCalls is how many instances are called concurrently. A few hundred are called within
// some tens of round trips, and their first reports do not all arrive at once.
const maxConcurrentCalls = 16

// announce notifies all other instances that this one holds the lease.
func (f *follower) announce(ctx context.Context) {
	f.mu.Lock()
	record := f.record
	f.mu.Unlock()
	if record.Holder != f.name {
		return // another instance has taken over meanwhile and announces itself
	}
	addresses := f.members.others(ctx)
	// An instance that is not reached finds the record in the store.
	callAll(addresses, func(address string) { f.announceTo(ctx, address, record) })
	f.log.WithFields(logrus.Fields{"fence": record.Fence, "instances": len(addresses)}).Info("lease announced")
}

// callAll calls each instance, maxConcurrentCalls of them concurrently, and returns when all calls
// have ended.
func callAll(addresses []string, call func(address string)) {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentCalls)
	for _, address := range addresses {
		calls.Go(func() error {
			call(address)
			return nil
		})
	}
	_ = calls.Wait() // no call returns an error
}

func (f *follower) announceTo(ctx context.Context, address string, record lease.Record) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = f.pool.Call(ctx, address, methodAnnounce, &AnnounceArgs{Record: record}, &AnnounceReply{})
}

// handleAnnouncement applies the record that a new holder has announced, and reports to it at once.
func (f *follower) handleAnnouncement(record lease.Record) {
	f.applyRecord(record, "holder")
	f.reportNow()
}
