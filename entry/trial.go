package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/forward"
	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/internal/pause"
	"github.com/martenport/martenport/serving"
)

// requestTrial asks the holder whether a suspect may run alone.
func (f *follower) requestTrial(ctx context.Context, t quarantine.Trial, version string, maxRun time.Duration) (bool, error) {
	record, live := f.liveHolder()
	if !live {
		return false, forward.ErrNoHolder
	}
	var reply TrialReply
	args := &TrialArgs{Trial: t, Version: version, LongestMS: maxRun.Milliseconds(), Known: f.ledger.Known(t.Fingerprint, clock.Now())}
	if err := f.call(ctx, record, callTimeout, methodTrial, args, &reply); err != nil {
		go f.endTrial(t, false) // it may have been granted, and then no other runs until it is over
		return false, errors.Wrap(forward.ErrNoHolder, err.Error())
	}
	f.onRaised(f.ledger.Take(reply.Known, clock.Now()))
	if !reply.Held {
		return false, forward.ErrNoHolder
	}
	return reply.Granted, nil
}

// consultTimeout bounds one question of what is known of a request, which is about to be sent:
// many round trips between failure domains.
const consultTimeout = 200 * time.Millisecond

// consult exchanges with the holder what is known of a request.
func (f *follower) consult(ctx context.Context, fp serving.Fingerprint) error {
	record, live := f.liveHolder()
	if !live {
		return forward.ErrNoHolder
	}
	var reply ConsultReply
	args := &ConsultArgs{Fingerprint: fp, Known: f.ledger.Known(fp, clock.Now())}
	if err := f.call(ctx, record, consultTimeout, methodConsult, args, &reply); err != nil {
		return errors.Wrap(forward.ErrNoHolder, err.Error())
	}
	f.onRaised(f.ledger.Take(reply.Known, clock.Now()))
	f.log.WithFields(logrus.Fields{"fingerprint": fp, "holder": record.Holder, "state": f.ledger.State(fp)}).Info("holder asked before a request is sent under which a server ended")
	return nil
}

// endTrial tells the holder that a trial is over. If the word is lost, the trial is over
// after its longest time.
func (f *follower) endTrial(t quarantine.Trial, inconclusive bool) {
	f.mu.Lock()
	record := f.record
	f.mu.Unlock()
	_ = f.call(context.Background(), record, callTimeout, methodTrial, &TrialArgs{Trial: t, Over: true, Doubtful: inconclusive, Known: f.ledger.Known(t.Fingerprint, clock.Now())}, &TrialReply{})
}

// applyCrashes takes over what the one that was reported to knows of requests under which
// servers end.
func (f *follower) applyCrashes(sent, answer quarantine.Message, now time.Time) {
	f.mu.Lock()
	link := f.link
	f.mu.Unlock()
	f.onRaised(f.ledger.Told(&link, sent, answer, now))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.link = link
}

// reportProgress returns how many reports in a row the holder has not answered, and through which
// change of the ledger it has been told.
func (f *follower) reportProgress() (unanswered int, delivered uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.unansweredReports, f.link.Sent()
}

// triggerReport has the next report be sent at once.
func (f *follower) triggerReport() { pause.Wake(f.reportNowRequested) }
