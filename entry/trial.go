package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
)

// requestTrial asks the holder whether a suspect request may run alone, for maxRun at most, on a server
// whose software has the given version.
func (f *follower) requestTrial(ctx context.Context, t quarantine.Trial, i quarantine.Identity, version string, maxRun time.Duration) (bool, error) {
	record, live := f.liveHolder()
	if !live {
		return false, forward.ErrNoHolder
	}
	var reply TrialReply
	args := &TrialArgs{Trial: t, Identity: i, Version: version, LongestMS: maxRun.Milliseconds(), Known: f.ledger.RecordsOfIdentity(i, clock.Now())}
	if err := f.call(ctx, record, callTimeout, methodTrial, args, &reply); err != nil {
		go f.endTrial(t, i, false) // the trial may have been granted, and no other runs until it ends
		return false, errors.Wrap(forward.ErrNoHolder, err.Error())
	}
	f.onEscalations(f.ledger.Merge(reply.Known, clock.Now()))
	if !reply.Held {
		return false, forward.ErrNoHolder
	}
	return reply.Granted, nil
}

// consultTimeout bounds one query to the holder for the state of a client request that is about to be
// sent. It is long enough for several round trips between failure domains.
const consultTimeout = 200 * time.Millisecond

// consult exchanges the state of a request with the holder.
func (f *follower) consult(ctx context.Context, i quarantine.Identity) error {
	record, live := f.liveHolder()
	if !live {
		return forward.ErrNoHolder
	}
	var reply ConsultReply
	args := &ConsultArgs{Fingerprint: i.Fingerprint, Identity: i, Known: f.ledger.RecordsOfIdentity(i, clock.Now())}
	if err := f.call(ctx, record, consultTimeout, methodConsult, args, &reply); err != nil {
		return errors.Wrap(forward.ErrNoHolder, err.Error())
	}
	f.onEscalations(f.ledger.Merge(reply.Known, clock.Now()))
	state, cause := f.ledger.Assess(i, "")
	f.log.WithFields(logrus.Fields{"fingerprint": i.Fingerprint, "holder": record.Holder, "state": state, "cause": cause}).Info("holder asked before a request is sent under which a server ended")
	return nil
}

// endTrial reports to the holder that a trial has ended. If the report is lost, the trial ends at the
// holder after its maximum duration.
func (f *follower) endTrial(t quarantine.Trial, i quarantine.Identity, inconclusive bool) {
	f.mu.Lock()
	record := f.record
	f.mu.Unlock()
	_ = f.call(context.Background(), record, callTimeout, methodTrial, &TrialArgs{Trial: t, Over: true, Doubtful: inconclusive, Known: f.ledger.RecordsOfIdentity(i, clock.Now())}, &TrialReply{})
}

// applyCrashes merges the answer to a report about requests under which servers ended.
func (f *follower) applyCrashes(sent, answer quarantine.Message, now time.Time) {
	f.mu.Lock()
	link := f.link
	f.mu.Unlock()
	f.onEscalations(f.ledger.HandleReply(&link, sent, answer, now))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.link = link
}

// reportProgress returns the number of consecutive reports that the holder has not answered, and the
// revision of the ledger up to which the holder has its changes.
func (f *follower) reportProgress() (unansweredCount int, delivered uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unansweredReports, f.link.SentRevision()
}
