package entry

import (
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/martenport/martenport/internal/boundedlog"
	"github.com/martenport/martenport/internal/clock"
	"github.com/martenport/martenport/serving"
)

// malformedInterval is the time between two log lines about malformed objects of one kind.
const malformedInterval = time.Second

// maxMalformedLogged is the number of bytes of a malformed object that are logged.
const maxMalformedLogged = 120

// logMalformed returns a function that logs objects of the store whose names cannot be decoded.
func logMalformed(log logrus.FieldLogger) func(kind string, text []byte) {
	lines := boundedlog.NewLines(malformedInterval)
	return func(kind string, text []byte) {
		omitted, due := lines.Due(kind, clock.Now())
		if !due {
			return
		}
		start := strconv.Quote(string(text[:min(len(text), maxMalformedLogged)]))
		log.WithFields(logrus.Fields{"kind": kind, "bytes": len(text), "start": start, "omitted": omitted}).Error("object of the store cannot be read, it is skipped")
	}
}

// countUnreadable returns a function that counts and logs entries of servers that cannot be decoded.
func countUnreadable(set *metrics.Set, log logrus.FieldLogger) func(server serving.Server, err error) {
	return countFaults(set.NewCounter("martenport_server_entries_unreadable_total"), log, "entry of a server cannot be read, it is not used")
}

// countInvalidHeads returns a function that counts and logs responses of servers whose heads are not valid HTTP.
func countInvalidHeads(set *metrics.Set, log logrus.FieldLogger) func(server serving.Server, err error) {
	return countFaults(set.NewCounter("martenport_server_invalid_heads_total"), log, "server sent a response whose head is not valid HTTP")
}

// countFaults returns a function that counts faults of servers, and logs them with a message.
func countFaults(faults *metrics.Counter, log logrus.FieldLogger, message string) func(server serving.Server, err error) {
	lines := boundedlog.NewLines(malformedInterval)
	return func(server serving.Server, err error) {
		faults.Inc()
		if omitted, due := lines.Due(server.ID, clock.Now()); due {
			log.WithFields(logrus.Fields{"server": server.ID, "address": server.Address, "revision": server.Revision, "error": err, "omitted": omitted}).Error(message)
		}
	}
}
