package forward

import (
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/verdict"
)

// logFields returns the fields that identify the request in log lines.
func (t *transaction) logFields() logrus.Fields {
	fields := logrus.Fields{
		"request": t.request.ID, "route": t.route.Name, "config": t.config.Version, "sends": t.sends,
		"ms": clock.Since(t.request.Arrived).Milliseconds(), "fingerprint": t.request.Fingerprint,
		"client": t.request.ClientAddress, "body_bytes": len(t.request.Body),
	}
	if t.request.Unit.Model != "" {
		fields["unit"] = t.request.Unit.String()
	}
	if name := t.workspaceName(); name != "" {
		fields["workspace"] = name
	}
	if t.serverVersion != "" {
		fields["version"], fields["born"], fields["bound"] = t.serverVersion, t.serverBorn, t.version
	}
	if t.request.LastEventID != "" {
		fields["after"], fields["resumes"] = t.request.LastEventID, t.request.Resumes
	}
	return fields
}

// finish counts and logs the outcome of the request.
func (t *transaction) finish(failure *verdict.Failure) {
	t.recordRefusal(failure)
	t.f.counts.requestEnded(failure, clock.Since(t.request.Arrived))
	if !t.logsFailure(failure) {
		return
	}
	fields := t.logFields()
	fields["server"], fields["priority"], fields["objective_ms"] = t.server, t.route.Priority, t.route.Objective.Milliseconds()
	fields["waited_ms"], fields["waited_for"], fields["promised_ms"] = t.waits.total().Milliseconds(), t.waits.longestCause(), t.waits.estimate.Milliseconds()
	if !t.out.firstEvent.IsZero() {
		fields["first_ms"], fields["pause_ms"] = t.out.firstEvent.Sub(t.request.Arrived).Milliseconds(), t.out.longestPause.Milliseconds()
	}
	if t.speed.relative > 0 && t.speed.relative != 1 {
		fields["engine_speed"] = t.speed.relative
	}
	if held := t.serverLimits.unavailableServers(); held != "" {
		fields["held_back"] = held
	}
	if t.via != "" {
		fields["via"] = t.via
	}
	if t.endsWithConnection {
		fields["framing"] = "none"
	}
	if t.onlyRun != nil {
		fields["backups"] = t.onlyRun.copyIDs()
	}
	if failure == nil {
		fields["status"] = t.out.status
		t.f.log.WithFields(fields).Info("request answered")
		return
	}
	fields["verdict"], fields["reason"], fields["retry_after_ms"] = failure.Verdict, failure.Reason, failure.RetryAfter.Milliseconds()
	t.f.log.WithFields(fields).Info("request not answered: " + failure.Detail)
}
