package entry

import (
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/quarantine"
	"github.com/martenport/martenport/serving"
)

// TestHolderReceivesBroadcastOfHeldRequest guards against a lease holder that blocks for good on another instance's broadcast.
func TestHolderReceivesBroadcastOfHeldRequest(t *testing.T) {
	now, other := time.Now(), quarantine.NewLedger()
	for _, id := range []string{"a", "b"} {
		other.RecordCrash(quarantine.BrokenAttempt{Fingerprint: "fp", Server: serving.Server{ID: id, Born: 1, Version: "v1"}}, now)
	}
	records, _ := other.Since(0, now)
	log := logrus.New()
	log.SetOutput(io.Discard)
	q := &quarantineManager{
		ledger: quarantine.NewLedger(), isHolder: func() bool { return true }, log: log, set: metrics.NewSet(),
		urgent: map[serving.Fingerprint]bool{}, urgentRequested: make(chan struct{}, 1),
	}
	received := make(chan struct{})
	go func() {
		defer close(received)
		q.receiveDirect(records, now)
	}()
	select {
	case <-received:
	case <-time.After(awaitTimeout):
		t.Fatal("blocked")
	}
	if !q.urgent["fp"] {
		t.Error("other instances are not notified of the request")
	}
}
