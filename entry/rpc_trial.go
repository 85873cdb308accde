package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// TrialArgs asks the holder to let a suspect request run alone, or reports that it has ended.
type TrialArgs struct {
	quarantine.Trial
	// Identity is by what the request is recognized. Instances of earlier builds send its fingerprint only.
	Identity quarantine.Identity
	// Version is the version of the server's software. LongestMS is the maximum duration of the trial
	// in milliseconds.
	Version   string
	LongestMS int64
	// Over is whether the trial has ended. Doubtful is set with Over if it is unknown whether the
	// server has ended, or whether its end counts against the request.
	Over, Doubtful bool
	// Known is the instance's state of the request. It is sent along so that the holder knows a
	// trial's result before the trial ends there.
	Known []quarantine.Record
}

// TrialReply is the holder's answer. Held is false if the answering instance is not the holder, or if
// trials granted by the previous holder may still be running.
type TrialReply struct {
	Held, Granted bool
	// Known is the holder's state of the request.
	Known []quarantine.Record
}

// ConsultArgs asks for the state of a request under which a server ended.
type ConsultArgs struct {
	Fingerprint serving.Fingerprint
	// Identity is by what the request is recognized. Instances of earlier builds send its fingerprint only.
	Identity quarantine.Identity
	// Known is the sender's state of the request.
	Known []quarantine.Record
}

// ConsultReply has the other instance's state of the request.
type ConsultReply struct{ Known []quarantine.Record }

// Trial answers whether a suspect request may run alone, or ends its trial.
func (s *service) Trial(args *TrialArgs, reply *TrialReply) error {
	now := clock.Now()
	s.quarantine.merge(args.Known, now)
	if args.Over {
		s.trials.End(args.Trial, args.Doubtful, now)
		s.quarantine.logTrial("isolated run ended", args.Trial, logrus.Fields{"inconclusive": args.Doubtful})
		return nil
	}
	reply.Held = s.holder.PriorOperationsEnded(now)
	ledger, identity := s.quarantine.ledger, args.Identity
	identity.Fingerprint = args.Fingerprint
	reply.Known = ledger.RecordsOfIdentity(identity, now)
	state, _ := ledger.Assess(identity, args.Version)
	s.trials.EndKnown(ledger)
	if reply.Held && state == quarantine.Suspect && !ledger.HasPending(identity) {
		args.Trial.Parts = ledger.SuspectParts(identity, args.Version)
		reply.Granted = s.trials.Begin(args.Trial, time.Duration(args.LongestMS)*time.Millisecond, now)
	}
	if reply.Granted {
		s.quarantine.logTrial("isolated run begins", args.Trial, logrus.Fields{"longest_ms": args.LongestMS})
	}
	return nil
}

// Consult exchanges the state of a request under which a server ended.
func (s *service) Consult(args *ConsultArgs, reply *ConsultReply) error {
	now := clock.Now()
	s.quarantine.merge(args.Known, now)
	identity := args.Identity
	identity.Fingerprint = args.Fingerprint
	reply.Known = s.quarantine.ledger.RecordsOfIdentity(identity, now)
	return nil
}
