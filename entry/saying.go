package entry

import (
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/command/backpressure"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// hears takes over what servers say of themselves in answers.
type hears struct {
	ledger *backpressure.Ledger
	log    logrus.FieldLogger
}

// hear takes a word over, and logs what it changes.
func (h *hears) hear(w serving.Word) {
	changed := h.ledger.Hear(w, clock.Now())
	log := h.log.WithFields(logrus.Fields{"server": w.Server, "born": w.Born, "sent_ms": clock.Since(w.Sent).Milliseconds()})
	if changed.Limit {
		log.WithFields(logrus.Fields{"limited": w.Limited, "rate": w.Rate, "source": "answer"}).Info("server's limit changed")
	}
	if changed.Rest {
		log.WithField("rest_ms", w.Rest.Milliseconds()).Info("server asks for rest")
	}
	if changed.Unreadable {
		log.WithField("said", w.Unreadable).Warn("server says something of itself that cannot be read")
	}
}
